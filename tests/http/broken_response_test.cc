// Responses that a server breaks off while their request is still being written.
#include <chrono>
#include <fstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "saltquay/fetch/fetcher.h"
#include "src/http/client.h"
#include "tests/support/scripted_server.h"

namespace saltquay::http {
namespace {

using saltquay::testing::ScriptedConnection;
using saltquay::testing::ScriptedServer;
using std::chrono::milliseconds;

// Longer than the silence that ends a connection (KeepAliveTimes).
constexpr milliseconds kMaxCallTime{6000};

struct Outcome {
  bool complete = false;
  std::optional<CallFailure> failure;
  int status = 0;
  std::string body;
};

// Longer than what the socket buffers of both sides hold, so that its write can't end before the server reads it.
std::string LongBody() {
  std::size_t bytes = 1024 * 1024;
  for (const char* path : {"/proc/sys/net/ipv4/tcp_wmem", "/proc/sys/net/ipv4/tcp_rmem"}) {
    std::ifstream limits(path);
    std::size_t minimum = 0;
    std::size_t initial = 0;
    std::size_t maximum = 0;
    limits >> minimum >> initial >> maximum;
    EXPECT_GT(maximum, 0U) << path;
    bytes += maximum;
  }
  return std::string(bytes, 'x');
}

Outcome Post(const std::string& address, const std::string& body) {
  boost::asio::io_context loop;
  Client client(loop);
  Outcome outcome;
  CallHandlers handlers;
  handlers.on_head = [&](const ResponseHead& head) { outcome.status = head.status; };
  handlers.on_body = [&](std::string_view bytes) { outcome.body += bytes; };
  handlers.on_complete = [&] { outcome.complete = true; };
  handlers.on_failure = [&](CallFailure failure) { outcome.failure = failure; };
  RequestHead head;
  head.method = "POST";
  head.target = "/";
  const auto call =
      client.Start(*ParseEndpoint(address), "pool", SerializeRequest(head, body), CallOptions{}, handlers);
  const auto limit = std::chrono::steady_clock::now() + kMaxCallTime;
  while (!outcome.complete && !outcome.failure && std::chrono::steady_clock::now() < limit) {
    loop.restart();
    loop.run_one_for(milliseconds(50));
  }
  return outcome;
}

// What the server does after its response, which it sends as soon as it has the request's head.
enum class Ending { kReset, kCloseAfterEnd, kReadAfterEnd, kStallAfterEnd };

ScriptedServer::Script RespondEarly(const std::string& response, Ending ending) {
  return [response, ending](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(response);
    if (ending != Ending::kReset) connection.EndWriting();
    if (ending == Ending::kReadAfterEnd) return connection.Discard();
    std::this_thread::sleep_for(milliseconds(ending == Ending::kStallAfterEnd ? 5000 : 50));
    connection.Reset();
  };
}

struct EarlyResponse {
  std::string name;
  std::string response;
  Ending ending;
};

const std::string kUntilClose = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const std::string kOldUntilClose = "HTTP/1.0 200 OK\r\n\r\n";
const std::string kErrorUntilClose = "HTTP/1.1 500 Internal Server Error\r\n\r\n";
const std::string kRefusalUntilClose = "HTTP/1.1 413 Content Too Large\r\n\r\n";
const std::string kEventsUntilClose = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const std::string kWithLength = "HTTP/1.1 413 Content Too Large\r\nContent-Length: 8\r\n\r\n";
const std::string kChunked = "HTTP/1.1 413 Content Too Large\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string NameOf(const ::testing::TestParamInfo<EarlyResponse>& info) { return info.param.name; }

class BrokenEarlyResponseTest : public ::testing::TestWithParam<EarlyResponse> {};

// Guards against: a part of a response counts as the whole, since the failed write was the only call that was told of
// the reset.
TEST_P(BrokenEarlyResponseTest, IsNotComplete) {
  ScriptedServer server({RespondEarly(GetParam().response, GetParam().ending)});
  const Outcome outcome = Post(server.address(), LongBody());
  EXPECT_FALSE(outcome.complete) << "a body of " << outcome.body.size() << " bytes";
  EXPECT_EQ(outcome.failure, CallFailure::kBroken);
}

INSTANTIATE_TEST_SUITE_P(Responses, BrokenEarlyResponseTest,
                         ::testing::Values(EarlyResponse{"part", kUntilClose + "part", Ending::kReset},
                                           EarlyResponse{"head_only", kUntilClose, Ending::kReset},
                                           EarlyResponse{"old_version", kOldUntilClose + "part", Ending::kReset},
                                           EarlyResponse{"error", kErrorUntilClose + "part", Ending::kReset},
                                           EarlyResponse{"refusal", kRefusalUntilClose + "part", Ending::kReset},
                                           EarlyResponse{"events", kEventsUntilClose + "data: 1\n\n", Ending::kReset},
                                           EarlyResponse{"length", kWithLength + "part", Ending::kReset},
                                           EarlyResponse{"chunks", kChunked + "4\r\npart\r\n", Ending::kReset},
                                           EarlyResponse{"closed", kUntilClose + "part", Ending::kCloseAfterEnd},
                                           EarlyResponse{"stalled", kUntilClose + "part", Ending::kStallAfterEnd}),
                         NameOf);

class WholeEarlyResponseTest : public ::testing::TestWithParam<EarlyResponse> {};

TEST_P(WholeEarlyResponseTest, IsComplete) {
  ScriptedServer server({RespondEarly(GetParam().response, GetParam().ending)});
  const Outcome outcome = Post(server.address(), LongBody());
  EXPECT_TRUE(outcome.complete);
  EXPECT_EQ(outcome.body, "response");
}

// With a length or chunks the response tells its own end. Without, a server that takes the whole request proves that
// its end of the connection was the end of the response.
INSTANTIATE_TEST_SUITE_P(Responses, WholeEarlyResponseTest,
                         ::testing::Values(EarlyResponse{"length", kWithLength + "response", Ending::kReset},
                                           EarlyResponse{"chunks", kChunked + "8\r\nresponse\r\n0\r\n\r\n",
                                                         Ending::kReset},
                                           EarlyResponse{"read_on", kUntilClose + "response", Ending::kReadAfterEnd}),
                         NameOf);

// Guards against: a call of the node to the store, to a peer or to an engine takes a part of a response for the whole.
TEST(BrokenResponseFetchTest, PartOfAnEarlyResponseIsAFailure) {
  ScriptedServer server({RespondEarly(kUntilClose + "part", Ending::kReset)});
  boost::asio::io_context loop;
  fetch::Fetcher fetcher(loop);
  fetch::Options options;
  options.pool = "pool";
  options.timeout = kMaxCallTime;
  RequestHead head;
  head.method = "PUT";
  head.target = "/";
  std::optional<absl::StatusOr<fetch::Reply>> reply;
  fetcher.fetch(server.address(), head, LongBody(), options, [&](absl::StatusOr<fetch::Reply> result) {
    reply = std::move(result);
    loop.stop();
  });
  loop.run_for(kMaxCallTime);
  ASSERT_TRUE(reply.has_value());
  EXPECT_FALSE(reply->ok()) << (*reply)->body;
}

}  // namespace
}  // namespace saltquay::http
