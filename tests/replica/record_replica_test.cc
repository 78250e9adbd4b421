// The replica of the store's objects, and how followers catch up from it.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "saltquay/replica/record_replica.h"
#include "src/replica/record_codec.h"

namespace saltquay::replica {
namespace {

gateway::ObjectEvent event(std::string const& name, std::int64_t revision, bool gone = false)
{
    return { gone, { name, revision, gone ? "" : "r" + std::to_string(revision) } };
}

std::map<std::string, std::string> contents(RecordReplica const& replica)
{
    std::map<std::string, std::string> contents;
    for (auto const& object : replica.list().items)
        contents[object.name] = object.content;
    return contents;
}

TEST(RecordReplicaTest, ChangesBeforeTheListOrAfterTheReplicaAreNotReturned)
{
    RecordReplica replica;
    EXPECT_FALSE(replica.changes_since(0));
    replica.replace({ { { "a", 7, "x" } }, 10 });
    EXPECT_FALSE(replica.changes_since(9));
    EXPECT_FALSE(replica.changes_since(11));
    ASSERT_TRUE(replica.changes_since(10));
    EXPECT_TRUE(replica.changes_since(10)->events.empty());
    EXPECT_EQ(replica.changed_at(), 7);
}

TEST(RecordReplicaTest, FollowersOfAReaderThatListedAgainNeedOnlyTheDifferences)
{
    RecordReplica replica;
    gateway::ObjectList list { { { "gone", 2, "x" }, { "changed", 3, "x" } }, 10 };
    for (int i = 0; i < 100; ++i)
        list.items.push_back({ "same" + std::to_string(i), 4, "x" });
    replica.replace(list);
    list.items.erase(list.items.begin());
    list.items[0] = { "changed", 15, "y" };
    list.items.push_back({ "new", 16, "z" });
    list.at = 20;
    replica.replace(list);
    auto const changes = replica.changes_since(10);
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->at, 20);
    EXPECT_EQ(changes->events.size(), 3U);
    EXPECT_EQ(replica.list().items.size(), 102U);
    EXPECT_FALSE(replica.changes_since(9));
}

TEST(RecordReplicaTest, AnOlderListStartsTheHistoryAnew)
{
    RecordReplica replica;
    replica.replace({ { { "a", 7, "x" } }, 10 });
    replica.replace({ { { "b", 3, "x" } }, 5 });
    EXPECT_EQ(replica.at(), 5);
    EXPECT_EQ(replica.list().items.size(), 1U);
    EXPECT_FALSE(replica.changes_since(4));
}

TEST(RecordReplicaTest, HistoryIsBoundedInBytes)
{
    RecordReplica replica;
    replica.replace({ {}, 1 });
    std::string const large(RecordReplica::max_history_bytes / 4, 'x');
    for (std::int64_t revision = 2; revision < 12; ++revision)
        replica.apply({ { { false, { "a", revision, large } } }, revision });
    EXPECT_FALSE(replica.changes_since(1));
    EXPECT_TRUE(replica.changes_since(10));
    EXPECT_EQ(replica.list().items.size(), 1U);
}

// Guards against: changes of objects with long names, or many small ones, make a history that followers cannot decode.
TEST(RecordReplicaTest, NamesAndTheNumberOfChangesCountInTheHistory)
{
    RecordReplica long_names;
    long_names.replace({ {}, 1 });
    std::string const name(RecordReplica::max_history_bytes / 4, 'n');
    for (std::int64_t revision = 2; revision < 42; ++revision)
        long_names.apply({ { event(name, revision, revision % 2 == 0) }, revision });
    EXPECT_FALSE(long_names.changes_since(1));
    ASSERT_TRUE(long_names.changes_since(40));
    EXPECT_TRUE(decode_events(encode(RelayedEvents { *long_names.changes_since(40), {} })).ok());
    EXPECT_LE(long_names.changes_since(40)->events.size(), 4U);

    RecordReplica empty_changes;
    empty_changes.replace({ {}, 1 });
    constexpr std::int64_t changes = RecordReplica::max_history_bytes / 16;
    for (std::int64_t revision = 2; revision < changes; ++revision)
        empty_changes.apply({ { event("a", revision, true) }, revision });
    EXPECT_FALSE(empty_changes.changes_since(1));
}

RC_GTEST_PROP(RecordReplicaProperty, FollowersConvergeToTheReadersObjects, ())
{
    RecordReplica reader;
    reader.replace({ {}, 0 });
    RecordReplica follower;
    follower.replace({ {}, 0 });
    std::int64_t revision = 0;
    auto const batches = *rc::gen::inRange(1, 20);
    for (int batch = 0; batch < batches; ++batch) {
        gateway::ObjectEvents changes;
        auto const count = *rc::gen::inRange(0, 4);
        for (int i = 0; i < count; ++i) {
            auto const name = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
            changes.events.push_back(event(name, ++revision, *rc::gen::inRange(0, 3) == 0));
        }
        changes.at = revision + *rc::gen::inRange(0, 3);
        revision = changes.at;
        reader.apply(changes);
        if (*rc::gen::inRange(0, 3) == 0)
            follower.apply(*reader.changes_since(follower.at()));
    }
    follower.apply(*reader.changes_since(follower.at()));
    RC_ASSERT(contents(follower) == contents(reader));
    RC_ASSERT(follower.at() == reader.at());
    RC_ASSERT(follower.changed_at() == reader.changed_at());
}

// The reader now and then lists the store anew, with changes that it has not watched.
RC_GTEST_PROP(RecordReplicaProperty, FollowersConvergeWhenTheReaderListsAgain, ())
{
    RecordReplica reader;
    reader.replace({ {}, 0 });
    RecordReplica follower;
    follower.replace({ {}, 0 });
    std::map<std::string, gateway::StoredObject> store;
    std::int64_t revision = 0;
    for (int step = 0; step < 20; ++step) {
        auto const name = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
        auto const change = event(name, ++revision, *rc::gen::inRange(0, 3) == 0);
        if (change.gone) {
            store.erase(name);
        } else {
            store[name] = change.object;
        }
        if (*rc::gen::inRange(0, 3) == 0) {
            gateway::ObjectList list { {}, revision };
            for (auto const& [key, object] : store)
                list.items.push_back(object);
            reader.replace(list);
        } else if (reader.at() + 1 == revision) {
            reader.apply({ { change }, revision });
        }
        if (*rc::gen::inRange(0, 2) == 0)
            follower.apply(*reader.changes_since(follower.at()));
        RC_ASSERT(follower.at() <= reader.at());
    }
    follower.apply(*reader.changes_since(follower.at()));
    RC_ASSERT(contents(follower) == contents(reader));
}

TEST(RecordCodecTest, RecordsRoundTrip)
{
    auto const list = decode_list(encode(RelayedList { { { { "a", 3, "{\"x\":1}" }, { "b", 9, "" } }, 12 },
        Provenance { 1, std::chrono::milliseconds(250), std::chrono::milliseconds(30) } }));
    ASSERT_TRUE(list.ok());
    EXPECT_EQ(list->from.hops, 1);
    EXPECT_EQ(list->from.age, std::chrono::milliseconds(250));
    EXPECT_EQ(list->from.hold_time, std::chrono::milliseconds(30));
    EXPECT_EQ(list->list.at, 12);
    ASSERT_EQ(list->list.items.size(), 2U);
    EXPECT_EQ(list->list.items[0].content, "{\"x\":1}");
    EXPECT_EQ(list->list.items[1].revision, 9);
    auto const changes = decode_events(encode(RelayedEvents {
        { { event("a", 4, true), event("c", 5) }, 6 }, Provenance { 2, std::nullopt, std::chrono::milliseconds(0) } }));
    ASSERT_TRUE(changes.ok());
    EXPECT_EQ(changes->from.hops, 2);
    EXPECT_FALSE(changes->from.age.has_value());
    EXPECT_TRUE(changes->events.events[0].gone);
    EXPECT_EQ(changes->events.events[1].object.content, "r5");
}

RC_GTEST_PROP(RecordCodecProperty, ArbitraryBytesAreDecodedOrRejected, (std::string const& bytes))
{
    static_cast<void>(decode_list(bytes));
    auto encoded = encode(RelayedEvents { { { event("a", 4) }, 6 }, Provenance {} });
    auto& changed = encoded[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(encoded.size())))];
    changed = static_cast<char>(changed ^ *rc::gen::inRange(1, 255));
    static_cast<void>(decode_events(encoded));
}

}
}
