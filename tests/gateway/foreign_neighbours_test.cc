// What an odd part of a foreign text does to the parts beside it, and what of it goes into requests.
#include <limits>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "src/base/status.h"
#include "src/gateway/engine_protocol.h"
#include "src/gateway/lease_codec.h"
#include "src/gateway/log_explainer.h"
#include "src/gateway/quarantine_store.h"
#include "src/gateway/usage_codec.h"
#include "tests/support/odd_json.h"

namespace saltquay::gateway {
namespace {

using saltquay::testing::DeepArray;
using saltquay::testing::OddText;
using saltquay::testing::OddValues;

constexpr std::int64_t kNow = 1'796'437'374'827;

// Values that are JSON, shallow and in range: such a value must not cost anything but the part that it is in.
std::vector<std::string> ReadableOddValues() {
  std::vector<std::string> values;
  for (const OddText& odd : OddValues()) {
    const auto value = nlohmann::json::parse(odd.text, nullptr, false);
    if (!value.is_discarded() && odd.name.find("_of_depth_") == std::string::npos) values.push_back(odd.text);
  }
  return values;
}

// Guards against: one mark that another writer has spoilt frees the requests of the marks beside it.
TEST(ForeignNeighboursTest, OddQuarantineMarkLeavesTheOthers) {
  const std::string before = R"({"request":1,"engine":2,"at_ms":1796437374000})";
  const std::string after = R"({"part":3,"engine":4,"at_ms":1796437374000})";
  for (const std::string& odd : ReadableOddValues()) {
    for (const std::string& mark :
         {odd, R"({"request":)" + odd + R"(,"engine":2,"at_ms":1})",
          R"({"request":5,"engine":)" + odd + R"(,"at_ms":1})", R"({"request":5,"engine":2,"at_ms":)" + odd + "}"}) {
      const auto marks = DecodeQuarantine(R"({"marks":[)" + before + "," + mark + "," + after + "]}", kNow);
      ASSERT_GE(marks.size(), 2U) << mark.substr(0, 200);
      EXPECT_EQ(marks.front().subject, serving::CrashSubject::Request(1)) << mark.substr(0, 200);
      EXPECT_EQ(marks.back().subject, serving::CrashSubject::PromptPart(3)) << mark.substr(0, 200);
    }
  }
}

// Guards against: a time of another writer overflows, and the mark counts as one of the future that never expires.
TEST(ForeignNeighboursTest, AgeOfAQuarantineMarkIsNeverNegative) {
  for (const char* at : {"-9223372036854775808", "-9223372036854775807", "-4611686018427387904", "-9300000000000000",
                         "-1", "0", "9223372036854775807", "9223372036854775808", "18446744073709551615"}) {
    const auto marks =
        DecodeQuarantine(std::string(R"({"marks":[{"request":1,"engine":2,"at_ms":)") + at + "}]}", kNow);
    for (const serving::CrashMark& mark : marks) EXPECT_GE(mark.age, Duration(0)) << at;
  }
}

// Guards against: one report that another writer has spoilt hides the sealed reports beside it, or counts less than 0.
TEST(ForeignNeighboursTest, SpoiltUsageReportsAreATypedErrorOrValid) {
  for (const std::string& odd : ReadableOddValues()) {
    for (const std::string& report :
         {odd, R"({"window":)" + odd + R"(,"counts":{}})", R"({"window":8,"counts":)" + odd + "}",
          R"({"window":8,"counts":{"t":)" + odd + "}}"}) {
      const auto usage =
          DecodeSealedUsage({"usage", 3, R"({"reports":[{"window":7,"counts":{"t":1}},)" + report + "]}"});
      if (!usage.ok()) {
        EXPECT_EQ(saltquay::KindOf(usage.status()), ErrorKind::kCorrupt);
        EXPECT_LT(usage.status().message().size(), 1000U);
        continue;
      }
      ASSERT_EQ(usage->reports.size(), 2U) << report.substr(0, 200);
      EXPECT_GE(usage->reports[1].window, 0) << report.substr(0, 200);
      for (const auto& [tenant, count] : usage->reports[1].counts) EXPECT_GE(count, 0) << report.substr(0, 200);
    }
  }
}

// Guards against: windows out of order, or far in the future, decide which window is sealed next.
TEST(ForeignNeighboursTest, UsageReportsHaveAscendingWindowsInRange) {
  const auto decode = [](const std::string& first, const std::string& second) {
    const std::string report = R"({"counts":{},"window":)";
    return DecodeSealedUsage({"usage", 3, R"({"reports":[)" + report + first + "}," + report + second + "}]}"});
  };
  EXPECT_TRUE(decode("7", "8").ok());
  for (const char* window : {"6", "7", "-8", "9223372036854775807", "18446744073709551615", "1e9"}) {
    EXPECT_EQ(saltquay::KindOf(decode("7", window).status()), ErrorKind::kCorrupt) << window;
  }
}

// Guards against: an engine's handle with a space or a line end makes a request of the engine's own choice.
TEST(ForeignNeighboursTest, HandleThatIsNoWordIsNotAHandle) {
  const EngineProtocol protocol{EngineProtocolFields{}};
  EXPECT_EQ(protocol.DecodeKvHandle(R"({"handle":"kv-1_a.b"})"), "kv-1_a.b");
  for (const char* handle : {R"("")", R"("a b")", R"("a\r\nX: y")", R"("a\u0000")", R"("a\u007f")", R"("\u00e9")", "7",
                             R"("\t")", R"("\n")"}) {
    EXPECT_EQ(protocol.DecodeKvHandle(std::string(R"({"handle":)") + handle + "}"), "") << handle;
  }
  EXPECT_EQ(protocol.DecodeKvHandle(R"({"handle":")" + std::string(1024 * 1024, 'x') + R"("})"), "");
}

TEST(ForeignNeighboursTest, HandleBesideAnOddMemberIsRead) {
  const EngineProtocol protocol{EngineProtocolFields{}};
  for (const std::string& odd : ReadableOddValues()) {
    EXPECT_EQ(protocol.DecodeKvHandle(R"({"other":)" + odd + R"(,"handle":"h1"})"), "h1") << odd.substr(0, 200);
  }
}

// Guards against: a number above 2^63 counts as a negative one.
TEST(ForeignNeighboursTest, EngineStateOutOfRangeIsNotRead) {
  const EngineProtocol protocol{EngineProtocolFields{}};
  const auto read = [&](const std::string& sequence) {
    return protocol.DecodeEngineState(R"({"stage":"decode","sequence":)" + sequence + "}");
  };
  ASSERT_TRUE(read("9223372036854775807"));
  EXPECT_EQ(read("9223372036854775807")->sequence, std::numeric_limits<std::int64_t>::max());
  for (const char* sequence :
       {"9223372036854775808", "18446744073709551615", "1180591620717411303424", "0.5", "1e400"}) {
    EXPECT_FALSE(read(sequence)) << sequence;
  }
}

TEST(ForeignNeighboursTest, EngineStateBesideAnOddMemberIsRead) {
  const EngineProtocol protocol{EngineProtocolFields{}};
  for (const std::string& odd : ReadableOddValues()) {
    const auto state = protocol.DecodeEngineState(R"({"stage":"decode","sequence":4,"busy":)" + odd + "}");
    ASSERT_TRUE(state) << odd.substr(0, 200);
    EXPECT_EQ(state->sequence, 4) << odd.substr(0, 200);
  }
}

// Guards against: one log line with an engine of another type ends the explanation of all others.
TEST(ForeignNeighboursTest, OddLogLineLeavesTheOthers) {
  for (const std::string& odd : ReadableOddValues()) {
    std::istringstream log(R"({"time_ms":1,"process":"n","name":"usage_sealed","window":7,"engine":"e1"})"
                           "\n"
                           R"({"time_ms":2,"process":"n","name":"usage_sealed","window":)" +
                           odd + R"(,"engine":)" + odd +
                           "}\n"
                           R"({"time_ms":3,"process":"n","name":"usage_reported","window":7,"engine":"e1"})"
                           "\n");
    LogExplainer explainer;
    explainer.Read(log, "log");
    EXPECT_EQ(explainer.UsageWindow(7).size(), 2U + (odd == "7" ? 1 : 0)) << odd.substr(0, 200);
    EXPECT_EQ(explainer.Engine("e1").size(), 2U) << odd.substr(0, 200);
  }
}

// Guards against: a log line that holds a deeply nested value ends the program that explains it.
TEST(ForeignNeighboursTest, DeepLogLineIsSkippedAndReported) {
  std::istringstream log(R"({"time_ms":1,"process":"n","name":"engine_record","request":"r1","runs":)" +
                         DeepArray(100'000) +
                         "}\n"
                         R"({"time_ms":2,"process":"n","name":"engine_record","request":"r1"})"
                         "\n");
  LogExplainer explainer;
  explainer.Read(log, "log");
  ASSERT_EQ(explainer.Request("r1").size(), 1U);
  ASSERT_EQ(explainer.unparsed_lines().size(), 1U);
  EXPECT_EQ(explainer.unparsed_lines()[0].number, 1);
}

// Guards against: a name that is no UTF-8, as a datagram of a peer can hold, ends the node that writes it on.
TEST(ForeignNeighboursTest, NamesThatAreNoUtf8AreWritten) {
  const duties::SealedUsage usage{3, {{7, {{"t\xff", 4}}}}};
  const auto decoded = DecodeSealedUsage({"usage", 3, EncodeSealedUsage(usage)});
  ASSERT_TRUE(decoded.ok());
  ASSERT_EQ(decoded->reports.size(), 1U);
  EXPECT_EQ(decoded->reports[0].counts.size(), 1U);
  EXPECT_TRUE(DecodeLease({"duties", 3, EncodeLease({"n\xff", "\xfe", 5, 3, 3})}).ok());
  const serving::SendStageOrder order{};
  EXPECT_NE(EngineProtocol(EngineProtocolFields{}).MakeOrderBody(order, "n\xff"), "");
}

}  // namespace
}  // namespace saltquay::gateway
