// Control calls to engines: reads of their state, and orders.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "saltquay/fetch/fetcher.h"
#include "src/gateway/engine_protocol.h"

namespace saltquay::gateway {

class EngineControl {
 public:
  // Called once, later, on the loop's thread; with nullopt if there was no readable response.
  using StateHandler = std::function<void(const std::optional<serving::EngineStateReport>&)>;
  // Called once, later, on the loop's thread.
  using OrderHandler = std::function<void(serving::OrderOutcome)>;

  // `node_name` is the holder that orders name.
  EngineControl(boost::asio::io_context& loop, EngineProtocol protocol, std::string node_name)
      : fetcher_(loop), protocol_(std::move(protocol)), node_name_(std::move(node_name)) {}

  void ReadState(const serving::ReadEngineState& call, StateHandler done);
  void SendOrder(const serving::SendStageOrder& call, OrderHandler done);

 private:
  std::string NextCallId();
  void Call(const std::string& address, const std::string& engine_id, const http::RequestHead& head,
            const std::string& body, const std::string& call_id, fetch::Fetcher::Handler done);

  fetch::Fetcher fetcher_;
  EngineProtocol protocol_;
  std::string node_name_;
  std::uint64_t last_call_ = 0;
};

}  // namespace saltquay::gateway
