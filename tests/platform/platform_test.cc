// Tests the platform adapter: parsing of store objects, and store calls over real sockets.
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <nlohmann/json.hpp>

#include "absl/strings/str_join.h"
#include "platform/json_sanitizer.h"
#include "platform/records.h"
#include "tests/support/store_client_fixture.h"

namespace saltquay::platform {
namespace {

using saltquay::testing::Reply;
using saltquay::testing::ScriptedConnection;
using saltquay::testing::ScriptedServer;

TEST(RecordsTest, ParsesConfiguration) {
  const auto config = ParseConfig({"main", 3, R"({"version":7,"routes":[
    {"name":"r1","host":"h","path_prefix":"/a/","kind":"safe","timeout_ms":4000,"target_latency_ms":600,"priority":1,
     "service":"s1","max_attempts":2},
    {"name":"r2","host":"h","path_prefix":"/b/","kind":"streaming","timeout_ms":1,"resumable":true,"max_attempts":1,
     "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],
    "services":[{"name":"s1","health_check_path":"/h","max_connections":5,"engine":{"slots":64,"kv_capacity_tokens":9,
     "stage_switch_s":2.5}},{"name":"s2"}],"limits":{"max_header_bytes":99}})"});
  ASSERT_TRUE(config.ok()) << config.status();
  EXPECT_EQ(config->version, 7U);
  EXPECT_TRUE(config->routes[0].repeatable());
  EXPECT_EQ(config->routes[1].services[1].weight, 10);
  EXPECT_TRUE(config->routes[1].repeatable());
  EXPECT_EQ(config->services[0].language->role_change, Duration(2500ms));
  EXPECT_FALSE(config->services[1].language);
  EXPECT_EQ(config->limits.head_bytes, 99U);
}

TEST(RecordsTest, ParsesTenants) {
  const auto config = ParseConfig({"main", 3, R"({"version":7,"services":[],"routes":[
    {"host":"h","path_prefix":"/a/","service":"s","allow_anonymous":true},{"host":"h","path_prefix":"/b/","service":"s"}],
    "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1},{"name":"t2","api_keys":[]}]})"});
  ASSERT_TRUE(config.ok()) << config.status();
  EXPECT_TRUE(config->requires_keys);
  EXPECT_TRUE(config->routes[0].allows_anonymous);
  EXPECT_FALSE(config->routes[1].allows_anonymous);
  ASSERT_EQ(config->tenants.size(), 2U);
  EXPECT_EQ(config->tenants[0].api_keys, (std::vector<std::string>{"k1", "k2"}));
  EXPECT_EQ(config->tenants[0].priority, 1);
  EXPECT_EQ(config->tenants[1].priority, std::nullopt);
  EXPECT_FALSE(ParseConfig({"main", 3, R"({"version":7,"services":[],"routes":[]})"})->requires_keys);
}

absl::StatusOr<serving::ServingConfig> ParseLimitOf(const std::string& limit) {
  return ParseConfig(
      {"main", 3,
       R"({"version":7,"services":[],"routes":[],"tenants":[{"name":"t1","api_keys":["k"])" + limit + "}]}"});
}

TEST(RecordsTest, ParsesTenantLimits) {
  const auto in_tokens = ParseLimitOf(R"(,"unit":"tokens","rate_per_s":29000,"burst":58000,"plain_tokens":40)");
  ASSERT_TRUE(in_tokens.ok()) << in_tokens.status();
  EXPECT_EQ(in_tokens->tenants[0].limit, (limits::TenantLimit{29000, 58000, limits::LimitUnit::Tokens, 40}));
  const auto in_requests = ParseLimitOf(R"(,"rate_per_s":5,"burst":2)");
  ASSERT_TRUE(in_requests.ok()) << in_requests.status();
  EXPECT_EQ(in_requests->tenants[0].limit, (limits::TenantLimit{5, 2, limits::LimitUnit::Requests, 1}));
  EXPECT_EQ(ParseLimitOf("")->tenants[0].limit, std::nullopt);
  EXPECT_EQ(ParseLimitOf(R"(,"rate_per_s":0,"burst":9,"unit":"tokens")")->tenants[0].limit, std::nullopt);
}

// An invalid limit must reject the whole configuration, so that the current version stays in force. The error names the
// tenant.
TEST(RecordsTest, InvalidTenantLimitIsCorrupt) {
  for (const char* limit : {R"(,"unit":"bytes","rate_per_s":5)", R"(,"unit":7,"rate_per_s":5)", R"(,"rate_per_s":-5)",
                            R"(,"rate_per_s":5,"burst":-1)", R"(,"rate_per_s":5,"plain_tokens":-1,"unit":"tokens")",
                            R"(,"rate_per_s":"5")", R"(,"unit":"bytes")"}) {
    const auto config = ParseLimitOf(limit);
    ASSERT_FALSE(config.ok()) << limit;
    EXPECT_EQ(KindOf(config.status()), ErrorKind::kCorrupt) << limit;
  }
  EXPECT_NE(ParseLimitOf(R"(,"rate_per_s":-5)").status().message().find("'t1'"), std::string::npos);
}

TEST(RecordsTest, InvalidConfigurationIsCorrupt) {
  for (const char* text :
       {"", "[]", "{}", R"({"version":"x","routes":[],"services":[]})", R"({"version":1,"routes":[{}],"services":[]})",
        R"({"version":1,"routes":[],"services":[],"tenants":[{"name":"t"}]})"}) {
    const auto config = ParseConfig({"main", 1, text});
    ASSERT_FALSE(config.ok()) << text;
    EXPECT_EQ(KindOf(config.status()), ErrorKind::kCorrupt);
    EXPECT_FALSE(ParseEngine({"e", 1, text}).ok());
  }
}

// Fields that, according to the platform, only the system may set or that are meant only for the system.
class SystemFieldTest : public ::testing::TestWithParam<const char*> {};

TEST_P(SystemFieldTest, IsNeverForwardedFromAClient) {
  const gateway::EngineProtocol protocol(PlatformEngineFields());
  http::RequestHead client;
  client.method = "POST";
  client.target = "/a/b";
  client.fields.Add("Host", "h");
  client.fields.Add(GetParam(), "the-clients-own");
  client.fields.Add(GetParam(), "the-clients-own");
  for (const auto mode :
       {serving::AttemptMode::kWhole, serving::AttemptMode::kPrefill, serving::AttemptMode::kContinue}) {
    serving::StartAttempt attempt;
    attempt.mode = mode;
    attempt.engine_id = "e";
    attempt.tenant = "t";
    if (mode == serving::AttemptMode::kContinue) attempt.kv_cache_source = {"e", "1.1.1.1:1", "handle"};
    const std::string bytes = http::SerializeRequest(protocol.MakeRequest(client, attempt), "");
    EXPECT_EQ(bytes.find("the-clients-own"), std::string::npos) << bytes;
    EXPECT_NE(bytes.find("X-Tenant: t\r\n"), std::string::npos) << bytes;
  }
}

INSTANTIATE_TEST_SUITE_P(EachField, SystemFieldTest,
                         ::testing::Values("X-Credential", "x-credential", "X-Tenant", "X-Stage", "X-Kv-Source",
                                           "X-Kv-Backup", "X-Kv-Hold", "X-Pin-Ms", "Kv-Fetch", "X-Expect-Instance",
                                           "X-Expect-Version", "X-Request-Priority", "X-Duty-Holder",
                                           "X-Fencing-Token"));

TEST(EngineNamesTest, DecodesTheApiKey) {
  const gateway::EngineProtocol protocol(PlatformEngineFields());
  http::RequestHead client;
  client.fields.Add("X-Credential", "k1");
  EXPECT_EQ(protocol.DecodeRequest(client).api_key, "k1");
}

TEST(RecordsTest, ParsesEngineRecord) {
  const auto engine = ParseEngine({"i-1", 1, R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":64,
    "state":"draining","stage":"decode","sequence":4,"cold_remaining_ms":0,"version":"v1"})"});
  ASSERT_TRUE(engine.ok());
  EXPECT_EQ(engine->id, "i-1");
  EXPECT_TRUE(engine->leaving);
  EXPECT_EQ(engine->stage, serving::EngineStage::kDecode);
  EXPECT_EQ(engine->software_version, "v1");
}

TEST(RecordsTest, ParsesEngineStartTime) {
  const auto engine = ParseEngine(
      {"i-1", 1, R"({"service":"s","address":"1.2.3.4:5","slots":4,"state":"ready","born":1796289000123})"});
  ASSERT_TRUE(engine.ok());
  EXPECT_EQ(engine->started_ms, 1796289000123);
}

// Guards against accepting an object of another writer as an engine record, in part or with defaults for missing
// members.
TEST(RecordsTest, RejectsObjectsThatAreNotEngineRecords) {
  for (const char* const text : {
           R"("bytes")",
           "",
           "null",
           "[]",
           R"({"service":"s"})",
           R"({"service":"s","address":"1.2.3.4:5","slots":4,"state":"resting"})",
           R"({"service":"s","address":"1.2.3.4:5","slots":4,"state":7})",
           R"({"service":"s","address":"1.2.3.4:5","slots":4})",
           R"({"service":"s","address":"1.2.3.4:5","state":"ready"})",
           R"({"service":"s","address":"1.2.3.4:5","slots":"4","state":"ready"})",
           R"({"service":"s","address":"1.2.3.4:5","slots":0,"state":"ready"})",
           R"({"service":"s","address":"1.2.3.4:5","slots":4,"state":"ready","born":1.5})",
           R"({"service":"s","address":"1.2.3.4:5","slots":4,"state":"ready","born":-1})",
           R"({"service":["s"],"address":"1.2.3.4:5","slots":4,"state":"ready"})",
           R"({"service":"s","address":"1.2.3.4:5","slots":5000000000,"state":"ready"})",
           R"({"service":"s","address":"1.2.3.4:5","slots":4,"state":"ready","sequence":1.5})",
           R"({"service":"s","address":"1.2.3.4:5","slots":4,"state":"ready","sequence":-1})",
           R"({"service":"s","address":"1.2.3.4:5","slots":4,"state":"ready","sequence":18446744073709551615})",
           R"({"service":"s","address":"nowhere","slots":4,"state":"ready"})",
           R"({"service":"s","address":":5","slots":4,"state":"ready"})",
           R"({"service":"s","address":"1.2.3.4:99999","slots":4,"state":"ready"})",
           R"({"service":"s","address":"1.2.3.4:5\r\nX: y:5","slots":4,"state":"ready"})",
       }) {
    const auto engine = ParseEngine({"i-1", 1, text});
    ASSERT_FALSE(engine.ok()) << text;
    EXPECT_EQ(KindOf(engine.status()), ErrorKind::kCorrupt);
  }
}

constexpr char kEngine[] = R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":4,"state":"ready",
    "stage":"decode","sequence":4,"spot":false,"born":1796289000123,"version":"v1"})";

