// Calls of the platform's store over real sockets, and a store whose answers a test writes.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>

#include "platform/object_store_client.h"
#include "tests/support/scripted_server.h"

namespace saltquay::testing {

// Returns an HTTP response with `body`.
inline std::string Reply(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Answers each request on the connection by what `answer` returns for its target.
inline ScriptedServer::Script Answering(std::function<std::string(const std::string&)> answer) {
  return [answer = std::move(answer)](ScriptedConnection& connection) {
    for (std::string head = connection.ReadHead(); !head.empty(); head = connection.ReadHead()) {
      const std::size_t target = head.find(' ') + 1;
      if (!connection.Write(Reply(200, answer(head.substr(target, head.find(' ', target) - target))))) return;
    }
  };
}

class StoreClientFixture : public ::testing::Test {
 protected:
  // Returns what the call that `begin` starts yields.
  template <typename Result, typename Begin>
  absl::StatusOr<Result> Run(const std::string& address, Begin begin) {
    platform::ObjectStoreClient client(loop_, address);
    std::optional<absl::StatusOr<Result>> result;
    begin(client, [&](absl::StatusOr<Result> value) { result = std::move(value); });
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!result && std::chrono::steady_clock::now() < limit) {
      loop_.restart();
      loop_.run_one_for(std::chrono::milliseconds(50));
    }
    loop_.restart();
    loop_.poll();
    return result ? *result : absl::InternalError("no response within 5 s");
  }

  absl::StatusOr<gateway::ObjectList> List(const std::string& address) {
    return Run<gateway::ObjectList>(address, [](auto& client, auto done) { client.List("servers", done); });
  }
  absl::StatusOr<gateway::ObjectEvents> Watch(const std::string& address) {
    return Run<gateway::ObjectEvents>(
        address, [](auto& client, auto done) { client.Watch("servers", 3, std::chrono::milliseconds(100), done); });
  }
  absl::StatusOr<gateway::StoredObject> Read(const std::string& address, const std::string& name) {
    return Run<gateway::StoredObject>(address, [&](auto& client, auto done) { client.Read("servers", name, done); });
  }

  boost::asio::io_context loop_;
};

}  // namespace saltquay::testing
