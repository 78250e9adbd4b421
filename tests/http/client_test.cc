// The client against a scripted server: what was sent, once, and what is known
// when a connection ends.
#include "src/http/client.h"

#include <gtest/gtest.h>

#include <boost/asio/steady_timer.hpp>

#include "src/base/boot_clock.h"
#include "tests/support/scripted_server.h"

namespace saltquay::http {
namespace {

using saltquay::testing::ScriptedConnection;
using saltquay::testing::ScriptedServer;

struct Outcome {
  bool complete = false;
  std::optional<CallFailure> failure;
  int status = 0;
  std::string body;
};

class ClientTest : public ::testing::Test {
 protected:
  // Sends a POST and runs the loop until it ends.
  Outcome Post(const std::string& address, const std::string& id, const std::string& body = "body") {
    Outcome outcome;
    RequestHead head;
    head.method = "POST";
    head.target = "/x";
    head.fields.Add("Host", "h");
    head.fields.Add("Id", id);
    CallHandlers handlers;
    handlers.owner_of = [id](const ResponseHead& answer) {
      const auto given = answer.fields.Find("Id");
      return !given || *given == id ? ResponseOwner::kThisCall : ResponseOwner::kAnotherCall;
    };
    handlers.on_head = [&](const ResponseHead& answer) { outcome.status = answer.status; };
    handlers.on_body = [&](std::string_view bytes) { outcome.body += bytes; };
    handlers.on_complete = [&] { outcome.complete = true; };
    handlers.on_failure = [&](CallFailure failure) { outcome.failure = failure; };
    const auto call = client_.Start(*ParseEndpoint(address), "pool", SerializeRequest(head, body), CallOptions{},
                                    std::move(handlers));
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!outcome.complete && !outcome.failure && std::chrono::steady_clock::now() < limit) {
      loop_.restart();
      loop_.run_one_for(std::chrono::milliseconds(50));
    }
    return outcome;
  }
  // Lets things that have arrived be seen.
  void Settle() {
    loop_.restart();
    loop_.run_for(std::chrono::milliseconds(60));
  }

