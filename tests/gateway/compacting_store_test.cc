// Engine records in their compact form: what is converted, what is kept as it is, and how damaged records are refused.
#include "src/gateway/compacting_store.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/base/status.h"
#include "src/gateway/engine_record_codec.h"
#include "src/replica/record_codec.h"

namespace saltquay::gateway {
namespace {

serving::EngineRecord MakeRecord(int index) {
  serving::EngineRecord record;
  record.id = "engine-" + std::to_string(index);
  record.started_ms = 1'780'000'000'000 + 977 * index;
  record.service = "language-model";
  record.address = "10.20." + std::to_string(index / 200) + "." + std::to_string(index % 200) + ":8000";
  record.zone = "zone-" + std::to_string(index % 5);
  record.slots = 64;
  record.stage = index % 3 == 0 ? serving::EngineStage::kPrefill : serving::EngineStage::kDecode;
  record.order_sequence = index % 7;
  return record;
}

const KeptKinds kKinds{"engines", "config", "e1"};

// A platform whose records are the index of the engine as text.
absl::StatusOr<serving::EngineRecord> ParsePlatformRecord(const StoredObject& object) {
  if (object.content.empty() || object.content.find_first_not_of("0123456789") != std::string::npos)
    return MakeError(ErrorKind::kCorrupt, "not a number; write a number");
  serving::EngineRecord record = MakeRecord(std::stoi(object.content));
  record.id = object.name;
  return record;
}

class FakeStore final : public ObjectStore {
 public:
  void List(const std::string& /*kind*/, std::function<void(absl::StatusOr<ObjectList>)> done) override { done(list); }
  void Watch(const std::string& /*kind*/, std::int64_t /*revision*/, std::chrono::milliseconds /*wait*/,
             std::function<void(absl::StatusOr<ObjectEvents>)> done) override {
    done(events);
  }
  void Write(const std::string& /*kind*/, const StoredObject& object,
             std::function<void(absl::StatusOr<StoredObject>)> done) override {
    done(object);
  }
  void Read(const std::string& /*kind*/, const std::string& /*name*/,
            std::function<void(absl::StatusOr<StoredObject>)> done) override {
    done(StoredObject{});
  }

