// Calls of the platform's duty API with texts that come from other nodes and writers.
#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "platform/duty_client.h"
#include "tests/support/scripted_server.h"

namespace saltquay::platform {
namespace {

using duties::DutyOutcome;
using nlohmann::json;
using saltquay::testing::ScriptedConnection;
using saltquay::testing::ScriptedServer;

const std::string kInvalid = "t\xC4\xFF\xED\xA0\x80";
// Each byte that cannot be decoded becomes U+FFFD.
const std::string kReplaced = "t\xEF\xBF\xBD\xEF\xBF\xBD\xEF\xBF\xBD\xEF\xBF\xBD\xEF\xBF\xBD";

class DutyClientTest : public ::testing::Test {
 protected:
  // Returns the outcome of the call that `begin` starts, and keeps the body of its request, which ends with `end`.
  template <typename Begin>
  std::optional<DutyOutcome> Run(const std::string& end, Begin begin) {
    std::optional<DutyOutcome> outcome;
    ScriptedServer server({[&](ScriptedConnection& connection) {
      connection.ReadHead();
      body_ = connection.ReadUntil(end);
      connection.Write(response_);
    }});
    DutyClient client(loop_, server.address());
    begin(client, [&](DutyOutcome value) { outcome = value; });
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!outcome && std::chrono::steady_clock::now() < limit) {
      loop_.restart();
      loop_.run_one_for(std::chrono::milliseconds(50));
    }
    return outcome;
  }

  boost::asio::io_context loop_;
  std::string body_;
  std::string response_ = "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n";
};

// Guards against an exception that ends the lease holder, and then the next one, by a tenant's name.
TEST_F(DutyClientTest, ReportsUsageOfATenantWhoseNameIsNoUtf8) {
  const duties::UsageReport report{60, {{kInvalid, 3}, {"t1", 5}}};
  const auto outcome = Run(R"("window_number":60})", [&](DutyClient& client, DutyClient::Done done) {
    client.ReportUsage({"node-1", 7}, report, std::move(done));
  });
  EXPECT_EQ(outcome, DutyOutcome::Done);
  const json body = json::parse(body_);
  EXPECT_EQ(body["window_number"], 60);
  EXPECT_EQ(body["counts"].size(), 2U);
  EXPECT_EQ(body["counts"]["t1"], 5);
  EXPECT_EQ(body["counts"][kReplaced], 3);
}

TEST_F(DutyClientTest, OrdersEnginesOfAServiceWhoseNameIsNoUtf8) {
  const duties::ScalingOrder order{kInvalid, kInvalid, 4, true};
  const auto outcome =
      Run(R"("zone":"t)" + kReplaced.substr(1) + "\"}", [&](DutyClient& client, DutyClient::Done done) {
        client.OrderEngines({"node-1", 7}, order, std::move(done));
      });
  EXPECT_EQ(outcome, DutyOutcome::Done);
  EXPECT_EQ(json::parse(body_),
            (json{{"service", kReplaced}, {"zone", kReplaced}, {"desired_count", 4}, {"spot", true}}));
}

// Guards against: a report whose response is too long counts as refused, though it may have been taken.
TEST_F(DutyClientTest, OutcomeOfAnOverlongResponseIsUnknown) {
  constexpr std::size_t kTooLong = 100000;
  response_ = "HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(kTooLong) + "\r\n\r\n" + std::string(kTooLong, 'x');
  const auto outcome = Run(R"("window_number":60})", [&](DutyClient& client, DutyClient::Done done) {
    client.ReportUsage({"node-1", 7}, {60, {{"t1", 5}}}, std::move(done));
  });
  EXPECT_EQ(outcome, DutyOutcome::Unknown);
}

}  // namespace
}  // namespace saltquay::platform