// Guards against header injection: engine ids are sent in header fields of requests.
TEST(RecordsTest, RejectsInvalidEngineIds) {
  for (const std::string name : {"", "a b", "a\r\nX-Stage: decode", "\xC3\xA9"}) {
    EXPECT_FALSE(ParseEngine({name, 1, kEngine}).ok()) << name;
  }
  EXPECT_FALSE(ParseEngine({std::string(1000, 'a'), 1, kEngine}).ok());
  EXPECT_TRUE(ParseEngine({"s1-2.a_b", 1, kEngine}).ok());
}

// Replaces each member by values of any type: the record either parses completely or is rejected as corrupt.
// Guards against log lines that are no JSON: engine ids stand in them as they are.
TEST(RecordsTest, RejectsEngineIdsThatEndAJsonString) {
  for (const char* name : {"a\"odd\"", "a\\u0000", "a\\"}) EXPECT_FALSE(ParseEngine({name, 1, kEngine}).ok()) << name;
}

TEST(RecordsTest, EngineRecordParsesCompletelyOrIsRejected) {
  const std::vector<nlohmann::json> values = {nullptr, true,       0,  -1,  7,     1.5,
                                              1e300,   UINT64_MAX, "", "x", {"x"}, {{"x", 1}}};
  const nlohmann::json valid_record = nlohmann::json::parse(kEngine);
  for (const auto& [field, valid_value] : valid_record.items()) {
    for (const nlohmann::json& value : values) {
      nlohmann::json entry = valid_record;
      entry[field] = value;
      const auto engine = ParseEngine({"i-1", 1, entry.dump()});
      if (!engine.ok()) {
        EXPECT_EQ(KindOf(engine.status()), ErrorKind::kCorrupt) << entry;
        continue;
      }
      EXPECT_EQ(nlohmann::json(engine->service), entry["service"]);
      EXPECT_EQ(nlohmann::json(engine->address), entry["address"]);
      EXPECT_EQ(nlohmann::json(engine->zone), entry["zone"]);
      EXPECT_EQ(nlohmann::json(engine->slots), entry["slots"]);
      EXPECT_EQ(nlohmann::json(engine->order_sequence), entry["sequence"]);
      EXPECT_EQ(nlohmann::json(engine->started_ms), entry["born"]);
      EXPECT_EQ(nlohmann::json(engine->spot), entry["spot"]);
    }
  }
}

