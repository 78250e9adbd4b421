// Lists of several pages: whatever the names on them are, a list ends, and is complete or an error.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "tests/support/store_client_fixture.h"

namespace saltquay::platform {
namespace {

using saltquay::testing::Answering;
using saltquay::testing::ScriptedServer;

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escaped = text[i] == '%' && i + 2 < text.size();
    decoded += escaped ? static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)) : text[i];
    if (escaped) i += 2;
  }
  return decoded;
}

// Returns UTF-8 of raw bytes in a request's target, as servers that take them for Latin-1 see them.
std::string DecodeLatin1(std::string_view text) {
  std::string decoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < 0x80) {
      decoded += character;
    } else {
      decoded += static_cast<char>(0xC0 | (byte >> 6));
      decoded += static_cast<char>(0x80 | (byte & 0x3F));
    }
  }
  return decoded;
}

// A store of names with pages of `page_size` of them.
class PagedStore {
 public:
  explicit PagedStore(std::size_t page_size) : page_size_(page_size) {}

  // `form`: the name as JSON; by default a string.
  void Add(const std::string& name, const std::string& form = "") {
    entries_[name] = form.empty() ? '"' + name + '"' : form;
  }
  std::string Answer(const std::string& target) {
    ++calls_;
    const std::size_t query = target.find("?after=");
    std::string after = query == std::string::npos ? "" : target.substr(query + 7);
    if (after.size() > longest_after_) longest_after_ = after.size();
    last_after_ = after;
    after = decodes ? DecodePercent(DecodeLatin1(after)) : DecodeLatin1(after);
    std::string items;
    std::size_t count = 0;
    auto entry = query == std::string::npos || ignores_after ? entries_.begin() : entries_.upper_bound(after);
    for (; entry != entries_.end() && count < page_size_; ++entry, ++count) {
      items += fmt::format(R"({}{{"metadata":{{"name":{},"revision":5}},"spec":{{}}}})", count > 0 ? "," : "",
                           entry->second);
    }
    return fmt::format(R"({{"items":[{}],"more":{},"at":{}}})", items, entry != entries_.end(), 100 + calls_);
  }

  bool decodes = true;         // Whether it decodes escapes in `after`.
  bool ignores_after = false;  // Whether every page is the first one.
  int calls() const { return calls_; }
  std::size_t longest_after() const { return longest_after_; }
  const std::string& last_after() const { return last_after_; }  // As sent.

 private:
  std::size_t page_size_;
  std::map<std::string, std::string> entries_;
  int calls_ = 0;
  std::size_t longest_after_ = 0;
  std::string last_after_;
};

class StoreListTest : public saltquay::testing::StoreClientFixture {
 protected:
  // Returns the names in a list of the store's objects, sorted.
  absl::StatusOr<std::vector<std::string>> TryNames(PagedStore& store) {
    ScriptedServer server({Answering([&](const std::string& target) { return store.Answer(target); })});
    const auto list = List(server.address());
    if (!list.ok()) return list.status();
    EXPECT_EQ(list->at, 101) << "a watch from a later revision would miss changes made while the pages were read";
    std::vector<std::string> names;
    for (const gateway::StoredObject& object : list->items) names.push_back(object.name);
    std::sort(names.begin(), names.end());
    return names;
  }
  std::vector<std::string> Names(PagedStore& store) {
    const auto names = TryNames(store);
    EXPECT_TRUE(names.ok()) << names.status();
    return names.ok() ? *names : std::vector<std::string>();
  }
};

const std::vector<std::string> kOddNames = {
    "a\xC4\x9F-yedek", "b&more=1", "c d", "d%20", "e+e", "f/../g", "g#h", "h?i=j", "i\xF0\x9F\x98\x80"};

// Guards against a list that never ends, or misses entries, because of a name at the end of a page.
TEST_F(StoreListTest, OddNamesAtPageBorders) {
  for (const bool decodes : {true, false}) {
    for (const std::size_t page_size : {1, 2, 3, 5}) {
      for (const std::string& odd : kOddNames) {
        PagedStore store(page_size);
        store.decodes = decodes;
        std::vector<std::string> names = {"a", "aa", "b", "c", "d", "e", "f", "g", "h", "i", "z"};
        names.push_back(odd);
        for (const std::string& name : names) store.Add(name);
        std::sort(names.begin(), names.end());
        const auto listed = TryNames(store);
        EXPECT_LE(store.calls(), 25);
        // One entry a page leaves no other name to continue from: a store that does not decode it cannot be told it.
        if (!decodes && page_size == 1 && absl::IsUnavailable(listed.status())) continue;
        ASSERT_TRUE(listed.ok()) << listed.status();
        EXPECT_EQ(*listed, names) << odd << ", pages of " << page_size << (decodes ? "" : ", not decoding");
      }
    }
  }
}

