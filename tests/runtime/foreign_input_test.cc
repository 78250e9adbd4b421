// What saltquayd reads from engines, the platform and its store, with odd values in each member.
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "src/core/authority/view.h"
#include "src/core/bundle/bundle_records.h"
#include "src/core/machine_list.h"
#include "src/core/orders/order_executor.h"
#include "src/runtime/engine_protocol.h"
#include "src/runtime/platform_protocol.h"
#include "tests/support/odd_json.h"

namespace saltquay {
namespace {

using saltquay::testing::IncompleteObjects;
using saltquay::testing::Members;
using saltquay::testing::ObjectOf;
using saltquay::testing::ObjectsWith;
using saltquay::testing::OddText;
using saltquay::testing::OddValues;

struct Reader {
  std::string name;
  Members members;  // Of a valid object.
  std::function<absl::Status(const std::string&)> read;
};

void PrintTo(const Reader& reader, std::ostream* out) { *out << reader.name; }

std::vector<Reader> Readers() {
  const Members state = {{"engine", "1"},
                         {"boot", "2"},
                         {"fence", "[1,2,3]"},
                         {"role", "0"},
                         {"model_version", "1"},
                         {"generation", "1"},
                         {"order_in_progress", "false"},
                         {"last_order", "[1,2,3]"},
                         {"running", "0"},
                         {"waiting", "0"},
                         {"queued_prefill_tokens", "0"},
                         {"clock_stamp_us", "1"},
                         {"cache_events", "[[1,true,5]]"}};
  const Members frame = {{"id", R"(["k",1])"}, {"boot", "1"},   {"offset", "0"}, {"count", "1"},
                         {"text", R"("t")"},   {"cached", "0"}, {"finish", "1"}, {"total", "1"}};
  const Members rolled = {{"generation", "1"},
                          {"name", R"("b")"},
                          {"text", R"("t")"},
                          {"rolled_by", R"("o")"},
                          {"nonce", R"("n")"},
                          {"history", R"([[1,"b","o"]])"},
                          {"earlier_versions", R"([["m",1]])"}};
  const Members machines = {{"revision", "1"},
                            {"machines", R"([{"id":1,"kind":"engine","state":"live","zone":"z","address":"a:1"}])"}};
  const Members view = {{"current", R"({"number":1,"members":[[1,2,3]],"seats":[[1,2]]})"}, {"predecessors", "[]"}};
  return {
      {"engine_state", state, [](const std::string& text) { return DecodeState(text).status(); }},
      {"engine_frame", frame, [](const std::string& text) { return DecodeFrame(text).status(); }},
      {"engine_verdict", {{"verdict", "1"}}, [](const std::string& text) { return DecodeVerdict(text).status(); }},
      {"engine_failure", {{"failure", "1"}}, [](const std::string& text) { return DecodeFailure(text).status(); }},
      {"stored_object",
       {{"version", "1"}, {"value", R"("x")"}},
       [](const std::string& text) { return DecodeStoredObject(text).status(); }},
      {"rolled_record", rolled, [](const std::string& text) { return ParseRolledRecord(text).status(); }},
      {"machine_list", machines, [](const std::string& text) { return ParseMachineList(text).status(); }},
      {"drain_list", {{"engines", "[1,2]"}}, [](const std::string& text) { return ParseDrainList(text).status(); }},
      {"view", view, [](const std::string& text) { return ParseView(text).status(); }},
  };
}

class NodeInputTest : public ::testing::TestWithParam<Reader> {};

TEST_P(NodeInputTest, ValidObjectIsRead) { EXPECT_TRUE(GetParam().read(ObjectOf(GetParam().members)).ok()); }

TEST_P(NodeInputTest, OddValuesEndNothing) {
  for (const OddText& odd : OddValues()) {
    for (const std::string& text : ObjectsWith(GetParam().members, odd.text)) {
      EXPECT_NO_THROW((void)GetParam().read(text)) << odd.name;
    }
  }
  for (const std::string& text : IncompleteObjects(GetParam().members)) {
    EXPECT_NO_THROW((void)GetParam().read(text)) << text;
  }
}

// Guards against: a number that does not fit becomes another number, such as another engine's, and is used as that.
TEST_P(NodeInputTest, NumbersThatDoNotFitAreErrors) {
  for (const auto& [name, value] : GetParam().members) {
    if (value.find_first_not_of("0123456789") != std::string::npos) continue;
    for (const char* odd : {"-1", "0.5", "1e300", "18446744073709551616", "1180591620717411303424"}) {
      Members changed = GetParam().members;
      for (auto& member : changed) {
        if (member.first == name) member.second = odd;
      }
      EXPECT_FALSE(GetParam().read(ObjectOf(changed)).ok()) << name << " " << odd;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Readers, NodeInputTest, ::testing::ValuesIn(Readers()),
                         [](const auto& test) { return test.param.name; });

// Guards against: 256 counts as 0, an order that was taken.
TEST(NodeInputVerdictTest, NumberBeyondTheTypeIsAnError) {
  EXPECT_FALSE(DecodeVerdict(R"({"verdict":256})").ok());
  EXPECT_FALSE(ParseDrainList(R"({"engines":[4294967297]})").ok());
}

}  // namespace
}  // namespace saltquay