// Guards against a refusal that doesn't tell which entry to look at, or that is as long as the entry.
TEST(RecordsTest, RefusalNamesTheObjectAndStaysShort) {
  const std::string deep = std::string(50'000, '[') + std::string(50'000, ']');
  const std::string message = MessageOf(ParseEngine({"odd", 5, deep}).status());
  EXPECT_NE(message.find("nested deeper than 64 levels"), std::string::npos) << message;
  EXPECT_NE(message.find("record of 100000 bytes in 50000 levels; servers/odd;"), std::string::npos) << message;
  EXPECT_NE(
      MessageOf(ParseConfig({"main", 5, deep}).status()).find("record of 100000 bytes in 50000 levels; config/main;"),
      std::string::npos);
  gateway::StoredObject unreadable{"odd", 0, ""};
  unreadable.defect = "the entry's revision is not a whole number";
  EXPECT_NE(MessageOf(ParseEngine(unreadable).status()).find(unreadable.defect), std::string::npos);

  const std::string endless(900'000, 'x');
  for (const std::string& text :
       {R"({"service":"s","address":"1.2.3.4:5","slots":4,"state":")" + endless + "\"}", "[" + endless,
        R"({")" + endless + R"(":1})", R"({"service":"s","address":")" + endless + "\"}", "\"" + endless + "\""}) {
    for (const std::string& name : {std::string("odd"), endless}) {
      EXPECT_LT(MessageOf(ParseEngine({name, 5, text}).status()).size(), 400U);
      EXPECT_LT(MessageOf(ParseConfig({name, 5, text}).status()).size(), 400U);
    }
  }
  EXPECT_LT(MessageOf(ParseLimitOf(R"(,"rate_per_s":5,"unit":")" + endless + "\"").status()).size(), 400U);
  // A name is cut between two characters.
  std::string wide_name;
  for (int i = 0; i < 100; ++i) wide_name += "a\xC4\x9F";
  const std::string cut = MessageOf(ParseEngine({wide_name, 5, "{}"}).status());
  EXPECT_EQ(SanitizeJson(cut), cut);
}

