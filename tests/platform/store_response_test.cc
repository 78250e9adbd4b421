// The store's responses hold entries of other writers: whatever one of them contains, the process and the other entries
// are unaffected.
#include <gtest/gtest.h>

#include <fmt/format.h>

#include "absl/strings/str_join.h"
#include "platform/records.h"
#include "tests/support/store_client_fixture.h"

namespace saltquay::platform {
namespace {

using saltquay::testing::Answering;
using saltquay::testing::Reply;
using saltquay::testing::ScriptedConnection;
using saltquay::testing::ScriptedServer;
using StoreResponseTest = saltquay::testing::StoreClientFixture;

constexpr std::string_view kRecord = R"({"service":"s","address":"1.2.3.4:5","slots":4,"state":"ready"})";

std::string Repeat(std::string_view text, std::size_t times) {
  std::string repeated;
  for (std::size_t i = 0; i < times; ++i) repeated += text;
  return repeated;
}
std::string Arrays(std::size_t depth) { return Repeat("[", depth) + Repeat("]", depth); }
std::string Objects(std::size_t depth) { return Repeat(R"({"a":)", depth) + "1" + Repeat("}", depth); }

std::string Entry(std::string_view name, std::string_view spec = kRecord, std::string_view revision = "5") {
  return fmt::format(R"({{"metadata":{{"name":"{}","revision":{}}},"spec":{},"status":null}})", name, revision, spec);
}
std::string ListOf(const std::vector<std::string>& entries) {
  return R"({"items":[)" + absl::StrJoin(entries, ",") + R"(],"more":false,"at":10})";
}
std::string EventsOf(const std::vector<std::string>& entries) {
  std::vector<std::string> events;
  events.reserve(entries.size());
  for (const std::string& entry : entries) events.push_back(R"({"object":)" + entry + R"(,"gone":false})");
  return R"({"events":[)" + absl::StrJoin(events, ",") + R"(],"at":11})";
}

// Lists, watches and reads `entry` between two others, which must be unaffected. Returns the listed object of `entry`.
gateway::StoredObject ExpectNeighboursUnaffected(const std::function<absl::StatusOr<gateway::ObjectList>()>& list,
                                                 const std::function<absl::StatusOr<gateway::ObjectEvents>()>& watch) {
  const auto listed = list();
  EXPECT_TRUE(listed.ok()) << listed.status();
  if (!listed.ok() || listed->items.size() != 3) return {"not listed", -1, ""};
  EXPECT_EQ(listed->items[0].name, "first");
  EXPECT_TRUE(ParseEngine(listed->items[0]).ok());
  EXPECT_EQ(listed->items[2].name, "last");
  EXPECT_TRUE(ParseEngine(listed->items[2]).ok());
  EXPECT_EQ(listed->at, 10);
  const auto events = watch();
  EXPECT_TRUE(events.ok()) << events.status();
  if (!events.ok() || events->events.size() != 3) return {"not watched", -1, ""};
  EXPECT_TRUE(ParseEngine(events->events[0].object).ok());
  EXPECT_TRUE(ParseEngine(events->events[2].object).ok());
  EXPECT_EQ(events->events[1].object.name, listed->items[1].name);
  EXPECT_EQ(events->events[1].object.content, listed->items[1].content);
  EXPECT_EQ(events->at, 11);
  return listed->items[1];
}

class OddEntryTest : public StoreResponseTest {
 protected:
  gateway::StoredObject ListAndWatch(const std::string& entry) {
    const std::vector<std::string> entries = {Entry("first"), entry, Entry("last")};
    ScriptedServer server({Answering([&](const std::string& target) {
      if (target.find("watch") != std::string::npos) return EventsOf(entries);
      return target == "/objects/servers" ? ListOf(entries) : entry;
    })});
    read_ = Read(server.address(), "odd");
    return ExpectNeighboursUnaffected([&] { return List(server.address()); }, [&] { return Watch(server.address()); });
  }
  absl::StatusOr<gateway::StoredObject> read_;  // What reading the entry by its name yielded.
};

// Guards against one deeply nested record that ends every process that lists, watches or reads it.
TEST_F(OddEntryTest, DeepRecordIsRefusedAlone) {
  for (const std::size_t depth : {50'000, 65, 500, 200'000, 1'000'000}) {
    for (const std::string& spec :
         {Arrays(depth), Objects(depth), R"({"service":)" + Arrays(depth) + "}", R"({"version":)" + Arrays(depth) + "}",
          R"({"service":"s","address":"1.2.3.4:5","slots":4,"state":"ready","x":)" + Objects(depth) + "}"}) {
      const gateway::StoredObject odd = ListAndWatch(Entry("odd", spec));
      EXPECT_EQ(odd.name, "odd");
      EXPECT_EQ(odd.revision, 5);
      const auto engine = ParseEngine(odd);
      ASSERT_FALSE(engine.ok()) << depth;
      EXPECT_EQ(KindOf(engine.status()), ErrorKind::kCorrupt);
      EXPECT_FALSE(ParseConfig(odd).ok());
    }
  }
}

// Guards against a depth that is not in the record but around it, in members that nothing reads.
TEST_F(OddEntryTest, DepthBesideTheRecordDoesNotMatter) {
  for (const std::size_t depth : {65, 50'000, 200'000}) {
    for (const std::string& entry :
         {R"({"metadata":{"name":"odd","revision":5},"spec":)" + std::string(kRecord) + R"(,"status":)" +
              Arrays(depth) + "}",
          R"({"status":)" + Objects(depth) + R"(,"spec":)" + std::string(kRecord) +
              R"(,"metadata":{"revision":5,"finalizers":)" + Arrays(depth) + R"(,"name":"odd"}})"}) {
      const gateway::StoredObject odd = ListAndWatch(entry);
      EXPECT_EQ(odd.name, "odd");
      EXPECT_TRUE(ParseEngine(odd).ok());
      EXPECT_TRUE(read_.ok()) << read_.status();
    }
  }
}

// Guards against metadata, or an entry, of any depth that ends the process.
TEST_F(OddEntryTest, DeepMetadataIsRefusedAlone) {
  for (const std::size_t depth : {65, 50'000, 200'000}) {
    for (const std::string& deep : {Arrays(depth), Objects(depth)}) {
      for (const std::string& entry : {R"({"metadata":)" + deep + R"(,"spec":{}})", deep,
                                       R"({"metadata":{"name":)" + deep + R"(,"revision":5},"spec":{}})"}) {
        EXPECT_EQ(ListAndWatch(entry).name, "");
        EXPECT_FALSE(read_.ok());
      }
      const gateway::StoredObject odd = ListAndWatch(Entry("odd", "{}", deep));
      EXPECT_EQ(odd.name, "odd");
      EXPECT_EQ(odd.content, "");
      EXPECT_FALSE(read_.ok());
    }
  }
}

// Guards against one number out of range that makes a whole list or watch unreadable.
TEST_F(OddEntryTest, NumberOutOfRangeSpoilsAtMostItsEntry) {
  for (const char* const number : {"1e400", "-1e400", "1e99999999999", "1180591620717411303424", "Infinity", "NaN"}) {
    const gateway::StoredObject in_record = ListAndWatch(Entry("odd", fmt::format(R"({{"slots":{}}})", number)));
    EXPECT_EQ(in_record.name, "odd");
    EXPECT_FALSE(ParseEngine(in_record).ok()) << number;

    const gateway::StoredObject in_revision = ListAndWatch(Entry("odd", kRecord, number));
    EXPECT_EQ(in_revision.name, "odd");
    EXPECT_EQ(in_revision.content, "") << number;
    EXPECT_FALSE(read_.ok());

    const std::string unread = fmt::format(
        R"({{"x":{0},"metadata":{{"made":{0},"name":"odd","revision":5}},"spec":{1},"status":{0}}})", number, kRecord);
    EXPECT_TRUE(ParseEngine(ListAndWatch(unread)).ok()) << number;
    EXPECT_TRUE(read_.ok()) << read_.status();
  }
}

TEST_F(OddEntryTest, MembersInAnyOrder) {
  for (const std::string entry :
       {R"({"spec":SPEC,"metadata":{"revision":5,"name":"odd"}})",
        R"({"metadata":{"name":"odd","revision":5},"spec":SPEC})",
        R"({"a":[{}],"metadata":{"x":{"name":"b"},"name":"odd","revision":5,"y":[]},"b":"}","spec":SPEC,"c":"]"})",
        " { \"spec\" : SPEC , \"metadata\" : { \"revision\" : 5 , \"name\" : \"odd\" } } "}) {
    std::string text = entry;
    text.replace(text.find("SPEC"), 4, kRecord);
    const gateway::StoredObject object = ListAndWatch(text);
    EXPECT_EQ(object.name, "odd") << text;
    EXPECT_EQ(object.revision, 5);
    EXPECT_TRUE(ParseEngine(object).ok()) << text;
    ASSERT_TRUE(read_.ok()) << read_.status();
    EXPECT_EQ(read_->name, "odd");
    EXPECT_TRUE(ParseEngine(*read_).ok());
  }
}

