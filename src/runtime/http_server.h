// The product's own HTTP/1.1 interface: src/http's server on a thread of its
// own, for handlers that answer from any thread.
//
// The handler runs on the server's thread and must not block: it keeps the
// exchange and answers at once or later, whole or as a stream. A waiting
// exchange holds no thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/base/status.h"
#include "src/http/server.h"

namespace saltquay {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::map<std::string, std::string> query;
  std::string body;

  // The header's value, or "".
  std::string Header(const std::string& name) const;
};

// One request and its answer, which gives back the request's kCallIdHeader. Thread-safe.
class HttpExchange {
 public:
  HttpExchange(std::shared_ptr<boost::asio::io_context> loop, std::shared_ptr<http::Exchange> exchange);

  const HttpRequest& request() const { return request_; }

  // Answers whole. Only the first answer counts.
  void Respond(unsigned status, const std::vector<HttpHeader>& headers, std::string body);
  // Begins a streamed answer; then Write any number of times, then EndStream.
  void BeginStream(unsigned status, const std::vector<HttpHeader>& headers);
  void Write(const std::string& bytes);
  void EndStream();

  // Called once when the client left before the answer was complete.
  void SetOnClosed(std::function<void()> on_closed);

 private:
  friend class HttpServer;
  http::ResponseHead MakeHead(unsigned status, const std::vector<HttpHeader>& headers) const;
  void OnClientLeft();

  HttpRequest request_;
  std::shared_ptr<boost::asio::io_context> loop_;
  std::shared_ptr<http::Exchange> exchange_;  // Used on the loop's thread only.
  std::mutex mutex_;
  bool closed_ = false;
  std::function<void()> on_closed_;
};

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0: any free port.
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  unsigned idle_timeout_seconds = 30;  // Of a client that sends nothing.
  // The body of an answer to what cannot be read, by its status; may be empty.
  std::function<std::string(int)> rejection_body;
};

class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  // Starts listening. Errors say which address cannot be bound.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Start(const HttpServerOptions& options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t port() const { return port_; }

 private:
  explicit HttpServer(Handler handler);
  void Handle(const std::shared_ptr<http::Exchange>& raw);

  std::shared_ptr<boost::asio::io_context> loop_;
  Handler handler_;
  std::unique_ptr<http::Server> server_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

}  // namespace saltquay
