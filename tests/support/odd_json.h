// Odd JSON texts, for tests of everything that reads what another writer wrote.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace saltquay::testing {

// A text and what is odd about it.
struct OddText {
  std::string name;
  std::string text;
};

// Names of an object's members and the texts of their values.
using Members = std::vector<std::pair<std::string, std::string>>;

inline std::string Repeat(const std::string& text, std::size_t count) {
  std::string repeated;
  repeated.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) repeated += text;
  return repeated;
}

inline std::string DeepArray(std::size_t levels) { return std::string(levels, '[') + "1" + std::string(levels, ']'); }

inline std::string DeepObject(std::size_t levels) {
  return Repeat(R"({"a":)", levels) + "1" + std::string(levels, '}');
}

inline std::vector<OddText> OddNumbers() {
  return {{"zero", "0"},
          {"negative", "-1"},
          {"fraction", "0.5"},
          {"negative_zero", "-0.0"},
          {"large_fraction", "1e300"},
          {"number_out_of_range", "1e400"},
          {"int64_min", "-9223372036854775808"},
          {"int64_max", "9223372036854775807"},
          {"int64_max_plus_1", "9223372036854775808"},
          {"uint64_max", "18446744073709551615"},
          {"two_to_the_70", "1180591620717411303424"},
          {"long_number", std::string(5000, '9')}};
}

inline std::vector<OddText> OddStrings() {
  constexpr std::size_t kMegabyte = 1024 * 1024;
  return {{"empty_string", R"("")"},
          {"string", R"("text")"},
          {"number_in_a_string", R"("7")"},
          {"escaped_nul", R"("\u0000")"},
          {"line_ends", R"("a\r\nX: y\r\n\r\n")"},
          {"quote_and_backslash", R"("\"\\")"},
          {"lone_high_surrogate", R"("\ud800")"},
          {"lone_low_surrogate", R"("\udc00")"},
          {"invalid_utf8", "\"\xff\xfe\""},
          {"overlong_utf8", "\"\xc0\xaf\""},
          {"nul", std::string("\"\0\"", 3)},
          {"string_of_1_mb", '"' + std::string(kMegabyte, 'x') + '"'}};
}

inline std::vector<OddText> OddContainers() {
  return {{"empty_array", "[]"},
          {"array_of_null", "[null]"},
          {"array_of_numbers", "[1,2,3]"},
          {"array_of_objects", "[{},{}]"},
          {"huge_array", "[" + Repeat("0,", 200'000) + "0]"},
          {"huge_array_of_objects", "[" + Repeat("{},", 100'000) + "{}]"},
          {"empty_object", "{}"},
          {"object", R"({"a":1})"},
          {"empty_name", R"({"":""})"}};
}

inline std::vector<OddText> DeepValues() {
  std::vector<OddText> values = {{"open_arrays", std::string(100'000, '[')}};
  for (const std::size_t levels : {65, 5'000, 100'000, 1'000'000}) {
    values.push_back({"array_of_depth_" + std::to_string(levels), DeepArray(levels)});
    values.push_back({"object_of_depth_" + std::to_string(levels), DeepObject(levels)});
  }
  return values;
}

// Values for a member: of every type, too deep, too large, or not JSON at all.
inline std::vector<OddText> OddValues() {
  std::vector<OddText> values = {{"null", "null"}, {"true", "true"}, {"nothing", ""}, {"word", "nan"}};
  for (const auto& more : {OddNumbers(), OddStrings(), OddContainers(), DeepValues()}) {
    values.insert(values.end(), more.begin(), more.end());
  }
  return values;
}

inline std::string ObjectOf(const Members& members) {
  std::string text;
  for (const auto& [name, value] : members) text += (text.empty() ? "" : ",") + ('"' + name + "\":" + value);
  return "{" + text + "}";
}

// The object with `value` for each member in turn, as a second value of each member, and beside them.
inline std::vector<std::string> ObjectsWith(const Members& members, const std::string& value) {
  std::vector<std::string> texts = {value};
  for (std::size_t i = 0; i < members.size(); ++i) {
    Members changed = members;
    changed[i].second = value;
    texts.push_back(ObjectOf(changed));
    changed.push_back(members[i]);
    texts.push_back(ObjectOf(changed));
  }
  Members added = members;
  added.emplace_back("unknown", value);
  texts.push_back(ObjectOf(added));
  return texts;
}

// The object without each member in turn, and cut off after each byte.
inline std::vector<std::string> IncompleteObjects(const Members& members) {
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < members.size(); ++i) {
    Members changed = members;
    changed.erase(changed.begin() + static_cast<std::ptrdiff_t>(i));
    texts.push_back(ObjectOf(changed));
  }
  const std::string whole = ObjectOf(members);
  for (std::size_t size = 0; size < whole.size(); ++size) texts.push_back(whole.substr(0, size));
  return texts;
}

}  // namespace saltquay::testing
