// Calls that are meant for one process of a server, which may have started again under its address.
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "src/http/client.h"
#include "tests/support/scripted_server.h"

namespace saltquay::http {
namespace {

using saltquay::testing::ScriptedConnection;
using saltquay::testing::ScriptedServer;

constexpr ServerIdentity kExpected = 7;
constexpr char kOk[] = "HTTP/1.1 200 OK\r\nId: call\r\nContent-Length: 2\r\n\r\nok";

struct Outcome {
  bool complete = false;
  std::optional<CallFailure> failure;
  std::optional<ServerIdentity> other_server;
  std::string body;
  bool ended() const { return complete || failure || other_server; }
};

// The server's response to the question who it is. `id`: of the question; empty: it names none.
std::string IdentityResponse(const std::string& identity, const std::string& id = "question") {
  const std::string name = id.empty() ? "" : "Id: " + id + "\r\n";
  return "HTTP/1.1 200 OK\r\n" + name + "Content-Length: " + std::to_string(identity.size()) + "\r\n\r\n" + identity;
}

class IdentityCheckTest : public ::testing::Test {
 protected:
  // Sends a call that is meant for `expected`, or for any server.
  Outcome Send(const std::string& address, std::optional<ServerIdentity> expected) {
    Outcome outcome;
    CallHandlers handlers;
    handlers.owner_of = [](const ResponseHead& head) { return OwnerOf(head, "call"); };
    handlers.on_body = [&](std::string_view bytes) { outcome.body += bytes; };
    handlers.on_complete = [&] { outcome.complete = true; };
    handlers.on_failure = [&](CallFailure failure) { outcome.failure = failure; };
    handlers.on_other_server = [&](ServerIdentity identity) { outcome.other_server = identity; };
    CallOptions options;
    if (expected) options.identity_check = MakeCheck(*expected);
    const auto call = client_.Start(*ParseEndpoint(address), "pool", "POST /call HTTP/1.1\r\n\r\n", options, handlers);
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!outcome.ended() && std::chrono::steady_clock::now() < limit) {
      loop_.restart();
      loop_.run_one_for(std::chrono::milliseconds(20));
    }
    return outcome;
  }

  boost::asio::io_context loop_;
  Client client_{loop_};
  std::chrono::milliseconds timeout_{5000};  // For the server's answer; no test of an answer waits for it.

