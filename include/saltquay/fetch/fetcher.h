// HTTP calls that need a complete, small response within a time limit: to the store, to peers, and control calls to
// engines. Client requests are not sent this way.
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
    std::string pool; // Calls of one pool share keep-alive connections.
    std::chrono::milliseconds connect_timeout { 500 };
    std::chrono::milliseconds timeout { 1500 }; // For the complete response.
    // Until the first bytes, and between any two parts of the response; zero: only the complete response is timed.
    std::chrono::milliseconds stall_timeout { 0 };
    std::uint64_t max_body_bytes = 64 * 1024; // Of the response; a longer one is not read to its end.
    // See http::CallOptions and http::CallHandlers.
    std::string call_id;
    std::function<http::ResponseOwner(http::ResponseHead const&)> owner_of;
};

using FetchId = std::uint64_t;

class Fetcher {
public:
    // Runs once, later, on the loop's thread. Errors:
    //   kInvalidArgument   the address is not ip:port.
    //   kUnavailable       the request was not sent.
    //   kDeadlineExceeded  no complete response in time, or it was aborted: the peer may have acted.
    //   kDataLoss          the response is too long: the peer may have acted.
    using Handler = std::function<void(absl::StatusOr<Reply>)>;

    explicit Fetcher(boost::asio::io_context& loop)
        : loop_(loop)
        , client_(loop)
    {
    }

    FetchId fetch(std::string_view address, http::RequestHead const&, std::string_view body, Options const&, Handler);
    // The handler will not run, and the connection is closed.
    void cancel(FetchId id) { pending_.erase(id); }

private:
    struct Pending;

    void restart_stall_timer(FetchId, Pending&);
    void on_body(FetchId, Pending&, std::string_view bytes);
    void time_out(FetchId, std::string const& cause);
    void finish(FetchId, absl::StatusOr<Reply>);
    http::CallHandlers make_handlers(FetchId, std::shared_ptr<Pending> const&);

    boost::asio::io_context& loop_;
    http::Client client_;
    std::map<FetchId, std::shared_ptr<Pending>> pending_;
    FetchId last_id_ = 0;
};

}
