// Opens a TCP connection to an engine's address to find out whether a process listens there.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <utility>  // Boost 1.74's Asio needs it first under C++20.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "src/core/serving/engine_crash_detector.h"
#include "src/http/boot_timer.h"

namespace saltquay::gateway {

class EngineProbe {
 public:
  using Handler = std::function<void(serving::EngineProbeOutcome)>;

  explicit EngineProbe(boost::asio::io_context& loop) : loop_(loop) {}

  // `done` is called asynchronously, once, unless the EngineProbe is destroyed first. The outcome is kUnknown for an
  // address that does not parse.
  void Check(const std::string& address, Handler done);

 private:
  struct Probe;

  void Finish(std::uint64_t id, serving::EngineProbeOutcome outcome);

  boost::asio::io_context& loop_;
  std::map<std::uint64_t, std::shared_ptr<Probe>> probes_;
  std::uint64_t last_id_ = 0;
};

}  // namespace saltquay::gateway
