// What an operator sees of an engine whose responses are malformed.
#include <string>

#include <gtest/gtest.h>

#include "tests/support/gateway_fixture.h"

namespace saltquay::gateway {
namespace {

struct MalformedResponse {
  std::string name;
  std::string response;
  std::string cause;  // As the log names it.
};

class MalformedResponseLogTest : public GatewayFixture, public ::testing::WithParamInterface<MalformedResponse> {};

// Guards against: an engine that sends bytes that are no response looks like a connection that was lost.
TEST_P(MalformedResponseLogTest, NamesTheEngineAndTheCause) {
  ScriptedServer engine({AlwaysRespond(GetParam().response)});
  Serve({engine.address()}, serving::RouteKind::kAtMostOnce);
  EXPECT_TRUE(SendRequest("r1").starts_with("HTTP/1.1 502 "));
  const std::string explanation = Explain("r1");
  EXPECT_NE(explanation.find("response_malformed"), std::string::npos) << explanation;
  EXPECT_NE(explanation.find("cause=" + GetParam().cause), std::string::npos) << explanation;
  EXPECT_NE(explanation.find("engine=e0"), std::string::npos) << explanation;
  EXPECT_NE(explanation.find("outcome=malformed"), std::string::npos) << explanation;
  EXPECT_NE(gateway_->metrics().Text().find("outcome=\"malformed\""), std::string::npos);
}

const std::string kOk = "HTTP/1.1 200 OK\r\nSaltquay-Signature: s\r\n";
INSTANTIATE_TEST_SUITE_P(
    Responses, MalformedResponseLogTest,
    ::testing::Values(MalformedResponse{"status", "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", "bad status"},
                      MalformedResponse{"fold", kOk + " X: v\r\nContent-Length: 0\r\n\r\n", "bad obs-fold"},
                      MalformedResponse{"field", kOk + "X Y: v\r\nContent-Length: 0\r\n\r\n", "bad field"},
                      MalformedResponse{"coding", kOk + "Transfer-Encoding: gzip\r\n\r\n", "bad Transfer-Encoding"},
                      MalformedResponse{"body", kOk + "Content-Length: 5000000\r\n\r\n" + std::string(5000000, 'y'),
                                        "body limit exceeded"},
                      MalformedResponse{"framing",
                                        kOk + "Transfer-Encoding: chunked\r\n\r\n5;x=" + std::string(100000, 'y'),
                                        "framing limit exceeded"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace saltquay::gateway