  boost::asio::io_context loop_;
  Client client_{loop_};
};

constexpr char kOkEmpty[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

TEST_F(ClientTest, KeepsTheConnectionWhenTheCallObjectIsGone) {
  // Found on the bench: the ended call's handle closed the connection under the next call.
  ScriptedServer server({[](ScriptedConnection& connection) {
    for (int i = 0; i < 3; ++i) {
      connection.ReadUntil("body");
      connection.Write(kOkEmpty);
    }
    connection.ReadToEnd();
  }});
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(Post(server.address(), "1").complete);
  EXPECT_EQ(server.accepted(), 1);
}

TEST_F(ClientTest, ARequestOnADyingConnectionArrivesOnce) {
  std::atomic<int> arrived = 0;
  const auto count = [&](ScriptedConnection& connection) {
    if (connection.ReadUntil("body").find("body") != std::string::npos) ++arrived;
  };
  ScriptedServer server({[&](ScriptedConnection& connection) {
                           count(connection);
                           connection.Write(kOkEmpty);
                           count(connection);  // The second request is read, and not answered.
                         },
                         [&](ScriptedConnection& connection) {
                           count(connection);
                           connection.Write(kOkEmpty);
                         }});
  EXPECT_TRUE(Post(server.address(), "1").complete);
  const Outcome second = Post(server.address(), "2");
  EXPECT_EQ(second.failure, CallFailure::kBroken);
  EXPECT_EQ(arrived, 2);
}

TEST_F(ClientTest, NobodyListensIsNotSent) {
  std::string address;
  {
    ScriptedServer server({[](ScriptedConnection&) {}});
    address = server.address();
  }
  EXPECT_EQ(Post(address, "1").failure, CallFailure::kNotSent);
}

TEST_F(ClientTest, AnAnswerToAnotherRequestIsDroppedAndTheOwnAwaited) {
  ScriptedServer server({[](ScriptedConnection& connection) {
    connection.ReadUntil("body");
    connection.Write(
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrongHTTP/1.1 201 Made\r\nId: 1\r\n"
        "Content-Length: 5\r\n\r\nright");
    connection.ReadToEnd();
  }});
  const Outcome outcome = Post(server.address(), "1");
  EXPECT_TRUE(outcome.complete);
  EXPECT_EQ(outcome.status, 201);
  EXPECT_EQ(outcome.body, "right");
}

TEST_F(ClientTest, BytesOnARestingConnectionEndIt) {
  ScriptedServer server({[](ScriptedConnection& connection) {
                           connection.ReadUntil("body");
                           connection.Write(std::string(kOkEmpty));
                           std::this_thread::sleep_for(std::chrono::milliseconds(20));
                           connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
                           connection.ReadToEnd();
                         },
                         [](ScriptedConnection& connection) {
                           connection.ReadUntil("body");
                           connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
                           connection.ReadToEnd();
                         }});
  EXPECT_TRUE(Post(server.address(), "1").complete);
  Settle();
  EXPECT_EQ(Post(server.address(), "2").body, "own");
  EXPECT_EQ(server.accepted(), 2);
}

TEST_F(ClientTest, BytesBehindAnAnswerEndTheConnection) {
  ScriptedServer server({[](ScriptedConnection& connection) {
                           connection.ReadUntil("body");
                           connection.Write(std::string(kOkEmpty) +
                                            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
                           connection.ReadToEnd();
                         },
                         [](ScriptedConnection& connection) {
                           connection.ReadUntil("body");
                           connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
                           connection.ReadToEnd();
                         }});
  EXPECT_TRUE(Post(server.address(), "1").complete);
  EXPECT_EQ(Post(server.address(), "2").body, "own");
}

TEST_F(ClientTest, AnswerWithoutLengthIsWholeAtItsEndOnly) {
  const std::string start = "HTTP/1.1 200 OK\r\n\r\nhalf";
  ScriptedServer ends({[&](ScriptedConnection& connection) {
    connection.ReadUntil("body");
    connection.Write(start);
  }});
  EXPECT_TRUE(Post(ends.address(), "1").complete);
  ScriptedServer resets({[&](ScriptedConnection& connection) {
    connection.ReadUntil("body");
    connection.Write(start);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    connection.Reset();
  }});
  EXPECT_EQ(Post(resets.address(), "1").failure, CallFailure::kBroken);
}

TEST_F(ClientTest, GarbageIsMalformed) {
  ScriptedServer server({[](ScriptedConnection& connection) {
    connection.ReadUntil("body");
    connection.Write("SMTP ready\r\n\r\n");
    connection.ReadToEnd();
  }});
  EXPECT_EQ(Post(server.address(), "1").failure, CallFailure::kMalformed);
}

TEST_F(ClientTest, AnEarlyAnswerToALongBodyIsTaken) {
  ScriptedServer server({[](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write("HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\nConnection: close\r\n\r\nbig");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    connection.ReadToEnd();
  }});
  const Outcome outcome = Post(server.address(), "1", std::string(8 << 20, 'x'));
  EXPECT_TRUE(outcome.complete);
  EXPECT_EQ(outcome.status, 413);
}

TEST_F(ClientTest, ConnectionCloseAndKeepAliveTimeAreObeyed) {
  ScriptedServer server({[](ScriptedConnection& connection) {
                           connection.ReadUntil("body");
                           connection.Write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
                           connection.ReadToEnd();
                         },
                         [](ScriptedConnection& connection) {
                           connection.ReadUntil("body");
                           connection.Write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n");
                           connection.ReadToEnd();
                         },
                         [](ScriptedConnection& connection) {
                           connection.ReadUntil("body");
                           connection.Write(kOkEmpty);
                           connection.ReadToEnd();
                         }});
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(Post(server.address(), "1").complete);
  EXPECT_EQ(server.accepted(), 3);
}

TEST_F(ClientTest, AConnectionKeptThroughASuspensionOfTheMachineIsNotUsedBeyondItsTime) {
  ScriptedServer server({[](ScriptedConnection& connection) {
    for (int i = 0; i < 2; ++i) {
      connection.ReadUntil("body");
      connection.Write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n");
    }
  }});
  EXPECT_TRUE(Post(server.address(), "1").complete);
  EXPECT_TRUE(Post(server.address(), "1").complete);
  EXPECT_EQ(server.accepted(), 1);
  BootClock::Suspend(std::chrono::seconds(6));
  EXPECT_TRUE(Post(server.address(), "1").complete);
  EXPECT_EQ(server.accepted(), 2);
}

}  // namespace
}  // namespace saltquay::http