 private:
  static ResponseOwner OwnerOf(const ResponseHead& head, std::string_view id) {
    const auto named = head.fields.Find("Id");
    if (!named) return ResponseOwner::kUnnamed;
    return *named == id ? ResponseOwner::kThisCall : ResponseOwner::kAnotherCall;
  }
  IdentityCheck MakeCheck(ServerIdentity expected) const {
    IdentityCheck check;
    check.expected = expected;
    check.request = "GET /who HTTP/1.1\r\n\r\n";
    check.call_id = "question";
    check.timeout = timeout_;
    check.owner_of = [](const ResponseHead& head) { return OwnerOf(head, "question"); };
    check.decode = [](const ResponseHead&, const std::string& body) { return std::atoll(body.c_str()); };
    return check;
  }
};

TEST_F(IdentityCheckTest, AsksOnceOnEachConnection) {
  std::string received;
  {
    ScriptedServer server({[&](ScriptedConnection& connection) {
      received += connection.ReadHead();
      connection.Write(IdentityResponse("7"));
      for (int i = 0; i < 3; ++i) {
        received += connection.ReadHead();
        connection.Write(kOk);
      }
      connection.ReadToEnd();
    }});
    for (int i = 0; i < 3; ++i) EXPECT_EQ(Send(server.address(), kExpected).body, "ok");
    client_.ForgetPool("pool");
  }
  const std::string call = "POST /call HTTP/1.1\r\n\r\n";
  EXPECT_EQ(received, "GET /who HTTP/1.1\r\n\r\n" + call + call + call);
}

TEST_F(IdentityCheckTest, AsksOnAKeptConnectionThatHasCarriedOtherCalls) {
  ScriptedServer server({[](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(kOk);
    EXPECT_NE(connection.ReadHead().find("/who"), std::string::npos);
    connection.Write(IdentityResponse("7"));
    connection.ReadHead();
    connection.Write(kOk);
    connection.ReadToEnd();
  }});
  EXPECT_TRUE(Send(server.address(), std::nullopt).complete);
  EXPECT_TRUE(Send(server.address(), kExpected).complete);
  EXPECT_EQ(server.accepted(), 1);
}

// Guards against: a call reaches a process that has started again under the address of the one that it is meant for.
TEST_F(IdentityCheckTest, CallIsNotSentToAnotherProcess) {
  std::string after;
  {
    ScriptedServer server({[&](ScriptedConnection& connection) {
      connection.ReadHead();
      connection.Write(IdentityResponse("8"));
      after = connection.ReadHead();
      connection.Write(kOk);
      connection.ReadToEnd();
    }});
    EXPECT_EQ(Send(server.address(), kExpected).other_server, 8);
    // The connection still serves calls that any process may serve.
    EXPECT_TRUE(Send(server.address(), std::nullopt).complete);
    EXPECT_EQ(server.accepted(), 1);
    client_.ForgetPool("pool");
  }
  EXPECT_EQ(after, "POST /call HTTP/1.1\r\n\r\n");
}

// Guards against: a kept connection is taken for one to the process that is expected now.
TEST_F(IdentityCheckTest, KeptConnectionToAnotherProcessIsNotUsed) {
  const auto serve = [](const std::string& identity) {
    return [identity](ScriptedConnection& connection) {
      connection.ReadHead();
      connection.Write(IdentityResponse(identity));
      connection.ReadHead();
      connection.Write(kOk);
      connection.ReadToEnd();
    };
  };
  ScriptedServer server({serve("7"), serve("8")});
  EXPECT_TRUE(Send(server.address(), kExpected).complete);
  EXPECT_TRUE(Send(server.address(), kExpected + 1).complete);
  EXPECT_EQ(server.accepted(), 2);
}

// Guards against: a late copy of the server's answer, which names no call, is taken for the response to the call.
TEST_F(IdentityCheckTest, CopyOfAnUnnamedAnswerIsSkipped) {
  ScriptedServer server({[](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(IdentityResponse("7", ""));
    connection.ReadHead();
    connection.Write(IdentityResponse("7", "") + kOk);
    connection.ReadToEnd();
  }});
  const Outcome outcome = Send(server.address(), kExpected);
  EXPECT_EQ(outcome.failure, std::nullopt);
  EXPECT_EQ(outcome.body, "ok");
}

struct BadAnswer {
  std::string name;
  std::function<void(ScriptedConnection&)> script;
};

class UnidentifiedServerTest : public IdentityCheckTest, public ::testing::WithParamInterface<BadAnswer> {
 protected:
  UnidentifiedServerTest() { timeout_ = std::chrono::milliseconds(150); }
};

// Guards against: a call hangs, or counts as sent, at a server that does not say who it is.
TEST_P(UnidentifiedServerTest, CallIsNotSent) {
  std::string after;
  {
    ScriptedServer server({[&](ScriptedConnection& connection) {
      connection.ReadHead();
      GetParam().script(connection);
      after = connection.ReadToEnd();
    }});
    EXPECT_EQ(Send(server.address(), kExpected).failure, CallFailure::kUnidentified);
  }
  EXPECT_EQ(after, "");
}

void WriteWithoutEnd(ScriptedConnection& connection) {
  connection.Write("HTTP/1.1 200 OK\r\nId: question\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 64; ++i) connection.Write("800\r\n" + std::string(2048, '7') + "\r\n");
}

INSTANTIATE_TEST_SUITE_P(
    Answers, UnidentifiedServerTest,
    ::testing::Values(BadAnswer{"silent", [](ScriptedConnection&) {}},
                      BadAnswer{"closed", [](ScriptedConnection& connection) { connection.Close(); }},
                      BadAnswer{"reset", [](ScriptedConnection& connection) { connection.Reset(); }},
                      BadAnswer{"malformed", [](ScriptedConnection& connection) { connection.Write("7\r\n\r\n"); }},
                      BadAnswer{"without_end", &WriteWithoutEnd},
                      BadAnswer{"another_calls",
                                [](ScriptedConnection& connection) { connection.Write(IdentityResponse("7", "x")); }},
                      BadAnswer{"followed_by_bytes",
                                [](ScriptedConnection& connection) { connection.Write(IdentityResponse("7") + "x"); }},
                      BadAnswer{"last_of_its_connection",
                                [](ScriptedConnection& connection) {
                                  connection.Write(
                                      "HTTP/1.1 200 OK\r\nId: question\r\nConnection: close\r\n"
                                      "Content-Length: 1\r\n\r\n7");
                                }}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace saltquay::http
