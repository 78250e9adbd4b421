// HTTP/1.1 message heads as typed values, shared by server, client and
// gateway. Field names compare without regard to case; order and repetition
// of fields are kept as received.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace saltquay::http {

struct Field {
  std::string name;
  std::string value;
};

// Returns whether both names are equal without regard to ASCII case.
bool SameName(std::string_view first, std::string_view second);

class Fields {
 public:
  // Returns the first value of the field, or nothing.
  std::optional<std::string_view> Find(std::string_view name) const;
  bool Has(std::string_view name) const { return Find(name).has_value(); }
  // Returns whether any field of that name lists `token` between commas.
  bool HasToken(std::string_view name, std::string_view token) const;

  void Add(std::string name, std::string value) { fields_.push_back({std::move(name), std::move(value)}); }
  void Remove(std::string_view name);

  const std::vector<Field>& all() const { return fields_; }

 private:
  std::vector<Field> fields_;
};

struct RequestHead {
  std::string method;
  std::string target;  // Path and query, byte for byte as received.
  Fields fields;
  bool keep_alive = true;
  bool accepts_chunks = true;  // Not a client of HTTP/1.0.
};

struct ResponseHead {
  int status = 0;
  std::string reason;
  Fields fields;
  bool keep_alive = true;
  bool until_close = false;  // The body ends with the connection.
};

// Removes the fields that concern one connection only (RFC 9110, 7.6.1), and
// those that `Connection` names.
void RemoveConnectionFields(Fields& fields);

// Returns the standard reason phrase of `status`, or "Status".
std::string_view ReasonPhrase(int status);

// Serialises a request with the body's length. A body-less GET has none.
std::string SerializeRequest(const RequestHead& head, std::string_view body);

// kConnectionEnd: the body ends with the connection.
enum class Framing { kLength, kChunked, kConnectionEnd };
// Serialises an answer's head. `length` counts only for kLength.
std::string SerializeResponseHead(const ResponseHead& head, Framing framing, std::size_t length);

// Splits "path?query" and returns the path.
std::string_view PathOf(std::string_view target);

}  // namespace saltquay::http