// Of members with the same name the last one counts, as for most parsers.
TEST_F(OddEntryTest, LastOfDuplicateMembersCounts) {
  const gateway::StoredObject object = ListAndWatch(
      R"({"spec":1,"metadata":{"name":"x","revision":3},"metadata":{"name":"y","name":"odd","revision":4,"revision":5},"spec":{}})");
  EXPECT_EQ(object.name, "odd");
  EXPECT_EQ(object.revision, 5);
  EXPECT_EQ(object.content, "{}");
}

// Guards against accepting an entry in part: without a valid name and revision it has no content.
TEST_F(OddEntryTest, EntryOfAnotherFormHasNoContent) {
  const std::vector<std::pair<std::string, std::string>> entries_and_names = {
      {"null", ""},
      {"7", ""},
      {"-0.5", ""},
      {"true", ""},
      {R"("text")", ""},
      {"[]", ""},
      {"[[{}]]", ""},
      {"{}", ""},
      {R"({"metadata":null,"spec":{}})", ""},
      {R"({"metadata":[],"spec":{}})", ""},
      {R"({"metadata":"m","spec":{}})", ""},
      {R"({"spec":{}})", ""},
      {R"({"metadata":{"revision":5},"spec":{}})", ""},
      {R"({"metadata":{"name":null,"revision":5},"spec":{}})", ""},
      {R"({"metadata":{"name":7,"revision":5},"spec":{}})", ""},
      {R"({"metadata":{"name":["odd"],"revision":5},"spec":{}})", ""},
      {R"({"metadata":{"name":"odd"},"spec":{}})", "odd"},
      {Entry("odd", "{}", "null"), "odd"},
      {Entry("odd", "{}", R"("5")"), "odd"},
      {Entry("odd", "{}", "[]"), "odd"},
      {Entry("odd", "{}", "-5"), "odd"},
      {Entry("odd", "{}", "{}"), "odd"}};
  for (const auto& [entry, name] : entries_and_names) {
    const gateway::StoredObject object = ListAndWatch(entry);
    EXPECT_EQ(object.name, name) << entry;
    EXPECT_EQ(object.content, "") << entry;
    const std::string refusal = MessageOf(ParseEngine(object).status());
    EXPECT_NE(refusal.find(fmt::format("entry of {} bytes in", entry.size())), std::string::npos) << refusal;
    EXPECT_FALSE(read_.ok()) << entry;
  }
}

