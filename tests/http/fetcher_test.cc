// Whole calls against a scripted server.
#include "saltquay/fetch/fetcher.h"

#include <gtest/gtest.h>

#include "tests/support/scripted_server.h"

namespace saltquay::fetch {
namespace {

using saltquay::testing::ScriptedConnection;
using saltquay::testing::ScriptedServer;

constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

class FetcherTest : public ::testing::Test {
 protected:
  void Begin(const std::string& address, std::chrono::milliseconds timeout, absl::StatusOr<Reply>& outcome) {
    http::RequestHead head;
    head.method = "GET";
    head.target = "/x";
    Options options;
    options.pool = "pool";
    options.timeout = timeout;
    ++open_;
    fetcher_.fetch(address, head, "", options, [this, &outcome](const absl::StatusOr<Reply>& reply) {
      outcome = reply;
      --open_;
    });
  }
  void RunAll() {
    while (open_ > 0) {
      loop_.restart();
      loop_.run_one_for(std::chrono::milliseconds(50));
    }
  }

  boost::asio::io_context loop_;
  Fetcher fetcher_{loop_};
  int open_ = 0;
};

// Guards against: kept connections that fell silent are tried one after the other, a time-out each.
TEST_F(FetcherTest, ACallWithoutAnAnswerEndsTheOtherKeptConnections) {
  const auto answers_once_then_falls_silent = [](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(kAnswer);
    connection.ReadToEnd();
  };
  const auto answers = [](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(kAnswer);
  };
  ScriptedServer server({answers_once_then_falls_silent, answers_once_then_falls_silent, answers});
  absl::StatusOr<Reply> first;
  absl::StatusOr<Reply> second;
  Begin(server.address(), std::chrono::seconds(2), first);
  Begin(server.address(), std::chrono::seconds(2), second);
  RunAll();
  ASSERT_TRUE(first.ok() && second.ok());
  Begin(server.address(), std::chrono::milliseconds(200), first);
  RunAll();
  EXPECT_TRUE(absl::IsDeadlineExceeded(first.status()));
  Begin(server.address(), std::chrono::milliseconds(200), second);
  RunAll();
  EXPECT_TRUE(second.ok()) << second.status();
}

}  // namespace
}  // namespace saltquay::fetch
