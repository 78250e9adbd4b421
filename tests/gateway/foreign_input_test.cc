// Whatever another writer puts into a text that a node reads: the process goes on, nothing is thrown, and one odd part
// costs no more than itself.
#include <functional>
#include <ostream>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "src/gateway/engine_protocol.h"
#include "src/gateway/forward_protocol.h"
#include "src/gateway/lease_codec.h"
#include "src/gateway/log_explainer.h"
#include "src/gateway/quarantine_store.h"
#include "src/gateway/usage_codec.h"
#include "tests/support/odd_json.h"

namespace saltquay::gateway {
namespace {

using saltquay::testing::IncompleteObjects;
using saltquay::testing::Members;
using saltquay::testing::ObjectsWith;
using saltquay::testing::OddText;
using saltquay::testing::OddValues;

constexpr std::int64_t kNow = 1'796'437'374'827;

// Something that reads a text of another writer.
struct Reader {
  std::string name;
  Members members;     // Of a valid object.
  std::string before;  // The text around the object.
  std::string after;
  std::function<void(const std::string&)> read;
};

void PrintTo(const Reader& reader, std::ostream* out) { *out << reader.name; }

http::ResponseHead OkHead() {
  http::ResponseHead head;
  head.status = 200;
  return head;
}

void ReadForwarded(const std::string& text) {
  http::RequestHead head;
  head.fields.Add(std::string(kForwardedField), text);
  (void)DecodeForwardedState(head);
}

void ExplainLog(const std::string& text) {
  LogExplainer explainer;
  std::istringstream log(text + "\n" + R"({"time_ms":1,"process":"n","name":"engine_record","engine":"e1"})" + "\n");
  explainer.Read(log, "log");
  std::vector<LogLine> lines = explainer.Request("r1");
  for (const auto& more : {explainer.Engine("e1"), explainer.UsageWindow(7), explainer.Fingerprint("f")}) {
    lines.insert(lines.end(), more.begin(), more.end());
  }
  for (const LogLine& line : lines) (void)FormatLogLine(line);
}

std::vector<Reader> EngineReaders() {
  const EngineProtocol protocol{EngineProtocolFields{}};
  const Members state = {{"stage", R"("prefill")"}, {"sequence", "4"}, {"busy", "true"}, {"started_ms", "1700"}};
  return {
      {"prefill_response",
       {{"handle", R"("h1")"}},
       "",
       "",
       [=](const std::string& text) { (void)protocol.DecodeKvHandle(text); }},
      {"engine_state", state, "", "", [=](const std::string& text) { (void)protocol.DecodeEngineState(text); }},
      {"engine_start_time", state, "", "",
       [=](const std::string& text) { (void)protocol.DecodeStartTime(OkHead(), text); }},
  };
}

std::vector<Reader> NodeReaders() {
  const Members forwarded = {
      {"node", R"("n1")"}, {"config_version", "3"},    {"arrivals", "1"},       {"prefills", "0"},
      {"executions", "0"}, {"usage_counted", "false"}, {"tried_engines", "[]"}, {"software_version", R"("v1")"}};
  const Members log = {{"time_ms", "5"},       {"process", R"("n")"},         {"event", "1"},
                       {"level", R"("info")"}, {"name", R"("usage_sealed")"}, {"request", R"("r1")"},
                       {"window", "7"},        {"engine", R"("e1")"}};
  return {{"forwarded_state", forwarded, "", "", &ReadForwarded},
          {"log_line", log, "", "", &ExplainLog},
          {"log_line_after_text", log, "INFO: ", "", &ExplainLog}};
}

std::vector<Reader> StoreReaders() {
  const auto quarantine = [](const std::string& text) { (void)DecodeQuarantine(text, kNow); };
  const auto usage = [](const std::string& text) { (void)DecodeSealedUsage({"usage", 3, text}); };
  return {
      {"lease",
       {{"holder", R"("n1")"}, {"address", R"("10.0.0.1:7")"}, {"nonce", "5"}, {"token", "3"}},
       "",
       "",
       [](const std::string& text) {
         (void)DecodeLease({"duties", 12, text});
       }},
      {"quarantine", {{"marks", "[]"}}, "", "", quarantine},
      {"quarantine_mark",
       {{"request", "7"}, {"engine", "9"}, {"at_ms", "1796437370000"}},
       R"({"marks":[)",
       "]}",
       quarantine},
      {"quarantine_part_mark",
       {{"part", "7"}, {"engine", "9"}, {"at_ms", "1796437370000"}},
       R"({"marks":[)",
       "]}",
       quarantine},
      {"usage", {{"reports", "[]"}}, "", "", usage},
      {"usage_report", {{"window", "7"}, {"counts", R"({"t1":4})"}}, R"({"reports":[)", "]}", usage},
      {"usage_counts", {{"t1", "4"}, {"t2", "5"}}, R"({"reports":[{"window":7,"counts":)", "}]}", usage},
  };
}

std::vector<Reader> Readers() {
  std::vector<Reader> readers = EngineReaders();
  for (Reader& reader : NodeReaders()) readers.push_back(std::move(reader));
  for (Reader& reader : StoreReaders()) readers.push_back(std::move(reader));
  return readers;
}

class ForeignInputTest : public ::testing::TestWithParam<std::tuple<Reader, OddText>> {};

// Guards against: a value that is nested too deep, too large or of another type ends the process that reads it.
TEST_P(ForeignInputTest, OddValueEndsNothing) {
  const auto& [reader, odd] = GetParam();
  for (const std::string& text : ObjectsWith(reader.members, odd.text)) {
    EXPECT_NO_THROW(reader.read(reader.before + text + reader.after)) << text.substr(0, 200);
  }
}

INSTANTIATE_TEST_SUITE_P(Readers, ForeignInputTest,
                         ::testing::Combine(::testing::ValuesIn(Readers()), ::testing::ValuesIn(OddValues())),
                         [](const auto& test) {
                           return std::get<0>(test.param).name + "_of_" + std::get<1>(test.param).name;
                         });

class IncompleteInputTest : public ::testing::TestWithParam<Reader> {};

TEST_P(IncompleteInputTest, EndsNothing) {
  const Reader& reader = GetParam();
  for (const std::string& text : IncompleteObjects(reader.members)) {
    EXPECT_NO_THROW(reader.read(reader.before + text)) << text;
    EXPECT_NO_THROW(reader.read(reader.before + text + reader.after)) << text;
  }
}

INSTANTIATE_TEST_SUITE_P(Readers, IncompleteInputTest, ::testing::ValuesIn(Readers()),
                         [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace saltquay::gateway
