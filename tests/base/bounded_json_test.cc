// Parsing of JSON that someone else wrote: the limit of depth from both sides, numbers out of range, text that is none.
#include "src/base/bounded_json.h"

#include <chrono>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "src/base/status.h"

namespace saltquay {
namespace {

std::string Repeat(std::string_view text, std::size_t times) {
  std::string repeated;
  for (std::size_t i = 0; i < times; ++i) repeated += text;
  return repeated;
}

std::string Arrays(std::size_t depth) { return Repeat("[", depth) + Repeat("]", depth); }
std::string Objects(std::size_t depth) { return Repeat(R"({"a":)", depth) + "1" + Repeat("}", depth); }

// `depth` must be even.
std::string Mixed(std::size_t depth) { return Repeat(R"([{"a":)", depth / 2) + "null" + Repeat("}]", depth / 2); }

void ExpectCorrupt(std::string_view text, const std::string& cause) {
  const auto parsed = ParseBoundedJson(text);
  ASSERT_FALSE(parsed.ok()) << text.substr(0, 100);
  EXPECT_EQ(KindOf(parsed.status()), ErrorKind::kCorrupt);
  EXPECT_NE(MessageOf(parsed.status()).find(cause), std::string::npos) << parsed.status();
  EXPECT_LT(MessageOf(parsed.status()).size(), 100U);
}

// Guards against a change of what the library's own parser yields for text within the limits.
TEST(BoundedJsonTest, YieldsWhatTheLibraryYields) {
  for (const std::string& text :
       {std::string(R"({"a":[1,-2,3.5,"x",null,true,false,{}],"b":{"c":[[],{}]},"":"\ud83d\ude00\u0000"})"),
        std::string("[]"), std::string("{}"), std::string("0"), std::string(R"("text")"), std::string("null"),
        std::string(" [ 1 , [ 2 , { \"a\" : 3 } , 4 ] , 5 ] "), std::string("18446744073709551615"),
        std::string("-9223372036854775808"), std::string("[1e300,1e-400,1180591620717411303424]"),
        std::string(R"({"a":1,"a":[2],"b":{"a":[3]},"a":{"a":4}})"), Arrays(64), Objects(64), Mixed(64)}) {
    const auto parsed = ParseBoundedJson(text);
    ASSERT_TRUE(parsed.ok()) << text << parsed.status();
    EXPECT_EQ(*parsed, nlohmann::json::parse(text)) << text;
    EXPECT_EQ(parsed->dump(), nlohmann::json::parse(text).dump());
  }
}

// Guards against text nested so deep that copying or serializing its value ends the process.
TEST(BoundedJsonTest, RefusesDepthBeyondTheLimit) {
  const std::string cause = "nested deeper than 64 levels";
  ExpectCorrupt(Arrays(65), cause);
  ExpectCorrupt(Objects(65), cause);
  ExpectCorrupt(Mixed(66), cause);
  for (const std::string& deep : {Arrays(64), Objects(64), Mixed(64)}) {
    ExpectCorrupt("[" + deep + ",1]", cause);
    ExpectCorrupt("[1,2," + deep + "]", cause);
    ExpectCorrupt(R"({"first":[],"deep":)" + deep + R"(,"last":1})", cause);
  }
  // Siblings don't add up.
  EXPECT_TRUE(ParseBoundedJson("[" + Arrays(63) + "," + Objects(63) + "," + Arrays(63) + "]").ok());
}

TEST(BoundedJsonTest, RefusesExtremeDepthAtOnce) {
  constexpr std::size_t kExtremeDepth = 1'000'000;
  const std::vector<std::string> texts = {Arrays(kExtremeDepth), Objects(kExtremeDepth), Mixed(kExtremeDepth),
                                          Repeat("[", kExtremeDepth)};
  const auto start = std::chrono::steady_clock::now();
  for (const std::string& text : texts) ExpectCorrupt(text, "nested deeper than 64 levels");
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(1));
}

TEST(BoundedJsonTest, RefusesNumbersOutOfRange) {
  for (const char* number : {"1e400", "-1e400", "1e99999999999999999999"}) {
    ExpectCorrupt(number, "a number is out of range");
    ExpectCorrupt(fmt::format(R"({{"a":[1,{}]}})", number), "a number is out of range");
  }
  ExpectCorrupt(Repeat("9", 400), "a number is out of range");
  // An integer beyond 64 bits is a number within the range of a double, but no integer.
  EXPECT_TRUE(ParseBoundedJson("1180591620717411303424")->is_number_float());
}

TEST(BoundedJsonTest, RefusesWhatIsNotJson) {
  using namespace std::string_view_literals;
  for (const std::string_view text : {""sv,
                                      " "sv,
                                      "{"sv,
                                      "[1,"sv,
                                      "[1"sv,
                                      R"({"a")"sv,
                                      R"({"a":)"sv,
                                      R"({"a":1,})"sv,
                                      R"("open)"sv,
                                      "[]]"sv,
                                      "{} x"sv,
                                      "tru"sv,
                                      "nan"sv,
                                      "-"sv,
                                      "01"sv,
                                      "{1:2}"sv,
                                      "'a'"sv,
                                      "\xff"sv,
                                      "\"\xff\""sv,
                                      "\"\xc3\""sv,
                                      "\"\xed\xa0\x80\""sv,
                                      R"("\ud800")"sv,
                                      "\0"sv,
                                      "[]\0"sv,
                                      "[]\0[]"sv,
                                      "\"a\0b\""sv,
                                      "[1,\0]"sv,
                                      "\"a\nb\""sv}) {
    ExpectCorrupt(text, "the text is not JSON at byte");
  }
}

// Guards against a log line or status as long as a token of the text.
TEST(BoundedJsonTest, MessageDoesNotRepeatTheText) {
  ExpectCorrupt("[\"" + Repeat("a", 1'000'000) + "\n\"]", "the text is not JSON at byte 1000003");
  ExpectCorrupt("[" + Repeat("1", 1'000'000) + "]", "a number is out of range");
}

TEST(JsonDepthTest, CountsNestedArraysAndObjects) {
  EXPECT_EQ(JsonDepth(""), 0U);
  EXPECT_EQ(JsonDepth("7"), 0U);
  EXPECT_EQ(JsonDepth(Arrays(1)), 1U);
  EXPECT_EQ(JsonDepth(Mixed(64)), 64U);
  EXPECT_EQ(JsonDepth(Objects(200'000)), 200'000U);
  EXPECT_EQ(JsonDepth(R"([[],[{"a":[]}],[]])"), 4U);
  EXPECT_EQ(JsonDepth(R"(["[[[\"[[{","\\",["]"]])"), 2U);
  for (const char* const text : {"]]]]", "[", "[[}}]", "\"[[", "\"\\", "\"a\\"}) EXPECT_LE(JsonDepth(text), 2U) << text;
}

}  // namespace
}  // namespace saltquay