TEST_F(OddEntryTest, NamesAreDecoded) {
  const std::vector<std::pair<std::string, std::string>> escaped_and_names = {
      {R"(a\ud83d\ude00)", "a\xF0\x9F\x98\x80"},
      {R"(a\ud800)", "a\xEF\xBF\xBD"},
      {R"(\udc00\ud800)", "\xEF\xBF\xBD\xEF\xBF\xBD"},
      {R"(\u0061\n\"\\)", "a\n\"\\"},
      {"a\xC4\x9F", "a\xC4\x9F"},
      {"a\xff", "a\xEF\xBF\xBD"},
      {"", ""},
      {R"(a\u0000b)", std::string("a\0b", 3)},
      {Repeat("n", 100'000), Repeat("n", 100'000)}};
  for (const auto& [escaped, name] : escaped_and_names) {
    const gateway::StoredObject object = ListAndWatch(Entry(escaped, "{}"));
    EXPECT_EQ(object.name, name) << escaped;
    EXPECT_EQ(object.content, "{}") << escaped;
  }
}

// The text of a record reaches its parser whatever the record is; only its form as JSON is checked there.
TEST_F(OddEntryTest, ContentIsTheRecordsText) {
  const std::string wide = R"({"x":")" + Repeat("y", 900'000) + R"("})";
  for (const std::string& spec :
       {std::string("null"), std::string("7"), std::string(R"("a,]}{\"")"), std::string("[]"), std::string("[1,{},[]]"),
        std::string("{}"), std::string(R"({"a":{"spec":1,"metadata":{}}})"), std::string("-1.5e3"), wide}) {
    const gateway::StoredObject object = ListAndWatch(Entry("odd", spec));
    EXPECT_EQ(object.content, spec);
    EXPECT_EQ(object.revision, 5);
  }
  EXPECT_EQ(ListAndWatch(R"({"metadata":{"name":"odd","revision":5}})").content, "");
}

