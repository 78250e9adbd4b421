// Servers that send bytes without end where a response should be, and clients that go on after their rejection.
#include <string>

#include <gtest/gtest.h>

#include "src/http/client.h"
#include "src/http/server.h"
#include "tests/support/scripted_server.h"

namespace saltquay::http {
namespace {

using saltquay::testing::ScriptedConnection;
using saltquay::testing::ScriptedServer;

constexpr std::size_t kMaxSentBytes = 64 * 1024 * 1024;
constexpr std::size_t kFewBytes = 16 * 1024 * 1024;  // More than a client reads before it closes, buffers included.
constexpr std::size_t kMaxBodyBytes = 100 * 1024;

struct Outcome {
  bool complete = false;
  std::optional<CallFailure> failure;
  std::size_t body_bytes = 0;
};

Outcome Send(const std::string& address) {
  boost::asio::io_context loop;
  Client client(loop);
  Outcome outcome;
  CallHandlers handlers;
  handlers.owner_of = [](const ResponseHead& head) {
    return head.fields.Has("Other") ? ResponseOwner::kAnotherCall : ResponseOwner::kThisCall;
  };
  handlers.on_body = [&](std::string_view bytes) { outcome.body_bytes += bytes.size(); };
  handlers.on_complete = [&] { outcome.complete = true; };
  handlers.on_failure = [&](CallFailure failure) { outcome.failure = failure; };
  CallOptions options;
  options.max_body_bytes = kMaxBodyBytes;
  const auto call = client.Start(*ParseEndpoint(address), "pool", "GET / HTTP/1.1\r\n\r\n", options, handlers);
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!outcome.complete && !outcome.failure && std::chrono::steady_clock::now() < limit) {
    loop.restart();
    loop.run_one_for(std::chrono::milliseconds(50));
  }
  return outcome;
}

std::string Repeat(const std::string& text, int times) {
  std::string repeated;
  for (int i = 0; i < times; ++i) repeated += text;
  return repeated;
}

struct EndlessResponse {
  std::string name;
  std::string beginning;
  std::string piece;
};

class EndlessResponseTest : public ::testing::TestWithParam<EndlessResponse> {};

// Guards against: a server that sends bytes without end holds a connection, memory and processor time of the client.
TEST_P(EndlessResponseTest, EndsTheConnection) {
  std::size_t sent = 0;
  Outcome outcome;
  {
    ScriptedServer server({[&](ScriptedConnection& connection) {
      connection.ReadHead();
      connection.Write(GetParam().beginning);
      while (sent < kMaxSentBytes && connection.Write(GetParam().piece)) sent += GetParam().piece.size();
    }});
    outcome = Send(server.address());
  }
  EXPECT_EQ(outcome.failure, CallFailure::kMalformed);
  EXPECT_LT(sent, kFewBytes);
  EXPECT_LE(outcome.body_bytes, kMaxBodyBytes);
}

const std::string kOther = "HTTP/1.1 200 OK\r\nOther: 1\r\n";
INSTANTIATE_TEST_SUITE_P(
    Responses, EndlessResponseTest,
    ::testing::Values(EndlessResponse{"interim_responses", "", Repeat("HTTP/1.1 100 Continue\r\n\r\n", 500)},
                      EndlessResponse{"other_responses", "", Repeat(kOther + "Content-Length: 1\r\n\r\ny", 500)},
                      EndlessResponse{"other_response", kOther + "Transfer-Encoding: chunked\r\n\r\n",
                                      "2000\r\n" + std::string(8192, 'y') + "\r\n"},
                      EndlessResponse{"other_response_until_close", kOther + "\r\n", std::string(8192, 'y')},
                      EndlessResponse{"body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                      "2000\r\n" + std::string(8192, 'y') + "\r\n"},
                      EndlessResponse{"body_until_close", "HTTP/1.1 200 OK\r\n\r\n", std::string(8192, 'y')},
                      EndlessResponse{"long_body", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                                      std::string(8192, 'y')}),
    [](const auto& info) { return info.param.name; });

TEST(BoundedResponseTest, AFewInterimResponsesAndALateCopyAreSkipped) {
  ScriptedServer server({[](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(Repeat("HTTP/1.1 103 Early Hints\r\nLink: y\r\n\r\n", 5) + kOther +
                     "Content-Length: 1000000\r\n\r\n" + std::string(1000000, 'y'));
    connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 102400\r\n\r\n" + std::string(kMaxBodyBytes, 'z'));
    connection.ReadToEnd();
  }});
  const Outcome outcome = Send(server.address());
  EXPECT_TRUE(outcome.complete);
  EXPECT_EQ(outcome.body_bytes, kMaxBodyBytes);
}

// Guards against: what a client sends after its request was rejected is read for as long as it sends.
TEST(BoundedResponseTest, RejectedClientThatGoesOnIsCutOff) {
  boost::asio::io_context loop;
  ServerLimits limits;
  limits.parser.body_bytes = 100;
  const auto server = std::move(*Server::Listen(loop, "127.0.0.1:0", limits, [](const std::shared_ptr<Exchange>&) {}));
  std::size_t sent = 0;
  std::thread client([&, port = server->port()] {
    const auto connection = ScriptedConnection::To(port);
    connection->Write("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string piece = "2000\r\n" + std::string(8192, 'y') + "\r\n";
    while (sent < kMaxSentBytes && connection->Write(piece)) sent += piece.size();
    loop.stop();
  });
  loop.run_for(std::chrono::seconds(10));
  client.join();
  EXPECT_LT(sent, kFewBytes);
}

}  // namespace
}  // namespace saltquay::http