TEST_F(StoreListTest, NothingButOddNames) {
  for (const std::size_t page_size : {1, 2, 4}) {
    PagedStore store(page_size);
    std::vector<std::string> names = kOddNames;
    for (const std::string& name : names) store.Add(name);
    std::sort(names.begin(), names.end());
    EXPECT_EQ(Names(store), names);
  }
}

// Guards against a list that ends, or never ends, at an entry whose name can't be read.
TEST_F(StoreListTest, UnreadableNamesAtPageBorders) {
  for (const char* const form : {"null", "7", "1e400", "[]", "{\"a\":1}", "\"\""}) {
    for (const std::size_t page_size : {2, 3, 4}) {
      PagedStore store(page_size);
      for (const char* name : {"a", "b", "c", "d", "e", "f"}) store.Add(name);
      store.Add("b-odd", form);
      std::vector<std::string> names = Names(store);
      std::erase(names, "");
      EXPECT_EQ(names, (std::vector<std::string>{"a", "b", "c", "d", "e", "f"})) << form << ", pages of " << page_size;
      EXPECT_LE(store.calls(), 12);
    }
  }
}

// An entry may be so large that it is alone on a page which starts at its predecessor.
TEST_F(StoreListTest, GoesOnAfterALargeEntryWithAnOddName) {
  const auto page = [](const std::vector<std::string>& names, bool more) {
    std::string items;
    for (const std::string& name : names) {
      items +=
          fmt::format(R"({}{{"metadata":{{"name":"{}","revision":5}},"spec":{{}}}})", items.empty() ? "" : ",", name);
    }
    return fmt::format(R"({{"items":[{}],"more":{},"at":9}})", items, more);
  };
  std::vector<std::string> targets;
  ScriptedServer server({Answering([&](const std::string& target) {
    targets.push_back(target);
    if (target == "/objects/servers") return page({"a", "b\xC4\x9F"}, true);
    return target == "/objects/servers?after=a" ? page({"b\xC4\x9F"}, true) : page({"c"}, false);
  })});
  const auto list = List(server.address());
  ASSERT_TRUE(list.ok()) << list.status();
  EXPECT_EQ(list->items.size(), 3U);
  EXPECT_EQ(targets.back(), "/objects/servers?after=b%C4%9F");
}