TEST_F(StoreResponseTest, EventsOfAnotherForm) {
  const std::vector<std::string> events = {
      "null",
      "7",
      "[]",
      "{}",
      R"({"gone":5,"object":)" + Entry("a") + "}",
      R"({"object":)" + Entry("b") + R"(,"gone":true})",
      R"({"gone":false,"gone":true,"object":)" + Entry("c") + "}",
      R"({"gone":)" + Arrays(200'000) + R"(,"object":)" + Entry("d") + "}",
      R"({"x":)" + Objects(200'000) + R"(,"gone":true,"object":)" + Entry("e") + "}",
      R"({"gone":true,"object":{"metadata":{"name":"f"}}})"};
  ScriptedServer server(
      {Answering([&](const std::string&) { return R"({"at":11,"events":[)" + absl::StrJoin(events, ",") + "]}"; })});
  const auto watched = Watch(server.address());
  ASSERT_TRUE(watched.ok()) << watched.status();
  ASSERT_EQ(watched->events.size(), events.size());
  const std::vector<std::pair<bool, std::string>> expected = {{false, ""},  {false, ""}, {false, ""}, {false, ""},
                                                              {false, "a"}, {true, "b"}, {true, "c"}, {false, "d"},
                                                              {true, "e"},  {true, "f"}};
  for (std::size_t i = 0; i < events.size(); ++i) {
    EXPECT_EQ(watched->events[i].gone, expected[i].first) << i;
    EXPECT_EQ(watched->events[i].object.name, expected[i].second) << i;
  }
  EXPECT_EQ(watched->at, 11);
}

// Guards against a response that isn't one and is taken for an empty list, which would remove every engine.
TEST_F(StoreResponseTest, ResponseOfAnotherFormIsAnError) {
  const std::string entry = Entry("a");
  const std::vector<std::string> bodies = {"",
                                           " ",
                                           "null",
                                           "7",
                                           "[]",
                                           "{}",
                                           R"("text")",
                                           R"({"items":[]})",
                                           R"({"at":1})",
                                           R"({"items":[],"at":"1"})",
                                           R"({"items":[],"at":null})",
                                           R"({"items":[],"at":1e400})",
                                           R"({"items":[],"at":[]})",
                                           R"({"items":[],"at":1.5})",
                                           R"({"items":{},"at":1})",
                                           R"({"items":7,"at":1})",
                                           R"({"items":"a","at":1})",
                                           R"({"items":[],"more":1,"at":1})",
                                           R"({"items":[],"more":"true","at":1})",
                                           R"({"items":[],"at":1)",
                                           R"({"items":[)" + entry + R"("at":1})",
                                           R"({"items":[)" + entry + entry + R"(],"at":1})",
                                           R"({"items":[)" + entry + R"(],"at":1}})",
                                           R"({"items":[)" + entry + R"(],"at":1} x)",
                                           R"({"items":[{]},"at":1})"};
  std::size_t next = 0;
  ScriptedServer server({Answering([&](const std::string&) { return bodies[next]; })});
  for (next = 0; next < bodies.size(); ++next) EXPECT_FALSE(List(server.address()).ok()) << bodies[next];
  for (std::string events : {R"({"events":{},"at":1})", R"({"events":[]})", R"({"events":[],"at":"1"})"}) {
    ScriptedServer watched({Answering([&](const std::string&) { return events; })});
    EXPECT_FALSE(Watch(watched.address()).ok()) << events;
  }
}

// Guards against half a list that is taken for the whole one.
TEST_F(StoreResponseTest, EveryTruncationOfAListIsAnError) {
  const std::string whole =
      R"({"items":[)" + Entry("a") + "," + Entry("b", R"({"x":[{}]})") + R"(],"more":false,"at":10})";
  std::size_t length = 0;
  ScriptedServer server({Answering([&](const std::string&) { return whole.substr(0, length); })});
  for (length = 0; length < whole.size(); ++length) {
    EXPECT_FALSE(List(server.address()).ok()) << whole.substr(0, length);
  }
  EXPECT_EQ(List(server.address())->items.size(), 2U);
}

// The object in the reply to a write is read like any other.
TEST_F(StoreResponseTest, ReplyToAWriteOfAnotherFormIsAnError) {
  for (const auto& [reply, accepted] : {std::pair{Entry("a", Objects(200'000)), true},
                                        {Entry("a"), true},
                                        {Arrays(200'000), false},
                                        {Entry("a", "{}", "1e400"), false},
                                        {std::string("{}"), false},
                                        {std::string(), false}}) {
    ScriptedServer server({[reply = reply](ScriptedConnection& connection) {
      connection.ReadUntil("}}");
      connection.Write(Reply(200, reply));
      connection.ReadToEnd();
    }});
    const auto written = Run<gateway::StoredObject>(server.address(), [](auto& client, auto done) {
      client.Write("k", {"a", 4, "{}"}, done);
    });
    EXPECT_EQ(written.ok(), accepted) << reply.substr(0, 100) << written.status();
    if (accepted) {
      EXPECT_EQ(written->revision, 5);
    }
  }
}

// Guards against: a response that would come again just as it is, is taken for a lost connection and asked for again.
TEST_F(StoreResponseTest, ResponseThatCannotBeUsedIsNoLostConnection) {
  constexpr std::size_t kTooLong = 17 * 1024 * 1024;
  ScriptedServer too_long({Answering([](const std::string&) { return std::string(kTooLong, ' '); })});
  EXPECT_TRUE(absl::IsDataLoss(Watch(too_long.address()).status()));
  ScriptedServer undecodable({Answering([](const std::string&) { return R"({"events":[{"object":)"; })});
  EXPECT_TRUE(absl::IsDataLoss(Watch(undecodable.address()).status()));
  ScriptedServer cut({[](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{");
  }});
  EXPECT_TRUE(absl::IsDeadlineExceeded(Watch(cut.address()).status()));
}

}  // namespace
}  // namespace saltquay::platform
