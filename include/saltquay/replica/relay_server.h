// HTTP server for followers. GET /records/KIND lists the objects of a kind; with since=REVISION and wait_ms it is a
// long-polling watch. Errors: 410: the changes since that revision were evicted, list again. 425: this node has just
// started and has no copy yet. 503: this node is not connected to the store, neither directly nor through other nodes.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "saltquay/replica/relayed_store.h"
#include "src/http/server.h"

namespace saltquay::replica {

class RelayServer {
public:
    RelayServer(boost::asio::io_context&, RelayedStore&);

    // Errors name the address that cannot be bound.
    absl::Status listen(std::string const& address);
    // Responds to pending watches of `kind` after its changes arrived or the copy was confirmed without changes.
    void on_record_update(std::string const& kind);
    // Applies to requests that begin later.
    void set_limits(http::ServerLimits const& limits) { server_->set_limits(limits); }
    // See http::Server. Requires listen().
    void set_budget(std::shared_ptr<http::ByteBudget> budget) { server_->set_budget(std::move(budget)); }

    // Called first with every request; returns whether it has taken the request. May be empty.
    std::function<bool(std::shared_ptr<http::Exchange> const&)> request_filter;

private:
    struct PendingWatch {
        std::shared_ptr<http::Exchange> exchange;
        std::string kind;
        std::int64_t since = 0;
        Time requested_at {};
        Time until {};
        // When the copy of the kind was last confirmed at the arrival of the request.
        Time confirmed {};
    };

    void handle(std::shared_ptr<http::Exchange> const&);
    // Responds with changes; without any, responds only once the copy was confirmed again or the watch timed out.
    // Returns whether it responded.
    bool try_respond(PendingWatch const&, bool timed_out);
    void check_pending_watches();

    RelayedStore& store_;
    boost::asio::io_context& loop_;
    BootTimer timer_;
    std::vector<PendingWatch> pending_watches_;
    std::unique_ptr<http::Server> server_;
};

}