TEST(JsonSanitizerTest, ReplacesOnlyInvalidText) {
  const std::string pair = R"({"a":"\ud83d\ude00 \\ud800 \n é"})";
  EXPECT_EQ(SanitizeJson(pair), pair);
  EXPECT_EQ(SanitizeJson(R"("\ud800\ud83d\ude00\udc00")"), R"("\ufffd\ud83d\ude00\ufffd")");
  EXPECT_EQ(SanitizeJson("\"a\xff\""), "\"a\xEF\xBF\xBD\"");
  for (const std::string truncated : {"\\", "\\u", "\\ud8", "\\ud800", "\\ud800\\"}) {
    EXPECT_LE(SanitizeJson(truncated).size(), truncated.size() + 2) << truncated;
  }
}

RC_GTEST_PROP(JsonSanitizerProperty, IsIdempotent, (const std::string& text)) {
  const std::string readable = SanitizeJson(text);
  RC_ASSERT(SanitizeJson(readable) == readable);
}

// The JSON around a string can be parsed whatever bytes the string contains.
RC_GTEST_PROP(JsonSanitizerProperty, ResultParsesForAnyBytesInAString, (std::string bytes)) {
  std::erase_if(bytes, [](char byte) { return byte == '"' || byte == '\\' || (byte >= 0 && byte < ' '); });
  RC_ASSERT(nlohmann::json::accept(SanitizeJson("{\"a\":\"" + bytes + "\"}")));
}

