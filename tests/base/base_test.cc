// Errors, configuration reading, and the event catalogue with its page.
#include <fstream>
#include <set>
#include <sstream>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "src/base/config_reader.h"
#include "src/base/event_catalogue.h"
#include "src/base/log_stream.h"
#include "src/base/logger.h"
#include "src/base/status.h"

namespace saltquay {
namespace {

TEST(StatusTest, KindAndMessageSurvive) {
  const absl::Status status = MakeError(ErrorKind::kConflict, "another won; look again");
  EXPECT_EQ(KindOf(status), ErrorKind::kConflict);
  EXPECT_EQ(MessageOf(status), "another won; look again");
  EXPECT_EQ(ErrorKindName(ErrorKind::kTenantLimit), "tenant_limit");
  EXPECT_EQ(KindOf(absl::InternalError("plain")), ErrorKind::kInternal);
}

TEST(ConfigReaderTest, ReadsTypedValuesAndDefaults) {
  ConfigReader root =
      *ConfigReader::Parse("a = 3\nb = 2.5\nc = true\n[t]\nd = \"x\"\n", "f", ErrorKind::kInvalidSetting);
  EXPECT_EQ(root.Integer("a", 0, 9, std::nullopt), 3);
  EXPECT_EQ(root.Number("b", 0, 9, std::nullopt), 2.5);
  EXPECT_TRUE(root.Boolean("c", false));
  ConfigReader table = root.Table("t");
  EXPECT_EQ(table.String("d", std::nullopt), "x");
  EXPECT_EQ(table.Integer("absent", 0, 9, 7), 7);
  root.RejectUnreadKeys();
  table.RejectUnreadKeys();
  EXPECT_TRUE(root.status().ok());
}

TEST(ConfigReaderTest, FirstErrorNamesFileLineKeyAndRemedy) {
  ConfigReader root = *ConfigReader::Parse("\na = 30\n", "f.toml", ErrorKind::kInvalidSetting);
  root.Integer("a", 0, 9, std::nullopt);
  const std::string message = MessageOf(root.status());
  EXPECT_EQ(message, "f.toml:2: key 'a' is 30, out of range; set it from 0 to 9");
  ConfigReader unknown = *ConfigReader::Parse("zap = 1\n", "f.toml", ErrorKind::kInvalidSetting);
  unknown.RejectUnreadKeys();
  EXPECT_NE(MessageOf(unknown.status()).find("'zap' is unknown"), std::string::npos);
}

std::string ReadBack(const std::string& escaped) {
  return nlohmann::json::parse('"' + escaped + '"').get<std::string>();
}

// Guards against log lines that name another object than the one refused: bytes of UTF-8 were escaped one by one.
TEST(EscapeJsonTest, ReadersGetTheTextBack) {
  EXPECT_EQ(EscapeJson("a\xc4\x9f-yedek-5c10"), "a\\u011f-yedek-5c10");
  EXPECT_EQ(EscapeJson("\xf0\x9f\x98\x80"), "\\ud83d\\ude00");
  for (const std::string text : {"", "plain", "a \"quote\" and \\", "line\r\n\t\x01\x1b\x7f",
                                 "\xc4\x9f\xe4\xb8\xad\xf0\x9f\x98\x80\xef\xbf\xbf"}) {
    EXPECT_EQ(ReadBack(EscapeJson(text)), text);
  }
}

TEST(EscapeJsonTest, InvalidBytesBecomeReplacementCharacters) {
  for (const std::string text :
       {"a\xff", "a\xc4", "a\xc0\x80", "a\xed\xa0\x80", "a\xf8\x88\x80\x80\x80", "a\xf4\x90\x80\x80"}) {
    const std::string escaped = EscapeJson(text);
    EXPECT_TRUE(escaped.starts_with("a\\ufffd")) << escaped;
    EXPECT_TRUE(ReadBack(escaped).starts_with("a\xef\xbf\xbd")) << escaped;
  }
}

// Guards against one name of another writer that fills the log.
TEST(EscapeJsonTest, ThePrefixIsBoundedAndWhole) {
  EXPECT_EQ(EscapeJsonPrefix("short", 8), "short");
  EXPECT_EQ(EscapeJsonPrefix("12345678", 8), "12345678");
  EXPECT_EQ(EscapeJsonPrefix("123456789", 8), "12345678...");
  EXPECT_EQ(EscapeJsonPrefix("1234567\xc4\x9f", 8), "1234567...");
  EXPECT_EQ(EscapeJsonPrefix("123\xf0\x9f\x98\x80", 6), "123...");
  EXPECT_LT(EscapeJsonPrefix(std::string(200000, '\xff'), 64).size(), 6 * 64 + 4U);
}

TEST(EventCatalogueTest, NumbersAndNamesAreUnique) {
  std::set<int> numbers;
  std::set<std::string_view> names;
  for (const EventDescription& event : EventCatalogue()) {
    EXPECT_TRUE(numbers.insert(static_cast<int>(event.id)).second);
    EXPECT_TRUE(names.insert(event.name).second);
    EXPECT_FALSE(event.meaning.empty());
    EXPECT_FALSE(event.remedy.empty());
  }
}

TEST(EventCatalogueTest, PageListsEveryEvent) {
  std::ifstream file(std::string(SALTQUAY_SOURCE_DIR) + "/docs/EVENTS.md");
  std::ostringstream text;
  text << file.rdbuf();
  for (const EventDescription& event : EventCatalogue()) {
    const std::string row =
        fmt::format("| SQ{} | {} | {} | {} |", static_cast<int>(event.id), event.name, event.meaning, event.remedy);
    EXPECT_NE(text.str().find(row), std::string::npos) << row;
  }
}

TEST(LoggerTest, BothFormatsCarryNumberAndDetails) {
  const std::string text = FormatLogLine(LogFormat::kText, "node-1", EventId::kNodeReady, "generation 3", 42);
  EXPECT_EQ(text, "42 node-1 SQ101 info node_ready: generation 3\n");
  const std::string json = FormatLogLine(LogFormat::kJson, "node-1", EventId::kNodeReady, "say \"hi\"\n", 42);
  EXPECT_NE(json.find("\"event\":101"), std::string::npos);
  EXPECT_EQ(json.find('\n'), json.size() - 1);
}

}  // namespace
}  // namespace saltquay
