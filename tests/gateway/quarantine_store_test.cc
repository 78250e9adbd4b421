// Requests in quarantine outlive the loss of all nodes, through a store that refuses, conflicts and loses answers.
#include "src/gateway/quarantine_store.h"

#include <map>

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>

namespace saltquay::gateway {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kRequest = 7;

// One table that answers on the loop.
class TableStore final : public ObjectStore {
 public:
  explicit TableStore(boost::asio::io_context& loop) : loop_(loop) {}

  void List(const std::string& /*kind*/, std::function<void(absl::StatusOr<ObjectList>)> done) override {
    done(ObjectList{});
  }
  void Watch(const std::string& /*kind*/, std::int64_t /*revision*/, std::chrono::milliseconds /*wait*/,
             std::function<void(absl::StatusOr<ObjectEvents>)> done) override {
    done(ObjectEvents{});
  }
  void Write(const std::string& kind, const StoredObject& object,
             std::function<void(absl::StatusOr<StoredObject>)> done) override {
    ++writes;
    if (!up) return Post(done, absl::UnavailableError("down"));
    StoredObject& held = objects_[kind + "/" + object.name];
    if (conflicts-- > 0) ++held.revision;
    if (held.revision != object.revision) return Post(done, absl::AbortedError("another write won"));
    held = object;
    ++held.revision;
    if (lost-- > 0) return Post(done, absl::DeadlineExceededError("no answer"));
    Post(done, held);
  }
  void Read(const std::string& kind, const std::string& name,
            std::function<void(absl::StatusOr<StoredObject>)> done) override {
    ++reads;
    if (!up) return Post(done, absl::UnavailableError("down"));
    const auto held = objects_.find(kind + "/" + name);
    if (held == objects_.end()) return Post(done, absl::NotFoundError("none"));
    Post(done, held->second);
  }

  bool up = true;
  int conflicts = 0;
  int lost = 0;
  int reads = 0;
  int writes = 0;

 private:
  void Post(const std::function<void(absl::StatusOr<StoredObject>)>& done, absl::StatusOr<StoredObject> answer) {
    boost::asio::post(loop_, [done, answer = std::move(answer)] { done(answer); });
  }

  boost::asio::io_context& loop_;
  std::map<std::string, StoredObject> objects_;
};

// One life of a node, with the time that it steps for.
class Node {
 public:
  Node(boost::asio::io_context& loop, ObjectStore& store, bool reads)
      : loop_(loop),
        log_(LogStreamOptions{}),
        gateway_(loop, GatewaySettings{}, EngineProtocol(EngineProtocolFields{}), log_, 1),
        quarantine_(gateway_, store, reads, 1) {}

  void NoteEnds(int from, int to) {
    const Time now = gateway_.Now();
    for (int i = from; i <= to; ++i) {
      gateway_.core().crashes().RecordCrash(kRequest, serving::EngineKey(static_cast<std::uint64_t>(i)), now, now);
    }
  }
  bool QuarantinedCount() {
    return gateway_.core().crashes().QuarantineRemaining(kRequest, gateway_.Now()).has_value();
  }
  void Run(std::chrono::milliseconds time) {
    const auto until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until) {
      quarantine_.Step();
      loop_.run_for(10ms);
      loop_.restart();
    }
  }

 private:
  boost::asio::io_context& loop_;
  LogStream log_;
  Gateway gateway_;
  QuarantineStore quarantine_;
};

TEST(QuarantineStoreTest, ANodeThatStartsAfterAllWereLostKnowsWhatIsInQuarantine) {
  boost::asio::io_context loop;
  TableStore store(loop);
  {
    Node node(loop, store, false);
    node.NoteEnds(1, 3);
    node.Run(1200ms);
  }
  Node next(loop, store, true);
  EXPECT_FALSE(next.QuarantinedCount());
  next.Run(1200ms);
  EXPECT_TRUE(next.QuarantinedCount());
  EXPECT_EQ(store.writes, 1);
  // It was told, and adds nothing.
  EXPECT_EQ(store.reads, 2);
}

TEST(QuarantineStoreTest, WithoutQuarantineANodeReadsOnceAtItsStart) {
  boost::asio::io_context loop;
  TableStore store(loop);
  Node node(loop, store, true);
  node.Run(30ms);
  EXPECT_EQ(store.reads, 1);
  node.NoteEnds(1, 2);
  node.Run(1200ms);
  EXPECT_EQ(store.reads, 1);
  EXPECT_EQ(store.writes, 0);
  Node first(loop, store, false);  // The whole system starts for the first time: there is nothing.
  first.Run(200ms);
  EXPECT_EQ(store.reads, 1);
}

TEST(QuarantineStoreTest, ConflictsAndLostAnswersAreTriedAgain) {
  boost::asio::io_context loop;
  TableStore store(loop);
  store.conflicts = 1;
  store.lost = 1;
  Node node(loop, store, false);
  node.NoteEnds(1, 3);
  node.Run(4000ms);
  EXPECT_EQ(store.writes, 2);  // What the second wrote was found there, though its answer was lost.
  Node next(loop, store, true);
  next.Run(1200ms);
  EXPECT_TRUE(next.QuarantinedCount());
}

TEST(QuarantineStoreTest, AStoreThatIsDownIsAskedMoreAndMoreSeldom) {
  boost::asio::io_context loop;
  TableStore store(loop);
  store.up = false;
  Node node(loop, store, true);
  node.NoteEnds(1, 3);
  node.Run(5000ms);
  EXPECT_LE(store.reads, 4);
  store.up = true;
  node.Run(8000ms);
  EXPECT_EQ(store.writes, 1);
}

TEST(QuarantineStoreTest, WhatDoesNotDecodeIsLeftOut) {
  constexpr std::int64_t kNow = 1'000'000;
  EXPECT_TRUE(DecodeQuarantine("garbage", kNow).empty());
  EXPECT_TRUE(DecodeQuarantine(R"({"marks":[1,{"request":"x"},{"request":1,"engine":2}]})", kNow).empty());
  const std::vector<serving::CrashMark> marks = {{~std::uint64_t{0}, serving::EngineKey(~std::uint64_t{1}), 1500ms}};
  const auto decoded = DecodeQuarantine(EncodeQuarantine(marks, kNow), kNow + 500);
  ASSERT_EQ(decoded.size(), 1U);
  EXPECT_EQ(decoded[0].request, marks[0].request);
  EXPECT_EQ(decoded[0].engine, marks[0].engine);
  EXPECT_EQ(decoded[0].age, Duration(2000ms));
  // A clock that was ahead makes no age below zero.
  EXPECT_EQ(DecodeQuarantine(EncodeQuarantine(marks, kNow), 0)[0].age, Duration(0ms));
}

}  // namespace
}  // namespace saltquay::gateway