  absl::StatusOr<ObjectList> list = ObjectList{};
  absl::StatusOr<ObjectEvents> events = ObjectEvents{};
};

TEST(CompactingStoreTest, EngineRecordsAreConvertedAndOtherKindsAreNot) {
  FakeStore origin;
  origin.list = ObjectList{{{"e1", 7, "1"}, {"e2", 8, "unreadable"}}, 9};
  origin.events = ObjectEvents{{{false, {"e3", 10, "3"}}, {true, {"e1", 11, ""}}}, 11};
  CompactingStore store(origin, kKinds, &ParsePlatformRecord);
  ObjectList list;
  store.List("engines", [&](const absl::StatusOr<ObjectList>& result) { list = *result; });
  ASSERT_EQ(list.items.size(), 2U);
  EXPECT_EQ(list.at, 9);
  EXPECT_TRUE(IsCompactEngineRecord(list.items[0].content));
  EXPECT_EQ(store.ParseEngine(list.items[0])->address, MakeRecord(1).address);
  EXPECT_EQ(list.items[1].content, "");
  EXPECT_EQ(MessageOf(store.ParseEngine(list.items[1]).status()), "not a number; write a number");
  ObjectEvents events;
  store.Watch("engines", 9, std::chrono::milliseconds(1),
              [&](const absl::StatusOr<ObjectEvents>& result) { events = *result; });
  ASSERT_EQ(events.events.size(), 2U);
  EXPECT_EQ(store.ParseEngine(events.events[0].object)->id, "e3");
  EXPECT_TRUE(events.events[1].gone);
  store.List("config", [&](const absl::StatusOr<ObjectList>& result) { list = *result; });
  EXPECT_EQ(list.items[0].content, "1");
}

// Guards against: entries that are refused go on to followers whole, and the list no longer decodes there.
TEST(CompactingStoreTest, RefusedEntriesAreRelayedWithoutTheirContent) {
  constexpr std::size_t kMegabyte = 1024 * 1024;
  FakeStore origin;
  origin.list = ObjectList{{{"e1", 7, "1"}}, 90};
  for (int i = 0; i < 40; ++i) {
    origin.list->items.push_back({"odd" + std::to_string(i), 8 + i, std::string(kMegabyte, 'x')});
    origin.list->items.push_back({std::string(kMegabyte, 'n') + std::to_string(i), 50 + i, "2"});
  }
  CompactingStore store(origin, kKinds, &ParsePlatformRecord);
  ObjectList list;
  store.List("engines", [&](const absl::StatusOr<ObjectList>& result) { list = *result; });
  const auto relayed = replica::decode_list(replica::encode(replica::RelayedList{list, {}}));
  ASSERT_TRUE(relayed.ok()) << relayed.status();
  ASSERT_EQ(relayed->list.items.size(), 81U);
  EXPECT_TRUE(store.ParseEngine(relayed->list.items[0]).ok());
  EXPECT_EQ(relayed->list.items[1].defect, "not a number; write a number");
  EXPECT_EQ(MessageOf(store.ParseEngine(relayed->list.items[1]).status()), relayed->list.items[1].defect);
  std::set<std::string> names;
  for (std::size_t i = 1; i < 81; ++i) {
    EXPECT_FALSE(store.ParseEngine(relayed->list.items[i]).ok());
    EXPECT_LE(relayed->list.items[i].content.size() + relayed->list.items[i].name.size(), 1024U);
    names.insert(relayed->list.items[i].name);
  }
  EXPECT_EQ(names.size(), 80U);
}

// Guards against: objects that nobody reads, beside the configuration, make its list too large for followers.
TEST(CompactingStoreTest, ObjectsBesideTheConfigurationHaveNoContent) {
  FakeStore origin;
  origin.list = ObjectList{{{"e1", 7, "1"}, {"other", 8, "2"}}, 9};
  origin.events = ObjectEvents{{{false, {"other", 10, "3"}}, {false, {"e1", 11, "4"}}}, 11};
  CompactingStore store(origin, kKinds, &ParsePlatformRecord);
  ObjectList list;
  store.List("config", [&](const absl::StatusOr<ObjectList>& result) { list = *result; });
  EXPECT_EQ(list.items[0].content, "1");
  EXPECT_EQ(list.items[1].content, "");
  ObjectEvents events;
  store.Watch("config", 9, std::chrono::milliseconds(1),
              [&](const absl::StatusOr<ObjectEvents>& result) { events = *result; });
  EXPECT_EQ(events.events[0].object.content, "");
  EXPECT_EQ(events.events[1].object.content, "4");
}

// Guards against: the removal of an entry with a long name has another name than the entry.
TEST(CompactingStoreTest, LongNamesAreShortenedAlikeInListsAndChanges) {
  const std::string name(100'000, 'n');
  FakeStore origin;
  origin.list = ObjectList{{{name + "1", 7, "1"}, {name + "2", 8, "2"}}, 9};
  origin.events = ObjectEvents{{{true, {name + "2", 10, ""}}}, 11};
  CompactingStore store(origin, kKinds, &ParsePlatformRecord);
  for (const std::string kind : {"engines", "config"}) {
    ObjectList list;
    store.List(kind, [&](const absl::StatusOr<ObjectList>& result) { list = *result; });
    ObjectEvents events;
    store.Watch(kind, 9, std::chrono::milliseconds(1),
                [&](const absl::StatusOr<ObjectEvents>& result) { events = *result; });
    EXPECT_LE(list.items[1].name.size(), 1024U);
    EXPECT_EQ(events.events[0].object.name, list.items[1].name);
    EXPECT_NE(events.events[0].object.name, list.items[0].name);
    EXPECT_TRUE(events.events[0].gone);
  }
}

// Guards against: an accepted record with long members makes the list too large for followers.
TEST(CompactingStoreTest, RecordsThatStayLargeAreRefused) {
  FakeStore origin;
  origin.list = ObjectList{{{"e1", 7, "1"}}, 9};
  CompactingStore store(origin, kKinds, [](const StoredObject& object) {
    absl::StatusOr<serving::EngineRecord> record = ParsePlatformRecord(object);
    if (record.ok()) record->service.assign(1'000'000, 's');
    return record;
  });
  ObjectList list;
  store.List("engines", [&](const absl::StatusOr<ObjectList>& result) { list = *result; });
  EXPECT_EQ(list.items[0].content, "");
  EXPECT_NE(MessageOf(store.ParseEngine(list.items[0]).status()).find("bytes"), std::string::npos);
}

TEST(CompactingStoreTest, ErrorsOfTheStoreArePassedOn) {
  FakeStore origin;
  origin.list = absl::UnavailableError("down");
  origin.events = absl::OutOfRangeError("compacted");
  CompactingStore store(origin, kKinds, &ParsePlatformRecord);
  absl::Status listed;
  store.List("engines", [&](const absl::StatusOr<ObjectList>& result) { listed = result.status(); });
  EXPECT_EQ(listed.code(), absl::StatusCode::kUnavailable);
  absl::Status watched;
  store.Watch("engines", 0, std::chrono::milliseconds(1),
              [&](const absl::StatusOr<ObjectEvents>& result) { watched = result.status(); });
  EXPECT_EQ(watched.code(), absl::StatusCode::kOutOfRange);
}

TEST(EngineRecordCodecTest, AListOfTenThousandEnginesIsSmall) {
  constexpr int kEngines = 10000;
  ObjectList list;
  for (int i = 0; i < kEngines; ++i) list.items.push_back({MakeRecord(i).id, i + 1, EncodeEngineRecord(MakeRecord(i))});
  const std::string encoded = replica::encode(replica::RelayedList{list, {}});
  EXPECT_LE(encoded.size(), 60U * kEngines);
  const auto decoded = replica::decode_list(encoded);
  ASSERT_TRUE(decoded.ok());
  ASSERT_EQ(decoded->list.items.size(), list.items.size());
  EXPECT_EQ(*DecodeEngineRecord("engine-77", decoded->list.items[77].content), MakeRecord(77));
}

TEST(EngineRecordCodecTest, FieldsOutOfRangeAreRefused) {
  serving::EngineRecord record = MakeRecord(1);
  record.slots = 0;
  EXPECT_FALSE(DecodeEngineRecord(record.id, EncodeEngineRecord(record)).ok());
  record = MakeRecord(1);
  record.address.clear();
  EXPECT_FALSE(DecodeEngineRecord(record.id, EncodeEngineRecord(record)).ok());
  record = MakeRecord(1);
  record.stage = static_cast<serving::EngineStage>(9);
  EXPECT_FALSE(DecodeEngineRecord(record.id, EncodeEngineRecord(record)).ok());
}

RC_GTEST_PROP(EngineRecordCodecProperty, DamagedRecordsAreRefusedOrWithinRange, ()) {
  const serving::EngineRecord record = MakeRecord(*rc::gen::inRange(0, 1000));
  std::string content = EncodeEngineRecord(record);
  RC_ASSERT(*DecodeEngineRecord(record.id, content) == record);
  const auto cut = *rc::gen::inRange<std::size_t>(0, content.size());
  // Copied, so that reading past the end is seen by the sanitizer.
  const std::string truncated = content.substr(0, cut);
  const auto decoded = DecodeEngineRecord(record.id, truncated);
  if (decoded.ok()) RC_ASSERT(decoded->slots >= 1 && !decoded->address.empty());
  content[cut] = *rc::gen::arbitrary<char>();
  const auto changed = DecodeEngineRecord(record.id, content);
  if (changed.ok()) RC_ASSERT(changed->slots >= 1 && !changed->address.empty());
}

}  // namespace
}  // namespace saltquay::gateway
