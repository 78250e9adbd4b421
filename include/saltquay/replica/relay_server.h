// Answers followers: GET /records/KIND lists; with since=REVISION and wait_ms
// it answers changes as they come. 410: forgotten, list again. 425: this node has
// just started and knows nothing yet. 503: this node
// does not hear the store, neither itself nor through others.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "saltquay/replica/relayed_store.h"
#include "src/http/server.h"

namespace saltquay::replica {

class RelayServer {
public:
    RelayServer(boost::asio::io_context&, RelayedStore&);

    // Errors say which address cannot be bound.
    absl::Status listen(std::string const& address);
    // Changes of that kind are there, or it is confirmed that there are none.
    void on_record_update(std::string const& kind);

private:
    struct Waiting {
        std::shared_ptr<http::Exchange> exchange;
        std::string kind;
        std::int64_t since = 0;
        Time asked {};
        Time until {};
        Time confirmed {}; // Of the kind, when the question came.
    };

    void handle(std::shared_ptr<http::Exchange> const&);
    // Answers with changes, when there are none once that is confirmed anew or the time is up. Returns whether it did.
    bool try_answer(Waiting const&, bool time_is_up);
    void sweep();

    RelayedStore& store_;
    boost::asio::io_context& loop_;
    BootTimer timer_;
    std::vector<Waiting> waiting_;
    std::unique_ptr<http::Server> server_;
};

}