using StoreTest = saltquay::testing::StoreClientFixture;

constexpr char kObject[] = R"({"metadata":{"name":"a","revision":5},"spec":{"x":1},"status":null})";

TEST_F(StoreTest, ListsAllPages) {
  std::vector<std::string> targets;
  ScriptedServer server({[&](ScriptedConnection& connection) {
    targets.push_back(connection.ReadHead());
    connection.Write(Reply(200, std::string(R"({"items":[)") + kObject + R"(],"more":true,"at":10})"));
    targets.push_back(connection.ReadHead());
    connection.Write(
        Reply(200, R"({"items":[{"metadata":{"name":"b","revision":6},"spec":{}}],"more":false,"at":12})"));
    connection.ReadToEnd();
  }});
  const auto list =
      Run<gateway::ObjectList>(server.address(), [](auto& client, auto done) { client.List("servers", done); });
  ASSERT_TRUE(list.ok()) << list.status();
  EXPECT_EQ(list->items.size(), 2U);
  EXPECT_EQ(list->at, 10);
  EXPECT_NE(targets[1].find("/objects/servers?after=a "), std::string::npos);
}

// Guards against: half a list, in a response that ends with its connection, is taken for the whole one.
TEST_F(StoreTest, HalfAResponseWithoutALengthIsAnError) {
  ScriptedServer server({[&](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(std::string("HTTP/1.1 200 OK\r\n\r\n{\"items\":[") + kObject + "]");
    connection.Close();
  }});
  const auto list =
      Run<gateway::ObjectList>(server.address(), [](auto& client, auto done) { client.List("servers", done); });
  EXPECT_FALSE(list.ok());
}

