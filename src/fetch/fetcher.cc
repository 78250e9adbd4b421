#include "saltquay/fetch/fetcher.h"

#include <limits>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include "src/base/crash_reporter.h"
#include "src/http/boot_timer.h"

namespace saltquay::fetch {

struct Fetcher::Pending {
    explicit Pending(boost::asio::io_context& loop)
        : timer(loop)
        , stall_timer(loop)
    {
    }
    std::unique_ptr<http::Call> call;
    BootTimer timer;
    BootTimer stall_timer;
    std::chrono::milliseconds stall_timeout { 0 };
    std::uint64_t max_body_bytes = 0;
    std::string pool;
    std::string target;
    Reply reply;
    Handler done;
};

FetchId Fetcher::fetch(std::string_view address, http::RequestHead const& head, std::string_view body,
    Options const& options, Handler done)
{
    auto const endpoint = http::ParseEndpoint(std::string(address));
    auto const id = ++last_id_;
    auto const pending = std::make_shared<Pending>(loop_);
    pending->done = std::move(done);
    pending->max_body_bytes = options.max_body_bytes;
    pending->pool = options.pool;
    pending->target = head.target;
    pending_[id] = pending;
    if (!endpoint.ok()) {
        boost::asio::post(loop_,
            [this, id, status = endpoint.status()] { finish(id, absl::InvalidArgumentError(status.message())); });
        return id;
    }
    http::CallOptions call_options;
    call_options.connect_timeout = options.connect_timeout;
    call_options.call_id = options.call_id;
    call_options.max_body_bytes = std::numeric_limits<std::uint64_t>::max(); // See on_body().
    http::CallHandlers handlers = make_handlers(id, pending);
    handlers.owner_of = options.owner_of;
    pending->call =
        client_.Start(*endpoint, options.pool, http::SerializeRequest(head, body), call_options, std::move(handlers));
    pending->timer.expires_after(options.timeout);
    pending->timer.async_wait([this, id](boost::system::error_code error) {
        if (!error)
            time_out(id, "no complete response in time");
    });
    pending->stall_timeout = options.stall_timeout;
    restart_stall_timer(id, *pending);
    return id;
}

void Fetcher::restart_stall_timer(FetchId id, Pending& pending)
{
    if (pending.stall_timeout.count() == 0)
        return;
    pending.stall_timer.expires_after(pending.stall_timeout);
    pending.stall_timer.async_wait([this, id](boost::system::error_code error) {
        if (!error)
            time_out(id, "the response stalled");
    });
}

http::CallHandlers Fetcher::make_handlers(FetchId id, std::shared_ptr<Pending> const& pending)
{
    // The Pending entry owns the call, which must not own it in turn.
    std::weak_ptr<Pending> const weak = pending;
    http::CallHandlers handlers;
    handlers.on_head = [weak](http::ResponseHead const& response_head) {
        if (auto const call = weak.lock())
            call->reply.status = response_head.status;
    };
    handlers.on_body = [this, id, weak](std::string_view bytes) {
        if (auto const call = weak.lock())
            on_body(id, *call, bytes);
    };
    handlers.on_complete = [this, id, weak] {
        if (auto const call = weak.lock())
            finish(id, std::move(call->reply));
    };
    handlers.on_failure = [this, id](http::CallFailure failure) {
        if (failure == http::CallFailure::kNotSent)
            return finish(id, absl::UnavailableError("the peer is unreachable"));
        auto const malformed = failure == http::CallFailure::kMalformed;
        finish(id,
            absl::DeadlineExceededError(
                malformed ? "the response is malformed" : "the connection was lost before the response was complete"));
    };
    return handlers;
}

void Fetcher::on_body(FetchId id, Pending& pending, std::string_view bytes)
{
    if (pending.reply.body.size() + bytes.size() > pending.max_body_bytes)
        return finish(
            id, absl::DataLossError(fmt::format("the response is longer than {} bytes", pending.max_body_bytes)));
    pending.reply.body += bytes;
    restart_stall_timer(id, pending);
}

// The pool's other connections to that peer may be blackholed too: the next call opens a new connection.
void Fetcher::time_out(FetchId id, std::string const& cause)
{
    auto const entry = pending_.find(id);
    if (entry == pending_.end())
        return;
    client_.ForgetPool(entry->second->pool);
    finish(id, absl::DeadlineExceededError(cause));
}

void Fetcher::finish(FetchId id, absl::StatusOr<Reply> reply)
{
    auto const entry = pending_.find(id);
    if (entry == pending_.end())
        return;
    auto const pending = entry->second;
    pending_.erase(entry);
    pending->timer.cancel();
    pending->stall_timer.cancel();
    // This may run inside the call's own handler, so the call is destroyed later.
    boost::asio::post(loop_, [pending] { pending->call.reset(); });
    ScopedActivity const activity(
        "handle response", pending->pool, pending->target, 0, reply.ok() ? reply->body.size() : 0);
    pending->done(std::move(reply));
}

}
