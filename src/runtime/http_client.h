// src/http's client on a thread of its own, for callers on any thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "src/http/client.h"

namespace saltquay {

// Names a call; HttpServer gives it back in the response, so that a late copy of another call's response is recognized.
inline constexpr std::string_view kCallIdHeader = "Saltquay-Call-Id";

// How a call ended.
enum class HttpResult {
  kAnswered,   // A status and a whole body came.
  kNotSent,    // The server never got it.
  kBroken,     // It may have been sent; no whole answer came.
  kCancelled,  // By Cancel().
};

struct HttpCall {
  std::string method = "GET";
  std::string url;  // http://IPV4:PORT/PATH
  std::string body;
  std::vector<std::string> headers;         // "Name: value".
  std::chrono::milliseconds timeout{5000};  // 0: none, for streams.
  std::chrono::milliseconds connect_timeout{1000};
  // Called with each piece of a 2xx body instead of collecting it, if set.
  std::function<void(std::string_view)> on_data;
  // Called once. `body` holds what on_data did not take.
  std::function<void(HttpResult result, long status, std::string body)> on_done;
};

// Thread-safe. Callbacks run on the client's thread and must not block. A
// request is sent once: nothing here sends it again.
class HttpClient {
 public:
  using CallId = std::uint64_t;

  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Ends the thread; calls under way end without a word. For whoever owns what
  // the callbacks refer to, before it goes.
  void Stop();

  CallId Begin(HttpCall call);
  // on_done follows with kCancelled unless the call has ended.
  void Cancel(CallId id);

 private:
  struct Transfer;

  void Start(CallId id, HttpCall call);
  void Finish(CallId id, HttpResult result);

  boost::asio::io_context loop_;
  http::Client client_{loop_};
  std::mutex mutex_;
  CallId last_id_ = 0;
  std::map<CallId, std::shared_ptr<Transfer>> active_;  // Only the client's thread.
  std::thread thread_;
};

}  // namespace saltquay