// Guards against one malformed entry of another writer that makes the whole collection unreadable.
TEST_F(StoreTest, MalformedEntryDoesNotHideTheOthers) {
  const std::string invalid_utf8 = "{\"metadata\":{\"name\":\"b\",\"revision\":6},\"spec\":{\"y\":\"\xff\xc3(\"}}";
  const std::string invalid_utf8_name = "{\"metadata\":{\"name\":\"a\xff\",\"revision\":7},\"spec\":{}}";
  const std::vector<std::string> entries = {kObject,
                                            invalid_utf8,
                                            invalid_utf8_name,
                                            R"({"metadata":{"name":"c"},"spec":{"x":1}})",
                                            R"({"metadata":{"name":8,"revision":"9"},"spec":{"x":1}})",
                                            "[]",
                                            "7",
                                            R"({"metadata":{"name":"d","revision":8},"spec":{"z":"\ud800\\ud800"}})"};
  const std::string items = absl::StrJoin(entries, ",");
  ScriptedServer server({[&](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(Reply(200, R"({"items":[)" + items + R"(],"more":false,"at":10})"));
    connection.ReadToEnd();
  }});
  const auto list =
      Run<gateway::ObjectList>(server.address(), [](auto& client, auto done) { client.List("servers", done); });
  ASSERT_TRUE(list.ok()) << list.status();
  ASSERT_EQ(list->items.size(), entries.size());
  EXPECT_EQ(list->items[0].name, "a");
  EXPECT_EQ(list->items[0].content, R"({"x":1})");
  EXPECT_EQ(list->items[1].name, "b");
  EXPECT_NE(list->items[2].name, "a");
  EXPECT_EQ(list->items[3].name, "c");
  EXPECT_EQ(list->items[3].content, "") << "an entry without a revision must not be accepted in part";
  for (std::size_t i = 4; i < 7; ++i) EXPECT_EQ(list->items[i].name, "") << entries[i];
  EXPECT_EQ(list->items[7].name, "d");

  ScriptedServer changes({[&](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(Reply(200, R"({"events":[{"object":)" + invalid_utf8 + R"(},{"gone":5,"object":[]},7,{"object":)" +
                                    kObject + R"(}],"at":11})"));
    connection.ReadToEnd();
  }});
  const auto watch = [](auto& client, auto done) { client.Watch("k", 3, std::chrono::milliseconds(100), done); };
  const auto events = Run<gateway::ObjectEvents>(changes.address(), watch);
  ASSERT_TRUE(events.ok()) << events.status();
  ASSERT_EQ(events->events.size(), 4U);
  EXPECT_EQ(events->events[3].object.content, R"({"x":1})");
}

TEST_F(StoreTest, ErrorCodeShowsWhetherAWriteMayHaveHappened) {
  const auto write = [](auto& client, auto done) { client.Write("k", {"a", 4, "{}"}, done); };
  ScriptedServer conflict({[](ScriptedConnection& connection) {
    connection.ReadUntil("}}");
    connection.Write(Reply(409, kObject));
    connection.ReadToEnd();
  }});
  EXPECT_TRUE(absl::IsAborted(Run<gateway::StoredObject>(conflict.address(), write).status()));
  ScriptedServer refusing({[](ScriptedConnection& connection) {
    connection.ReadUntil("}}");
    connection.Write(Reply(503, ""));
    connection.ReadToEnd();
  }});
  EXPECT_TRUE(absl::IsUnavailable(Run<gateway::StoredObject>(refusing.address(), write).status()));
  ScriptedServer closing({[](ScriptedConnection& connection) { connection.ReadUntil("}}"); }});
  EXPECT_TRUE(absl::IsDeadlineExceeded(Run<gateway::StoredObject>(closing.address(), write).status()));
  ScriptedServer unresponsive({[](ScriptedConnection& connection) { connection.ReadToEnd(); }});
  EXPECT_TRUE(absl::IsDeadlineExceeded(Run<gateway::StoredObject>(unresponsive.address(), write).status()));
}

TEST_F(StoreTest, WatchReturnsChangesAndReportsMissingHistory) {
  ScriptedServer server({[](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(Reply(200, std::string(R"({"events":[{"gone":true,"object":)") + kObject + R"(}],"at":9})"));
    connection.ReadToEnd();
  }});
  const auto watch = [](auto& client, auto done) { client.Watch("k", 3, std::chrono::milliseconds(100), done); };
  const auto events = Run<gateway::ObjectEvents>(server.address(), watch);
  ASSERT_TRUE(events.ok());
  EXPECT_TRUE(events->events[0].gone);
  EXPECT_EQ(events->at, 9);
  ScriptedServer compacted({[](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(Reply(410, ""));
    connection.ReadToEnd();
  }});
  EXPECT_TRUE(absl::IsOutOfRange(Run<gateway::ObjectEvents>(compacted.address(), watch).status()));
  ScriptedServer garbage({[](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(Reply(200, R"({"events":[{}]})"));
    connection.ReadToEnd();
  }});
  EXPECT_FALSE(Run<gateway::ObjectEvents>(garbage.address(), watch).ok());
}

}  // namespace
}  // namespace saltquay::platform
