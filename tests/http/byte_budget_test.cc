// Many clients together that send parts of long bodies, or do not read their answers.
#include "src/http/byte_budget.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>

#include "src/http/server.h"
#include "tests/support/scripted_server.h"

namespace saltquay::http {
namespace {

using saltquay::testing::ScriptedConnection;

constexpr std::size_t kBudget = 4 * 1024 * 1024;
constexpr std::size_t kPart = 512 * 1024;
constexpr int kClients = 40;
constexpr std::size_t kReadAtOnce = 256 * 1024;  // What a connection may read beyond the budget before it yields.

class ByteBudgetTest : public ::testing::Test {
 protected:
  ByteBudgetTest() {
    server_ = std::move(*Server::Listen(loop_, "127.0.0.1:0", ServerLimits{}, [this](const auto& exchange) {
      max_held_ = std::max(max_held_, budget_->held());
      if (exchange->head.target == "/long") return StreamLong(exchange);
      ResponseHead head;
      head.status = 200;
      exchange->Respond(head, std::to_string(exchange->body.size()));
    }));
    server_->set_budget(budget_);
  }
  ~ByteBudgetTest() override { StopLoop(); }

  void StartLoop() {
    thread_ = std::thread([this] {
      const auto work = boost::asio::make_work_guard(loop_);
      loop_.run();
    });
  }
  void StopLoop() {
    loop_.stop();
    if (thread_.joinable()) thread_.join();
  }
  std::unique_ptr<ScriptedConnection> Connect() { return ScriptedConnection::To(server_->port()); }
  static std::string HeadOf(std::size_t length) {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
  }
  void StreamLong(const std::shared_ptr<Exchange>& exchange) {
    ResponseHead head;
    head.status = 200;
    exchange->BeginStream(head);
    for (int i = 0; i < 32; ++i) {
      exchange->Write(std::string(64 * 1024, 'y'));
      max_held_ = std::max(max_held_, budget_->held());
    }
    exchange->EndStream();
  }

  boost::asio::io_context loop_;
  std::shared_ptr<ByteBudget> budget_ = std::make_shared<ByteBudget>(kBudget);
  std::unique_ptr<Server> server_;
  std::thread thread_;
  std::size_t max_held_ = 0;
};

// Guards against: clients that send parts of long bodies and stop fill the memory of a node, each within its own limit.
TEST_F(ByteBudgetTest, BodiesThatDoNotMoveGiveWay) {
  StartLoop();
  std::vector<std::unique_ptr<ScriptedConnection>> stalled;
  for (int i = 0; i < kClients; ++i) {
    stalled.push_back(Connect());
    stalled.back()->Write(HeadOf(2 * kPart) + std::string(kPart, 'y'));
  }
  const auto moving = Connect();
  moving->Write(HeadOf(kPart));
  for (int i = 0; i < 8; ++i) moving->Write(std::string(kPart / 8, 'y'));
  EXPECT_NE(moving->ReadUntil(std::to_string(kPart)).find("200 OK"), std::string::npos);
  const auto small = Connect();
  small->Write(HeadOf(2) + "hi");
  EXPECT_NE(small->ReadHead().find("200 OK"), std::string::npos);
  const std::string refusal = stalled.front()->ReadHead();
  EXPECT_NE(refusal.find(" 503 "), std::string::npos);
  EXPECT_NE(refusal.find("Retry-After: "), std::string::npos);
  StopLoop();
  EXPECT_LE(budget_->held(), kBudget + kReadAtOnce);
  EXPECT_LE(max_held_, kBudget + kReadAtOnce);
  EXPECT_GT(budget_->refusals(), 0U);
  stalled.clear();
}

// Guards against: clients that do not read their answers fill the memory of a node, each within its own limit.
TEST_F(ByteBudgetTest, AnswersThatAreNotReadGiveWay) {
  StartLoop();
  std::vector<std::unique_ptr<ScriptedConnection>> silent;
  for (int i = 0; i < kClients; ++i) {
    silent.push_back(Connect());
    silent.back()->Write("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  const auto small = Connect();
  small->Write(HeadOf(2) + "hi");
  EXPECT_NE(small->ReadHead().find("200 OK"), std::string::npos);
  StopLoop();
  EXPECT_LE(max_held_, kBudget + kReadAtOnce);
  EXPECT_GT(budget_->refusals(), 0U);
  silent.clear();
}

TEST_F(ByteBudgetTest, NothingIsHeldOnceConnectionsHaveEnded) {
  StartLoop();
  {
    const auto connection = Connect();
    connection->Write(HeadOf(kPart) + std::string(kPart, 'y'));
    connection->ReadUntil(std::to_string(kPart));
  }
  const auto half = Connect();
  half->Write(HeadOf(kPart) + std::string(kPart / 2, 'y'));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  half->Close();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  StopLoop();
  EXPECT_EQ(budget_->held(), 0U);
}

}  // namespace
}  // namespace saltquay::http