// Guards against a request's target as long as another writer's name.
TEST_F(StoreListTest, LongNamesAtPageBorders) {
  PagedStore store(2);
  const std::string long_name = "b" + std::string(100'000, 'x');
  for (const std::string& name : {std::string("a"), long_name, std::string("c"), std::string("d")}) store.Add(name);
  EXPECT_EQ(Names(store), (std::vector<std::string>{"a", long_name, "c", "d"}));
  EXPECT_LT(store.longest_after(), 4096U);
}

// Returns a name that begins with `start` and has at least `bytes` bytes.
std::string LongName(std::string start, std::string_view filler, std::size_t bytes) {
  while (start.size() < bytes) start += filler;
  return start;
}

// Guards against pages full of names that are too long to continue after: all engines after them were gone.
TEST_F(StoreListTest, NothingButLongNamesOnAPage) {
  constexpr std::string_view kTwoBytes = "\xC4\x9F";
  constexpr std::string_view kLast = "%F4%8F%BF%BF";
  for (const std::string_view filler : {std::string_view("x"), kTwoBytes}) {
    for (const std::string start : {"m", "mm"}) {
      for (const bool same_start : {false, true}) {
        PagedStore store(500);
        for (int i = 0; i < 500; ++i) {
          const std::string number = std::to_string(1000 + i);
          const std::size_t bytes = filler == kTwoBytes ? 800 : 3000;
          store.Add(same_start ? LongName(start, filler, bytes) + number : LongName(start + number, filler, bytes));
        }
        store.Add("z-engine");
        const std::vector<std::string> names = Names(store);
        EXPECT_EQ(names.size(), 501U);
        EXPECT_EQ(std::count(names.begin(), names.end(), "z-engine"), 1);
        EXPECT_EQ(store.calls(), 2);
        EXPECT_LT(store.longest_after(), 2048U);
        // The cut name ends with a whole character.
        EXPECT_TRUE(store.last_after().ends_with((filler == kTwoBytes ? "%C4%9F" : "x") + std::string(kLast)));
      }
    }
  }
}

// An engine's id may be as long as the part of a long name that is kept.
TEST_F(StoreListTest, LongNamesHideNoValidId) {
  PagedStore store(1);
  const std::string longest_id = LongName("m", "x", 256);
  std::vector<std::string> names = {"a",
                                    longest_id,
                                    longest_id.substr(0, 255) + "y",
                                    longest_id.substr(0, 255) + "~",
                                    "z",
                                    longest_id + std::string(3000, 'x')};
  for (const std::string& name : names) store.Add(name);
  std::sort(names.begin(), names.end());
  EXPECT_EQ(Names(store), names);
}

// Guards against a list that ends as if it were complete where no name tells how to go on: the entries after it were
// taken for removed.
TEST_F(StoreListTest, NothingButUnreadableNamesOnAPageIsAnError) {
  for (const char* const form : {"null", "7", "[]", "\"\""}) {
    for (const bool at_start : {true, false}) {
      PagedStore store(2);
      if (!at_start) store.Add("a");
      for (const char* name : {"b", "c", "d", "e"}) store.Add(name, form);
      store.Add("z-engine");
      const auto names = TryNames(store);
      EXPECT_TRUE(absl::IsUnavailable(names.status())) << form << ": " << names.status();
      EXPECT_NE(names.status().message().find("the list cannot be continued after"), std::string::npos);
      EXPECT_LE(store.calls(), 2);
    }
  }
}

// Guards against a list that never ends because the store sends the same page again, and against one that ends short.
TEST_F(StoreListTest, SamePageAgainIsAnError) {
  for (const std::string last : {"c", "c\xC4\x9F"}) {
    PagedStore store(3);
    store.ignores_after = true;
    for (const std::string& name : {std::string("a"), std::string("b"), last, std::string("d")}) store.Add(name);
    const auto names = TryNames(store);
    EXPECT_TRUE(absl::IsUnavailable(names.status())) << names.status();
    EXPECT_NE(names.status().message().find("the list cannot be continued after"), std::string::npos);
    EXPECT_LE(store.calls(), 4);
  }
}

// A page may repeat entries that changed meanwhile.
TEST_F(StoreListTest, LatestRevisionOfARepeatedEntryCounts) {
  const std::string first =
      R"({"items":[{"metadata":{"name":"a","revision":5},"spec":1},{"metadata":{"name":"b","revision":6},"spec":1}],"more":true,"at":9})";
  const std::string second =
      R"({"items":[{"metadata":{"name":"b","revision":11},"spec":2},{"metadata":{"name":"c","revision":7},"spec":1}],"at":12})";
  ScriptedServer server({Answering(
      [&](const std::string& target) { return target.find("after") == std::string::npos ? first : second; })});
  const auto list = List(server.address());
  ASSERT_TRUE(list.ok()) << list.status();
  ASSERT_EQ(list->items.size(), 3U);
  EXPECT_EQ(list->items[1].revision, 11);
  EXPECT_EQ(list->items[1].content, "2");
  EXPECT_EQ(list->at, 9);
}

// Guards against a name that reads another object than the named one.
TEST_F(StoreListTest, ReadsTheNamedObject) {
  std::string asked;
  ScriptedServer server({Answering([&](const std::string& target) {
    asked = target;
    return std::string(R"({"metadata":{"name":"x","revision":5},"spec":{}})");
  })});
  for (const std::string& name : kOddNames) {
    EXPECT_TRUE(Read(server.address(), name).ok()) << name;
    EXPECT_EQ(asked.find_first_of("?# "), std::string::npos) << asked;
    EXPECT_EQ(DecodePercent(asked), "/objects/servers/" + name);
    EXPECT_EQ(std::count(asked.begin(), asked.end(), '/'), 3) << asked;
  }
  EXPECT_TRUE(Read(server.address(), "s1-2.a_b~c").ok());
  EXPECT_EQ(asked, "/objects/servers/s1-2.a_b~c");
}

}  // namespace
}  // namespace saltquay::platform
