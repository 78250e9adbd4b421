// The store's responses with any entries and any bytes, at random.
#include <gtest/gtest.h>

#include <fmt/format.h>
#include <rapidcheck/gtest.h>

#include "absl/strings/str_join.h"
#include "platform/records.h"
#include "platform/store_response.h"

namespace saltquay::platform {
namespace {

constexpr std::string_view kRecord = R"({"service":"s","address":"1.2.3.4:5","slots":4,"state":"ready"})";

std::string Entry(std::string_view name, std::string_view spec = kRecord, std::string_view revision = "5") {
  return fmt::format(R"({{"metadata":{{"name":"{}","revision":{}}},"spec":{},"status":null}})", name, revision, spec);
}
std::string ListOf(const std::vector<std::string>& entries) {
  return R"({"items":[)" + absl::StrJoin(entries, ",") + R"(],"more":false,"at":10})";
}

// Returns JSON of any form, nested up to `levels` deep; its numbers, names and strings are odd.
rc::Gen<std::string> AnyJson(int levels) {
  auto scalar = rc::gen::element<std::string>(
      "null", "true", "false", "0", "-1", "1.5", "1e400", "-1e400", "1180591620717411303424", "5", R"("")", R"("odd")",
      R"("\ud800")", R"("\\\"}],{[")", "\"\xff\"", R"("\u0000")", "NaN", "Infinity", "[]", "{}");
  if (levels == 0) return scalar;
  const auto member = rc::gen::element<std::string>("metadata", "name", "revision", "spec", "status", "gone", "object",
                                                    "", "\\ud800", "items", "at");
  const auto children = rc::gen::resize(4, rc::gen::container<std::vector<std::string>>(AnyJson(levels - 1)));
  const auto array = rc::gen::map(
      children, [](const std::vector<std::string>& values) { return "[" + absl::StrJoin(values, ",") + "]"; });
  const auto object = rc::gen::mapcat(children, [member](const std::vector<std::string>& values) {
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(values.size(), member),
                        [values](const std::vector<std::string>& names) {
                          std::string text = "{";
                          for (std::size_t i = 0; i < values.size(); ++i) {
                            text += fmt::format(R"({}"{}": {})", i > 0 ? "," : "", names[i], values[i]);
                          }
                          return text + "}";
                        });
  });
  return rc::gen::oneOf(scalar, array, object, object);
}

// Whatever an entry is, the entries beside it are read.
RC_GTEST_PROP(StoreResponseProperty, AnyEntryLeavesItsNeighboursUnaffected, ()) {
  const std::string entry = *AnyJson(4);
  const auto page = DecodeListPage(ListOf({Entry("first"), entry, Entry("last")}));
  RC_ASSERT(page.ok());
  RC_ASSERT(page->items.size() == 3U);
  RC_ASSERT(page->items[0].name == "first" && ParseEngine(page->items[0]).ok());
  RC_ASSERT(page->items[2].name == "last" && ParseEngine(page->items[2]).ok());
  (void)ParseEngine(page->items[1]);
  const auto events = DecodeEvents(R"({"events":[)" + entry + R"(,{"object":)" + Entry("last") + R"(}],"at":1})");
  RC_ASSERT(events.ok());
  RC_ASSERT(events->events.size() == 2U);
  RC_ASSERT(ParseEngine(events->events[1].object).ok());
  (void)DecodeObject(entry);
}

// Whatever a response is, reading it does no harm; the address sanitizer checks the accesses.
RC_GTEST_PROP(StoreResponseProperty, AnyBytesAreReadOrRefused, ()) {
  std::string body = ListOf({Entry("first"), *AnyJson(3), Entry("last")});
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes && !body.empty(); ++i) {
    const auto position = *rc::gen::inRange<std::size_t>(0, body.size());
    const auto length = *rc::gen::inRange<std::size_t>(0, 20);
    body.replace(position, std::min(length, body.size() - position),
                 *rc::gen::element<std::string>("", "[", "]", "{", "}", ",", ":", "\"", "\\", " ", "x", "\xff",
                                                "\"items\":", std::string(1, '\0'), "[[[[", "}}}}", "1e400"));
  }
  if (const auto page = DecodeListPage(body); page.ok()) {
    for (const gateway::StoredObject& object : page->items) {
      (void)ParseEngine(object);
      (void)ParseConfig(object);
    }
  }
  (void)DecodeEvents(body);
  (void)DecodeObject(body);
}

}  // namespace
}  // namespace saltquay::platform
