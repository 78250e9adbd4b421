#include "src/http/message.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace saltquay::http {
namespace {

constexpr int kNoContent = 204;

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

template <typename Visitor>
void ForEachToken(std::string_view list, Visitor visit) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    visit(Trim(list.substr(0, comma)));
    if (comma == std::string_view::npos) return;
    list.remove_prefix(comma + 1);
  }
}

void AppendFields(std::string& text, const Fields& fields) {
  for (const Field& field : fields.all()) {
    text += field.name;
    text += ": ";
    text += field.value;
    text += "\r\n";
  }
}

}  // namespace

bool SameName(std::string_view first, std::string_view second) {
  if (first.size() != second.size()) return false;
  return std::equal(first.begin(), first.end(), second.begin(),
                    [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::optional<std::string_view> Fields::Find(std::string_view name) const {
  for (const Field& field : fields_) {
    if (SameName(field.name, name)) return field.value;
  }
  return std::nullopt;
}

bool Fields::HasToken(std::string_view name, std::string_view token) const {
  bool found = false;
  for (const Field& field : fields_) {
    if (!SameName(field.name, name)) continue;
    ForEachToken(field.value, [&](std::string_view item) { found = found || SameName(item, token); });
  }
  return found;
}

void Fields::Remove(std::string_view name) {
  std::erase_if(fields_, [&](const Field& field) { return SameName(field.name, name); });
}

void RemoveConnectionFields(Fields& fields) {
  std::vector<std::string> named;
  for (const Field& field : fields.all()) {
    if (!SameName(field.name, "Connection")) continue;
    ForEachToken(field.value, [&](std::string_view item) { named.emplace_back(item); });
  }
  // Framing fields named here by mistake are rewritten anyway.
  for (const std::string& name : named) fields.Remove(name);
  for (const std::string_view name :
       {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
        "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}) {
    fields.Remove(name);
  }
}

std::string_view ReasonPhrase(int status) {
  struct Phrase {
    int status;
    std::string_view text;
  };
  static constexpr std::array<Phrase, 12> kPhrases = {{{200, "OK"},
                                                       {400, "Bad Request"},
                                                       {404, "Not Found"},
                                                       {405, "Method Not Allowed"},
                                                       {408, "Request Timeout"},
                                                       {413, "Content Too Large"},
                                                       {429, "Too Many Requests"},
                                                       {431, "Request Header Fields Too Large"},
                                                       {500, "Internal Server Error"},
                                                       {502, "Bad Gateway"},
                                                       {503, "Service Unavailable"},
                                                       {504, "Gateway Timeout"}}};
  for (const Phrase& phrase : kPhrases) {
    if (phrase.status == status) return phrase.text;
  }
  return "Status";
}

std::string SerializeRequest(const RequestHead& head, std::string_view body) {
  std::string text;
  text.reserve(512 + body.size());
  text += head.method + " " + head.target + " HTTP/1.1\r\n";
  AppendFields(text, head.fields);
  const bool needs_length = !body.empty() || (head.method != "GET" && head.method != "HEAD");
  if (needs_length) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n";
  text += body;
  return text;
}

std::string SerializeResponseHead(const ResponseHead& head, Framing framing, std::size_t length) {
  const std::string_view reason = head.reason.empty() ? ReasonPhrase(head.status) : std::string_view{head.reason};
  std::string text = "HTTP/1.1 ";
  text += std::to_string(head.status);
  text += ' ';
  text += reason;
  text += "\r\n";
  AppendFields(text, head.fields);
  const bool has_body = head.status != kNoContent;
  if (has_body && framing == Framing::kLength) {
    text += "Content-Length: " + std::to_string(length) + "\r\n";
  } else if (has_body && framing == Framing::kChunked) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  if (!head.keep_alive) text += "Connection: close\r\n";
  text += "\r\n";
  return text;
}

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

}  // namespace saltquay::http
