#include "src/runtime/http_client.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include "src/http/boot_timer.h"

namespace saltquay {
namespace {

constexpr std::uint64_t kMaxBodyBytes = 64 * 1024 * 1024;

constexpr int kHttpOk = 200;
constexpr int kHttpMultipleChoices = 300;
constexpr std::string_view kScheme = "http://";

struct Url {
  std::string address;
  std::string target = "/";
};

Url ParseUrl(std::string_view text) {
  if (text.starts_with(kScheme)) text.remove_prefix(kScheme.size());
  Url url;
  const std::size_t slash = text.find('/');
  url.address = std::string(text.substr(0, slash));
  if (slash != std::string_view::npos) url.target = std::string(text.substr(slash));
  return url;
}

http::ResponseOwner OwnerOf(const http::ResponseHead& head, std::string_view call_id) {
  const auto id = head.fields.Find(kCallIdHeader);
  if (!id) return http::ResponseOwner::kUnnamed;
  return *id == call_id ? http::ResponseOwner::kThisCall : http::ResponseOwner::kAnotherCall;
}

http::RequestHead MakeHead(const HttpCall& call, const Url& url, const std::string& call_id) {
  http::RequestHead head;
  head.method = call.method;
  head.target = url.target;
  head.fields.Add("Host", url.address);
  head.fields.Add(std::string(kCallIdHeader), call_id);
  for (const std::string& header : call.headers) {
    const std::size_t colon = header.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = header.find_first_not_of(' ', colon + 1);
    head.fields.Add(header.substr(0, colon), value == std::string::npos ? "" : header.substr(value));
  }
  return head;
}

}  // namespace

struct HttpClient::Transfer {
  explicit Transfer(boost::asio::io_context& loop) : timer(loop) {}
  HttpCall call;
  std::unique_ptr<http::Call> sent;
  BootTimer timer;
  int status = 0;
  std::string body;
};

HttpClient::HttpClient() {
  thread_ = std::thread([this] {
    const auto guard = boost::asio::make_work_guard(loop_);
    loop_.run();
  });
}

HttpClient::~HttpClient() { Stop(); }

void HttpClient::Stop() {
  loop_.stop();
  if (thread_.joinable()) thread_.join();
}

HttpClient::CallId HttpClient::Begin(HttpCall call) {
  CallId id = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    id = ++last_id_;
  }
  boost::asio::post(loop_, [this, id, call = std::move(call)]() mutable { Start(id, std::move(call)); });
  return id;
}

void HttpClient::Cancel(CallId id) {
  boost::asio::post(loop_, [this, id] { Finish(id, HttpResult::kCancelled); });
}

void HttpClient::Start(CallId id, HttpCall call) {
  const auto transfer = std::make_shared<Transfer>(loop_);
  transfer->call = std::move(call);
  active_[id] = transfer;
  const Url url = ParseUrl(transfer->call.url);
  const absl::StatusOr<http::Endpoint> endpoint = http::ParseEndpoint(url.address);
  if (!endpoint.ok()) return Finish(id, HttpResult::kNotSent);
  http::CallHandlers handlers;
  const std::string call_id = std::to_string(id);
  handlers.owner_of = [call_id](const http::ResponseHead& head) { return OwnerOf(head, call_id); };
  handlers.on_head = [transfer](const http::ResponseHead& head) { transfer->status = head.status; };
  handlers.on_body = [transfer](std::string_view bytes) {
    const bool success = transfer->status >= kHttpOk && transfer->status < kHttpMultipleChoices;
    if (success && transfer->call.on_data) return transfer->call.on_data(bytes);
    transfer->body += bytes;
  };
  handlers.on_complete = [this, id] { Finish(id, HttpResult::kAnswered); };
  handlers.on_failure = [this, id](http::CallFailure failure) {
    Finish(id, failure == http::CallFailure::kNotSent ? HttpResult::kNotSent : HttpResult::kBroken);
  };
  http::CallOptions options;
  options.connect_timeout = transfer->call.connect_timeout;
  options.head_request = transfer->call.method == "HEAD";
  options.call_id = call_id;
  options.max_body_bytes = kMaxBodyBytes;
  const http::RequestHead head = MakeHead(transfer->call, url, call_id);
  transfer->sent = client_.Start(*endpoint, url.address, http::SerializeRequest(head, transfer->call.body), options,
                                 std::move(handlers));
  if (transfer->call.timeout.count() == 0) return;
  transfer->timer.expires_after(transfer->call.timeout);
  transfer->timer.async_wait([this, id](boost::system::error_code error) {
    if (!error) Finish(id, HttpResult::kBroken);
  });
}

void HttpClient::Finish(CallId id, HttpResult result) {
  const auto entry = active_.find(id);
  if (entry == active_.end()) return;
  const std::shared_ptr<Transfer> transfer = entry->second;
  active_.erase(entry);
  transfer->timer.cancel();
  // The call may be what runs now: it ends after this.
  boost::asio::post(loop_, [transfer] { transfer->sent.reset(); });
  if (transfer->call.on_done) transfer->call.on_done(result, transfer->status, std::move(transfer->body));
}

}  // namespace saltquay
