#include "src/base/bounded_json.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "src/base/status.h"

namespace saltquay {
namespace {

using nlohmann::json;

constexpr int kNumberOutOfRange = 406;  // Number of the library's exception.

// Builds the value from the parser's events and stops the parser where the text is too deep.
class BoundedBuilder : public nlohmann::json_sax<json> {
 public:
  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(number_integer_t value) override { return Add(value); }
  bool number_unsigned(number_unsigned_t value) override { return Add(value); }
  bool number_float(number_float_t value, const string_t& /*token*/) override { return Add(value); }
  bool string(string_t& value) override { return Add(std::move(value)); }
  bool binary(binary_t& /*value*/) override { return false; }  // Not part of JSON text.
  bool start_object(std::size_t /*size*/) override { return Open(json::object()); }
  bool key(string_t& name) override {
    member_ = &(*open_.back())[name];
    return true;
  }
  bool end_object() override { return Close(); }
  bool start_array(std::size_t /*size*/) override { return Open(json::array()); }
  bool end_array() override { return Close(); }

  bool parse_error(std::size_t position, const std::string& /*token*/, const json::exception& error) override {
    const char* const cause = error.id == kNumberOutOfRange ? "a number is out of range" : "the text is not JSON";
    error_ = fmt::format("{} at byte {}", cause, position);
    return false;
  }

  std::string& error() { return error_; }
  json& root() { return root_; }

 private:
  // Returns where the next value belongs.
  json& Place(json value) {
    if (open_.empty()) return root_ = std::move(value);
    json& parent = *open_.back();
    if (parent.is_object()) return *member_ = std::move(value);
    return parent.emplace_back(std::move(value));
  }

  bool Add(json value) {
    Place(std::move(value));
    return true;
  }

  bool Open(json container) {
    if (open_.size() == kMaxJsonDepth) {
      error_ = fmt::format("the JSON is nested deeper than {} levels", kMaxJsonDepth);
      return false;
    }
    open_.push_back(&Place(std::move(container)));
    return true;
  }

  bool Close() {
    open_.pop_back();
    return true;
  }

  json root_;
  std::vector<json*> open_;  // The containers around the next value. Only the last one grows: the others stay in place.
  json* member_ = nullptr;   // In an object: the member whose value comes next.
  std::string error_;
};

}  // namespace

absl::StatusOr<json> ParseBoundedJson(std::string_view text) {
  // The library takes a NUL byte for the end of the text.
  if (const std::size_t nul = text.find('\0'); nul != std::string_view::npos) {
    return MakeError(ErrorKind::kCorrupt, fmt::format("the text is not JSON at byte {}", nul + 1));
  }
  BoundedBuilder builder;
  if (!json::sax_parse(text, &builder)) return MakeError(ErrorKind::kCorrupt, builder.error());
  return std::move(builder.root());
}

std::size_t JsonDepth(std::string_view text) {
  std::size_t depth = 0;
  std::size_t deepest = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char character = text[i];
    if (in_string) {
      if (character == '\\') ++i;  // The next character cannot end the string.
      in_string = character != '"';
    } else if (character == '"') {
      in_string = true;
    } else if (character == '[' || character == '{') {
      deepest = std::max(deepest, ++depth);
    } else if (depth > 0 && (character == ']' || character == '}')) {
      --depth;
    }
  }
  return deepest;
}

}  // namespace saltquay
