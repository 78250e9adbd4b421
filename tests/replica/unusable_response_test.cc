// A node that reads the store, and responses to its watches that cannot be used: they are too long or do not decode.
#include <gtest/gtest.h>

#include <boost/asio/post.hpp>

#include "saltquay/replica/relayed_store.h"
#include "src/gateway/collection_watcher.h"

namespace saltquay::replica {
namespace {

using gateway::ObjectEvents;
using gateway::ObjectList;
using gateway::StoredObject;

// A store whose responses to watches can be used up to a number of changes.
class LimitedStore final : public gateway::ObjectStore {
public:
    explicit LimitedStore(boost::asio::io_context& loop)
        : loop_(loop)
    {
    }

    void List(std::string const&, std::function<void(absl::StatusOr<ObjectList>)> done) override
    {
        ++lists;
        if (on_list)
            on_list();
        ObjectList response { {}, revision };
        for (auto const& [name, object] : objects)
            response.items.push_back(object);
        boost::asio::post(loop_, [done, response] { done(response); });
    }
    void Watch(std::string const&, std::int64_t since, std::chrono::milliseconds,
        std::function<void(absl::StatusOr<ObjectEvents>)> done) override
    {
        ObjectEvents changes { {}, revision };
        for (auto const& [name, object] : objects) {
            if (object.revision > since)
                changes.events.push_back({ false, object });
        }
        auto const timer = std::make_shared<boost::asio::steady_timer>(loop_, std::chrono::milliseconds(5));
        timer->async_wait([this, timer, done, changes](boost::system::error_code) {
            if (all_unusable || changes.events.size() > max_changes)
                return done(absl::DataLossError("the response is too long"));
            done(changes);
        });
    }
    void Write(std::string const&, StoredObject const&, std::function<void(absl::StatusOr<StoredObject>)>) override { }
    void Read(std::string const&, std::string const&, std::function<void(absl::StatusOr<StoredObject>)>) override { }

    void put(std::string const& name) { objects[name] = { name, ++revision, "x" }; }

    std::size_t max_changes = 10;
    bool all_unusable = false;
    int lists = 0;
    std::function<void()> on_list;
    std::int64_t revision = 100;
    std::map<std::string, StoredObject> objects;

private:
    boost::asio::io_context& loop_;
};

class UnusableResponseTest : public ::testing::Test {
protected:
    UnusableResponseTest()
    {
        gateway::WatcherHandlers handlers;
        handlers.on_list = [this](ObjectList const& list) {
            names_.clear();
            for (auto const& object : list.items)
                names_.insert(object.name);
        };
        handlers.on_event = [this](gateway::ObjectEvent const& event) { names_.insert(event.object.name); };
        handlers.on_connectivity_changed = [this](bool connected, std::string const&) { connected_ = connected; };
        watcher_ = std::make_unique<gateway::CollectionWatcher>(
            loop_, store_, "engines", gateway::WatcherTimings {}, 1, std::move(handlers));
        origin_.put("e1");
        watcher_->Start();
        EXPECT_TRUE(sees("e1"));
    }
    bool sees(std::string const& name)
    {
        auto const end = std::chrono::steady_clock::now() + 3s;
        while (!names_.contains(name) && std::chrono::steady_clock::now() < end)
            loop_.run_one_for(std::chrono::milliseconds(5));
        return names_.contains(name);
    }

    boost::asio::io_context loop_;
    LimitedStore origin_ { loop_ };
    RelayedStore store_ { loop_, origin_, {} };
    std::unique_ptr<gateway::CollectionWatcher> watcher_;
    std::set<std::string> names_;
    bool connected_ = false;
};

// Guards against: the same response is asked for again and again, and the node never follows the store again.
TEST_F(UnusableResponseTest, NodeListsAndWatchesFromThere)
{
    for (int i = 10; i < 30; ++i)
        origin_.put("many" + std::to_string(i));
    EXPECT_TRUE(sees("many29"));
    origin_.put("e2");
    EXPECT_TRUE(sees("e2"));
    EXPECT_TRUE(connected_);
    EXPECT_EQ(origin_.lists, 2);
}

// Guards against: followers leave a reader whose store responds.
TEST_F(UnusableResponseTest, ReaderStillServesItsFollowers)
{
    auto serves = false;
    origin_.on_list = [&] { serves = store_.list_for_peer("engines", false).ok(); };
    for (int i = 10; i < 30; ++i)
        origin_.put("many" + std::to_string(i));
    EXPECT_TRUE(sees("many29"));
    EXPECT_TRUE(serves);
}

// Guards against: a store whose watches can never be used is listed without a pause.
TEST_F(UnusableResponseTest, ListsInsteadOfWatchesArePacedAndKeepTheNodeUpToDate)
{
    origin_.all_unusable = true;
    loop_.run_for(2s);
    EXPECT_LE(origin_.lists, 20);
    origin_.put("e2");
    EXPECT_TRUE(sees("e2"));
}

}
}
