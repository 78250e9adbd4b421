// Settings, callers' requests, engine protocol, line differences, HTTP, peers.
#include <atomic>
#include <condition_variable>
#include <future>
#include <thread>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "src/core/machine_list.h"
#include "src/runtime/caller_request.h"
#include "src/runtime/engine_protocol.h"
#include "src/runtime/http_client.h"
#include "src/runtime/http_server.h"
#include "src/runtime/line_diff.h"
#include "src/runtime/peer_transport.h"
#include "src/runtime/platform_protocol.h"
#include "src/runtime/settings.h"
#include "tests/support/scripted_server.h"

namespace saltquay {
namespace {

constexpr char kGoodSettings[] = "node_id = 4\nzone = \"oviedo-a\"\nplatform_url = \"http://127.0.0.1:9\"\n";

TEST(SettingsTest, FileThenFlags) {
  const absl::StatusOr<Settings> settings =
      ParseSettings(kGoodSettings, "s.toml", {{"node_id", "7"}, {"seeds", "1@127.0.0.1:70,2@127.0.0.1:71"}});
  ASSERT_TRUE(settings.ok()) << MessageOf(settings.status());
  EXPECT_EQ(settings->node_id, 7U);
  EXPECT_EQ(settings->zone, "oviedo-a");
  EXPECT_EQ(settings->seeds.size(), 2U);
}

TEST(SettingsTest, MistakesAreRefusedWithFileLineKeyAndRemedy) {
  const std::pair<const char*, const char*> cases[] = {
      {"nod_id = 3\n", "s.toml:4: key 'nod_id' is unknown"},
      {"idle_timeout_seconds = 9000\n", "s.toml:4: key 'idle_timeout_seconds' is 9000, out of range"},
      {"http_listen = \"nowhere\"\n", "s.toml:4: key 'http_listen'"},
      {"max_body_bytes = \"big\"\n", "is not an integer"},
      {"log_format = \"xml\"\n", "text"},
      {"seeds = [\"7\"]\n", "seeds"},
      {"= 3\n", "TOML"},
  };
  for (const auto& [line, says] : cases) {
    const absl::StatusOr<Settings> settings = ParseSettings(std::string(kGoodSettings) + line, "s.toml", {});
    ASSERT_FALSE(settings.ok()) << line;
    EXPECT_EQ(KindOf(settings.status()), ErrorKind::kInvalidSetting);
    EXPECT_NE(MessageOf(settings.status()).find(says), std::string::npos) << MessageOf(settings.status());
  }
  EXPECT_FALSE(ParseSettings("", "flags", {}).ok());
}

RC_GTEST_PROP(SettingsProperty, AnyBytesGiveSettingsOrATypedError, ()) {
  const absl::StatusOr<Settings> settings = ParseSettings(*rc::gen::arbitrary<std::string>(), "fuzz", {});
  RC_ASSERT(settings.ok() || KindOf(settings.status()) == ErrorKind::kInvalidSetting);
}

HttpRequest Completion(const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.body = body;
  return request;
}

RC_GTEST_PROP(CallerRequestProperty, AnyBodyGivesARequestOrATypedError, ()) {
  const HttpRequest request = Completion(*rc::gen::arbitrary<std::string>());
  for (const CompletionShape shape : {CompletionShape::kText, CompletionShape::kChat}) {
    const absl::StatusOr<ParsedRequest> parsed = ParseCallerRequest(request, shape);
    RC_ASSERT(parsed.ok() || KindOf(parsed.status()) == ErrorKind::kInvalidRequest);
  }
}

TEST(CallerRequestTest, SharedPrefixesShareBlocks) {
  RequestSpec first;
  first.prompt = std::string(4096, 'a') + std::string(2048, 'b');
  RequestSpec second = first;
  second.prompt = std::string(4096, 'a') + std::string(2048, 'c');
  DescribePrompt(&first);
  DescribePrompt(&second);
  ASSERT_EQ(first.prompt_blocks.size(), 6U);
  EXPECT_EQ(first.prompt_blocks[3], second.prompt_blocks[3]);
  EXPECT_NE(first.prompt_blocks[4], second.prompt_blocks[4]);
}

TEST(EngineProtocolTest, EveryMessageParsesBack) {
  Attempt attempt;
  attempt.id = {"t/key#1", 3};
  attempt.boot = BootId{9};
  attempt.mode = AttemptMode::kDecode;
  attempt.prompt = "say \"hi\"";
  attempt.prompt_blocks = {BlockHash{5}};
  attempt.import_attempt = {"t/key#1", 2};
  EXPECT_EQ(EncodeAttempt(*DecodeAttempt(EncodeAttempt(attempt))), EncodeAttempt(attempt));
  EngineFrame frame;
  frame.attempt = attempt.id;
  frame.text = "abcd ";
  frame.finish = FinishReason::kLength;
  frame.total_tokens = 12;
  EXPECT_EQ(EncodeFrame(*DecodeFrame(EncodeFrame(frame))), EncodeFrame(frame));
  EngineState state;
  state.fence = {1, 2, 3};
  state.cache_events = {{4, true, BlockHash{8}}};
  EXPECT_EQ(*DecodeState(EncodeState(state)), state);
  EngineOrder order;
  order.token = {1, 2, 3};
  order.adapters = {"boar"};
  order.validity = 300ms;
  EXPECT_EQ(EncodeOrder(*DecodeOrder(EncodeOrder(order))), EncodeOrder(order));
  EXPECT_EQ(*DecodeVerdict(EncodeVerdict(OrderVerdict::kRefusedStale)), OrderVerdict::kRefusedStale);
  EXPECT_EQ(*DecodeFailure(EncodeFailure(AttemptFailure::kNeverSeen)), AttemptFailure::kNeverSeen);
  EXPECT_EQ(DecodeStateRequest(EncodeStateRequest({FenceToken{4, 5, 6}, 7}))->raise_fence, (FenceToken{4, 5, 6}));
}

TEST(EngineProtocolTest, GarbageIsATypedError) {
  for (const char* text : {"", "{}", "[1,2]", "{\"verdict\":99}", "nonsense"}) {
    EXPECT_EQ(KindOf(DecodeAttempt(text).status()), ErrorKind::kCorrupt);
    EXPECT_EQ(KindOf(DecodeFrame(text).status()), ErrorKind::kCorrupt);
    EXPECT_EQ(KindOf(DecodeState(text).status()), ErrorKind::kCorrupt);
    EXPECT_EQ(KindOf(DecodeOrder(text).status()), ErrorKind::kCorrupt);
    EXPECT_EQ(KindOf(DecodeVerdict(text).status()), ErrorKind::kCorrupt);
    EXPECT_EQ(KindOf(DecodeStoredObject(text).status()), ErrorKind::kCorrupt);
    EXPECT_EQ(KindOf(ParseMachineList(text).status()), ErrorKind::kCorrupt);
  }
}

TEST(LineDiffTest, ListsOnlyWhatDiffers) {
  EXPECT_EQ(DiffLines("a\nb\nc\n", "a\nx\nc\nd\n"), (std::vector<std::string>{"- b", "+ x", "+ d"}));
  EXPECT_TRUE(DiffLines("same\n", "same\n").empty());
}

struct CallResult {
  HttpResult result = HttpResult::kBroken;
  long status = 0;
  std::string body;
};

CallResult Call(HttpClient& client, HttpCall call) {
  std::promise<CallResult> promise;
  call.on_done = [&](HttpResult result, long status, std::string body) {
    promise.set_value(CallResult{result, status, std::move(body)});
  };
  client.Begin(std::move(call));
  return promise.get_future().get();
}

TEST(HttpTest, AnswersLaterWholeAndStreamed) {
  std::thread answerer;
  HttpServerOptions options;
  options.max_body_bytes = 100;
  options.rejection_body = [](int) { return "large"; };
  auto server = HttpServer::Start(options, [&](const std::shared_ptr<HttpExchange>& exchange) {
    if (exchange->request().path == "/whole") return exchange->Respond(200, {}, exchange->request().body);
    answerer = std::thread([exchange] {
      exchange->BeginStream(200, {});
      for (const char* piece : {"one ", "two ", "three"}) {
        exchange->Write(piece);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
      exchange->EndStream();
    });
  });
  ASSERT_TRUE(server.ok());
  const std::string base = "http://127.0.0.1:" + std::to_string((*server)->port());
  HttpClient client;
  HttpCall call;
  call.method = "POST";
  call.url = base + "/whole";
  call.body = "hello";
  EXPECT_EQ(Call(client, call).body, "hello");
  call.body = std::string(101, 'x');
  const CallResult large = Call(client, call);
  EXPECT_EQ(large.status, 413);
  EXPECT_EQ(large.body, "large");
  call.url = base + "/stream";
  call.body = "";
  EXPECT_EQ(Call(client, call).body, "one two three");
  answerer.join();
}

TEST(HttpTest, ALeavingClientIsNoticedWhileItWaits) {
  std::promise<void> closed;
  auto server = HttpServer::Start(HttpServerOptions{}, [&](const std::shared_ptr<HttpExchange>& exchange) {
    exchange->SetOnClosed([&] { closed.set_value(); });
  });
  ASSERT_TRUE(server.ok());
  HttpClient client;
  HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string((*server)->port()) + "/";
  call.timeout = std::chrono::milliseconds(100);
  EXPECT_EQ(Call(client, call).result, HttpResult::kBroken);
  std::future<void> noticed = closed.get_future();
  EXPECT_EQ(noticed.wait_for(std::chrono::seconds(2)), std::future_status::ready);
}

TEST(HttpTest, NobodyListeningMeansNotSent) {
  HttpClient client;
  HttpCall call;
  call.url = "http://127.0.0.1:1/";
  EXPECT_EQ(Call(client, call).result, HttpResult::kNotSent);
}

TEST(PeerTransportTest, CarriesMessagesAndDropsGarbage) {
  std::promise<PeerMessage> received;
  auto receiver =
      PeerTransport::Start({"127.0.0.1", 0}, [&](const PeerMessage& message) { received.set_value(message); });
  ASSERT_TRUE(receiver.ok());
  const int garbage = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = SocketAddress{"127.0.0.1", (*receiver)->port()}.ToSockaddr();
  ASSERT_EQ(connect(garbage, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
  const std::string bytes = std::string("\0\0\0\x08", 4) + "nonsense";
  ASSERT_EQ(send(garbage, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
  char closed = 0;
  EXPECT_EQ(recv(garbage, &closed, 1, 0), 0);
  close(garbage);
  EXPECT_EQ((*receiver)->refused_messages(), 1U);

  auto sender = PeerTransport::Start({"127.0.0.1", 0}, [](const PeerMessage&) {});
  ASSERT_TRUE(sender.ok());
  (*sender)->SetAddress(NodeId{2}, {"127.0.0.1", (*receiver)->port()});
  PeerMessage message;
  message.sender = {NodeId{1}, BootId{5}};
  message.body = ObjectPull{ObjectKind::kView};
  (*sender)->Send(NodeId{2}, message);
  EXPECT_EQ(received.get_future().get().sender, message.sender);
}

// A response without a body to the request, naming its call as HttpServer does.
std::string Respond(const std::string& request, int status) {
  const std::string name = std::string(kCallIdHeader) + ": ";
  const std::size_t start = request.find(name);
  const std::string id =
      start == std::string::npos ? "" : request.substr(start, request.find("\r\n", start) + 2 - start);
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + id + "Content-Length: 0\r\n\r\n";
}

// Guards against: a late copy of the response to an earlier call, such as a refusal, counts as a later call's.
TEST(HttpClientTest, CopyOfAnEarlierResponseIsNotTheResponseToALaterCall) {
  testing::ScriptedServer server({[](testing::ScriptedConnection& connection) {
    const std::string refusal = Respond(connection.ReadUntil("payload"), 409);
    connection.Write(refusal);
    const std::string second = connection.ReadUntil("payload");
    connection.Write(refusal + Respond(second, 200));
  }});
  HttpClient client;
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + server.address() + "/x";
  call.body = "payload";
  EXPECT_EQ(Call(client, call).status, 409);
  EXPECT_EQ(Call(client, call).status, 200);
  EXPECT_EQ(server.accepted(), 1);
}

TEST(HttpClientTest, MalformedResponseIsNoAnswer) {
  for (const char* start : {"HTTP/1.1 000 X\r\n", "HTTP/1.1 200 OK\r\nX-First: 1\r\n X: v\r\n",
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"}) {
    testing::ScriptedServer server({[&](testing::ScriptedConnection& connection) {
      connection.ReadHead();
      connection.Write(std::string(start) +
                       "Content-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      connection.ReadToEnd();
    }});
    HttpClient client;
    HttpCall call;
    call.url = "http://" + server.address() + "/x";
    EXPECT_EQ(Call(client, call).result, HttpResult::kBroken) << start;
  }
}

TEST(HttpClientTest, ARequestOnADyingConnectionArrivesOnce) {
  // libcurl sent it again by itself: work that may run once could run twice.
  std::atomic<int> arrived = 0;
  const auto count = [&](testing::ScriptedConnection& connection) {
    std::string request = connection.ReadUntil("payload");
    if (request.find("payload") != std::string::npos) ++arrived;
    return request;
  };
  testing::ScriptedServer server(
      {[&](testing::ScriptedConnection& connection) {
         connection.Write(Respond(count(connection), 200));
         count(connection);  // Read, and closed without an answer.
       },
       [&](testing::ScriptedConnection& connection) { connection.Write(Respond(count(connection), 200)); }});
  HttpClient client;
  HttpResult last = HttpResult::kCancelled;
  for (int i = 0; i < 2; ++i) {
    std::promise<HttpResult> done;
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + server.address() + "/x";
    call.body = "payload";
    call.on_done = [&](HttpResult result, long /*status*/, const std::string& /*body*/) { done.set_value(result); };
    client.Begin(std::move(call));
    last = done.get_future().get();
  }
  EXPECT_EQ(last, HttpResult::kBroken);
  EXPECT_EQ(arrived, 2);
}

}  // namespace
}  // namespace saltquay
