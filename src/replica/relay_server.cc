#include "saltquay/replica/relay_server.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "src/replica/record_codec.h"

namespace saltquay::replica {
namespace {

constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int gone = 410;
constexpr int too_early = 425;
constexpr int unavailable = 503;
constexpr std::string_view prefix = "/records/";
constexpr std::chrono::milliseconds pending_watch_check_interval { 100 };
constexpr std::chrono::milliseconds max_watch_wait { 2000 };

void respond(http::Exchange& exchange, int status, std::string_view body)
{
    http::ResponseHead head;
    head.status = status;
    exchange.Respond(head, body);
}

// Returns the number given as NAME=NUMBER in the target's query, if any.
std::optional<std::int64_t> query_number(std::string_view target, std::string_view name)
{
    auto const question_mark = target.find('?');
    if (question_mark == std::string_view::npos)
        return std::nullopt;
    auto query = target.substr(question_mark + 1);
    while (!query.empty()) {
        auto const item = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), item.size() + 1));
        if (!item.starts_with(name) || item.size() <= name.size() || item[name.size()] != '=')
            continue;
        std::int64_t value = 0;
        auto const digits = item.substr(name.size() + 1);
        auto const parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value);
        return parsed.ec == std::errc {} ? std::optional(value) : std::nullopt;
    }
    return std::nullopt;
}

int to_http_status(absl::Status const& status)
{
    if (status.code() == absl::StatusCode::kFailedPrecondition)
        return too_early;
    return status.code() == absl::StatusCode::kOutOfRange ? gone : unavailable;
}

}

RelayServer::RelayServer(boost::asio::io_context& loop, RelayedStore& store)
    : store_(store)
    , loop_(loop)
    , timer_(loop)
{
}

absl::Status RelayServer::listen(std::string const& address)
{
    auto server = http::Server::Listen(loop_, address, http::ServerLimits {},
        [this](std::shared_ptr<http::Exchange> const& exchange) { handle(exchange); });
    if (!server.ok())
        return server.status();
    server_ = std::move(*server);
    return absl::OkStatus();
}

void RelayServer::handle(std::shared_ptr<http::Exchange> const& exchange)
{
    if (request_filter && request_filter(exchange))
        return;
    std::string_view const target = exchange->head.target;
    auto const path = http::PathOf(target);
    if (!path.starts_with(prefix))
        return respond(*exchange, not_found, "see /records/KIND\n");
    std::string const kind(path.substr(prefix.size()));
    auto const since = query_number(target, "since");
    if (!since) {
        auto const list = store_.encoded_list_for_peer(kind, query_number(target, "stale").has_value());
        return respond(*exchange, list.ok() ? ok : to_http_status(list.status()), list.ok() ? *list : "");
    }
    auto const wait = std::chrono::milliseconds(query_number(target, "wait_ms").value_or(0));
    auto const requested_at = BootNow();
    auto const until = requested_at + std::clamp(wait, std::chrono::milliseconds(0), max_watch_wait);
    PendingWatch request { exchange, kind, *since, requested_at, until, store_.confirmed(kind) };
    if (try_respond(request, wait.count() <= 0))
        return;
    if (pending_watches_.empty())
        check_pending_watches();
    pending_watches_.push_back(std::move(request));
}

bool RelayServer::try_respond(PendingWatch const& request, bool timed_out)
{
    auto changes = store_.changes_for_peer(request.kind, request.since);
    auto const confirmed = store_.confirmed(request.kind) > request.confirmed;
    if (changes.ok() && changes->events.events.empty() && !confirmed && !timed_out)
        return false;
    if (changes.ok())
        changes->from.hold_time =
            std::chrono::duration_cast<std::chrono::milliseconds>(BootNow() - request.requested_at);
    respond(
        *request.exchange, changes.ok() ? ok : to_http_status(changes.status()), changes.ok() ? encode(*changes) : "");
    return true;
}

void RelayServer::on_record_update(std::string const& kind)
{
    std::erase_if(pending_watches_,
        [&](PendingWatch const& request) { return request.kind == kind && try_respond(request, false); });
}

void RelayServer::check_pending_watches()
{
    timer_.expires_after(pending_watch_check_interval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        auto const now = BootNow();
        std::erase_if(pending_watches_, [&](PendingWatch const& request) {
            return request.exchange->client_left() || try_respond(request, now >= request.until);
        });
        if (!pending_watches_.empty())
            check_pending_watches();
    });
}

}
