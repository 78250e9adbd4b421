// Calls that want a whole, small answer within a time: to the store, to peers,
// and to engines for control. Requests of callers do not go this way.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "src/http/client.h"

namespace saltquay::fetch {

struct Reply {
    int status = 0;
    std::string body;
};

struct Options {
    std::string pool; // Calls of one pool share kept connections.
    std::chrono::milliseconds connect_timeout { 500 };
    std::chrono::milliseconds timeout { 1500 }; // For the whole answer.
    // Until its first bytes, and between any two parts of it; zero: only the whole is timed.
    std::chrono::milliseconds stall_timeout { 0 };
};

using FetchId = std::uint64_t;

class Fetcher {
public:
    // Runs later on the loop's thread, once. Errors:
    //   kInvalidArgument   the address is not ip:port.
    //   kUnavailable       the request was not sent.
    //   kDeadlineExceeded  no answer in time, or it broke off: the peer may have acted.
    using Handler = std::function<void(absl::StatusOr<Reply>)>;

    explicit Fetcher(boost::asio::io_context& loop)
        : loop_(loop)
        , client_(loop)
    {
    }

    FetchId fetch(std::string_view address, http::RequestHead const&, std::string_view body, Options const&, Handler);
    // The handler does not run any more, and the connection ends.
    void cancel(FetchId id) { pending_.erase(id); }

private:
    struct Pending;

    void restart_stall_timer(FetchId, Pending&);
    void give_up(FetchId, std::string const& cause);
    void finish(FetchId, absl::StatusOr<Reply>);
    http::CallHandlers make_handlers(FetchId, std::shared_ptr<Pending> const&);

    boost::asio::io_context& loop_;
    http::Client client_;
    std::map<FetchId, std::shared_ptr<Pending>> pending_;
    FetchId last_id_ = 0;
};

}
