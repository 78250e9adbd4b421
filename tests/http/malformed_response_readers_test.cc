// Every reader of responses refuses malformed ones: calls whose server is asked first who it is, and whole small calls
// (to the store, to peers, and control calls to engines).
#include <chrono>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "saltquay/fetch/fetcher.h"
#include "src/http/client.h"
#include "tests/support/scripted_server.h"

namespace saltquay::http {
namespace {

using saltquay::testing::ScriptedConnection;
using saltquay::testing::ScriptedServer;

constexpr std::chrono::seconds kTimeLimit{5};
constexpr ServerIdentity kExpected = 7;
const std::string kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7";

// Sends a malformed response and then a whole one, which must not count.
ScriptedServer::Script RespondTwice(const std::string& response) {
  return [response](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(response + kWhole);
    connection.ReadToEnd();
  };
}

class MalformedResponseReadersTest : public ::testing::TestWithParam<std::string> {};

// Guards against: bytes that are no response tell which process serves the connection, and the call is sent to it.
TEST_P(MalformedResponseReadersTest, ServerIsNotIdentified) {
  ScriptedServer server({RespondTwice(GetParam())});
  boost::asio::io_context loop;
  Client client(loop);
  CallOptions options;
  options.identity_check.emplace();
  options.identity_check->expected = kExpected;
  options.identity_check->request = "GET /who HTTP/1.1\r\n\r\n";
  options.identity_check->timeout = kTimeLimit;
  options.identity_check->decode = [](const ResponseHead&, const std::string&) { return kExpected; };
  std::optional<CallFailure> failure;
  CallHandlers handlers;
  handlers.on_complete = [&] { loop.stop(); };
  handlers.on_failure = [&](CallFailure reason) {
    failure = reason;
    loop.stop();
  };
  const auto call =
      client.Start(*ParseEndpoint(server.address()), "pool", "POST / HTTP/1.1\r\n\r\n", options, handlers);
  loop.run_for(kTimeLimit);
  EXPECT_EQ(failure, CallFailure::kUnidentified);
}

// Guards against: bytes that are no response count as the store's or a peer's.
TEST_P(MalformedResponseReadersTest, FetchFails) {
  ScriptedServer server({RespondTwice(GetParam())});
  boost::asio::io_context loop;
  fetch::Fetcher fetcher(loop);
  fetch::Options options;
  options.pool = "pool";
  options.timeout = kTimeLimit;
  RequestHead head;
  head.method = "GET";
  head.target = "/";
  std::optional<absl::StatusOr<fetch::Reply>> reply;
  fetcher.fetch(server.address(), head, "", options, [&](absl::StatusOr<fetch::Reply> result) {
    reply = std::move(result);
    loop.stop();
  });
  loop.run_for(kTimeLimit);
  ASSERT_TRUE(reply.has_value());
  EXPECT_EQ(reply->status().message(), "the response is malformed");
}

INSTANTIATE_TEST_SUITE_P(Responses, MalformedResponseReadersTest,
                         ::testing::Values("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
                                           "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
                                           "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n",
                                           "HTTP/1.1 200 OK\r\nX-First: 1\r\n X: v\r\nContent-Length: 0\r\n\r\n",
                                           "HTTP/1.1 200 OK\r\nX Y: v\r\nContent-Length: 0\r\n\r\n",
                                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"));

}  // namespace
}  // namespace saltquay::http
