#include "src/runtime/http_server.h"

#include <algorithm>
#include <cctype>

#include <boost/asio/post.hpp>

#include "src/runtime/http_client.h"

namespace saltquay {
namespace {

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(digit)));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

// Decodes %XX; anything else stands for itself.
std::string DecodePercent(std::string_view text) {
  constexpr int kHexBase = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escaped =
        text[i] == '%' && i + 2 < text.size() && HexValue(text[i + 1]) >= 0 && HexValue(text[i + 2]) >= 0;
    if (!escaped) {
      decoded += text[i];
      continue;
    }
    decoded += static_cast<char>(HexValue(text[i + 1]) * kHexBase + HexValue(text[i + 2]));
    i += 2;
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(std::string_view target) {
  std::map<std::string, std::string> query;
  const std::size_t question = target.find('?');
  if (question == std::string_view::npos) return query;
  std::string_view rest = target.substr(question + 1);
  while (!rest.empty()) {
    const std::string_view item = rest.substr(0, rest.find('&'));
    const std::size_t equals = item.find('=');
    const std::string_view value = equals == std::string_view::npos ? std::string_view() : item.substr(equals + 1);
    query[DecodePercent(item.substr(0, equals))] = DecodePercent(value);
    rest.remove_prefix(std::min(rest.size(), item.size() + 1));
  }
  return query;
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  const auto entry = headers.find(name);
  return entry == headers.end() ? "" : entry->second;
}

HttpExchange::HttpExchange(std::shared_ptr<boost::asio::io_context> loop, std::shared_ptr<http::Exchange> exchange)
    : loop_(std::move(loop)), exchange_(std::move(exchange)) {
  request_.method = exchange_->head.method;
  request_.path = DecodePercent(http::PathOf(exchange_->head.target));
  request_.query = ParseQuery(exchange_->head.target);
  for (const http::Field& field : exchange_->head.fields.all()) request_.headers[LowerCase(field.name)] = field.value;
  request_.body = std::move(exchange_->body);
}

http::ResponseHead HttpExchange::MakeHead(unsigned status, const std::vector<HttpHeader>& headers) const {
  http::ResponseHead head;
  head.status = static_cast<int>(status);
  const std::string call_id = request_.Header(LowerCase(std::string(kCallIdHeader)));
  if (!call_id.empty()) head.fields.Add(std::string(kCallIdHeader), call_id);
  for (const HttpHeader& header : headers) head.fields.Add(header.name, header.value);
  return head;
}

void HttpExchange::Respond(unsigned status, const std::vector<HttpHeader>& headers, std::string body) {
  boost::asio::post(*loop_, [exchange = exchange_, head = MakeHead(status, headers), body = std::move(body)] {
    exchange->Respond(head, body);
  });
}

void HttpExchange::BeginStream(unsigned status, const std::vector<HttpHeader>& headers) {
  boost::asio::post(*loop_, [exchange = exchange_, head = MakeHead(status, headers)] { exchange->BeginStream(head); });
}

void HttpExchange::Write(const std::string& bytes) {
  boost::asio::post(*loop_, [exchange = exchange_, bytes] { exchange->Write(bytes); });
}

void HttpExchange::EndStream() {
  boost::asio::post(*loop_, [exchange = exchange_] { exchange->EndStream(); });
}

void HttpExchange::SetOnClosed(std::function<void()> on_closed) {
  const std::lock_guard<std::mutex> lock(mutex_);
  on_closed_ = std::move(on_closed);
}

void HttpExchange::OnClientLeft() {
  std::function<void()> on_closed;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (closed_) return;
    closed_ = true;
    on_closed = std::move(on_closed_);
    on_closed_ = nullptr;
  }
  if (on_closed) on_closed();
}

HttpServer::HttpServer(Handler handler)
    : loop_(std::make_shared<boost::asio::io_context>(1)), handler_(std::move(handler)) {}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::Start(const HttpServerOptions& options, Handler handler) {
  std::unique_ptr<HttpServer> server(new HttpServer(std::move(handler)));
  http::ServerLimits limits;
  limits.parser.body_bytes = options.max_body_bytes;
  limits.idle_timeout = std::chrono::seconds(options.idle_timeout_seconds);
  limits.head_timeout = std::chrono::seconds(options.idle_timeout_seconds);
  limits.rejection_body = options.rejection_body;
  const std::string address = options.address + ":" + std::to_string(options.port);
  auto listening = http::Server::Listen(
      *server->loop_, address, limits,
      [raw = server.get()](const std::shared_ptr<http::Exchange>& exchange) { raw->Handle(exchange); });
  if (!listening.ok()) return listening.status();
  server->server_ = std::move(*listening);
  server->port_ = server->server_->port();
  server->thread_ = std::thread([loop = server->loop_] { loop->run(); });
  return server;
}

void HttpServer::Handle(const std::shared_ptr<http::Exchange>& raw) {
  const auto exchange = std::make_shared<HttpExchange>(loop_, raw);
  raw->on_client_left = [exchange] { exchange->OnClientLeft(); };
  handler_(exchange);
}

HttpServer::~HttpServer() {
  loop_->stop();
  if (thread_.joinable()) thread_.join();
}

}  // namespace saltquay
