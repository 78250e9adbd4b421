#include "src/base/config_reader.h"

#include <algorithm>
#include <sstream>

#include <fmt/format.h>
#include <toml++/toml.h>

namespace saltquay {

struct ConfigDocument {
  toml::table root;
  std::string source;
  ErrorKind kind;
  absl::Status first_error;
};

namespace {

const toml::table* AsTable(const void* table) { return static_cast<const toml::table*>(table); }
const toml::node* AsNode(const void* node) { return static_cast<const toml::node*>(node); }

}  // namespace

absl::StatusOr<ConfigReader> ConfigReader::Parse(const std::string& text, const std::string& source, ErrorKind kind) {
  auto document = std::make_shared<ConfigDocument>();
  document->source = source;
  document->kind = kind;
  try {
    document->root = toml::parse(text, source);
  } catch (const toml::parse_error& error) {
    return MakeError(kind, fmt::format("{}:{}: {}; correct the TOML syntax there", source, error.source().begin.line,
                                       error.description()));
  }
  ConfigReader reader(document);
  reader.table_ = &document->root;
  return reader;
}

const void* ConfigReader::Lookup(std::string_view key) {
  read_keys_.emplace_back(key);
  if (table_ == nullptr) return nullptr;
  return AsTable(table_)->get(key);
}

bool ConfigReader::Has(std::string_view key) const { return table_ != nullptr && AsTable(table_)->get(key) != nullptr; }

void ConfigReader::Fail(std::string_view key, const std::string& problem, const std::string& remedy) {
  if (!document_->first_error.ok()) return;
  unsigned line = 0;
  if (table_ != nullptr) {
    const toml::node* node = AsTable(table_)->get(key);
    line = node != nullptr ? node->source().begin.line : AsTable(table_)->source().begin.line;
  }
  document_->first_error = MakeError(
      document_->kind, fmt::format("{}:{}: key '{}{}' {}; {}", document_->source, line, path_, key, problem, remedy));
}

void ConfigReader::FailMissing(std::string_view key) { Fail(key, "is missing", "add it"); }

std::string ConfigReader::String(std::string_view key, const std::optional<std::string>& fallback) {
  const toml::node* node = AsNode(Lookup(key));
  if (node == nullptr) {
    if (!fallback.has_value()) FailMissing(key);
    return fallback.value_or("");
  }
  const toml::value<std::string>* value = node->as_string();
  if (value == nullptr) {
    Fail(key, "is not a string", "write it in quotation marks");
    return fallback.value_or("");
  }
  return value->get();
}

std::int64_t ConfigReader::Integer(std::string_view key, std::int64_t minimum, std::int64_t maximum,
                                   std::optional<std::int64_t> fallback) {
  const toml::node* node = AsNode(Lookup(key));
  if (node == nullptr) {
    if (!fallback.has_value()) FailMissing(key);
    return fallback.value_or(minimum);
  }
  const toml::value<std::int64_t>* value = node->as_integer();
  if (value == nullptr) {
    Fail(key, "is not an integer", fmt::format("write a whole number from {} to {}", minimum, maximum));
    return fallback.value_or(minimum);
  }
  if (value->get() < minimum || value->get() > maximum) {
    Fail(key, fmt::format("is {}, out of range", value->get()), fmt::format("set it from {} to {}", minimum, maximum));
  }
  return std::clamp(value->get(), minimum, maximum);
}

double ConfigReader::Number(std::string_view key, double minimum, double maximum, std::optional<double> fallback) {
  const toml::node* node = AsNode(Lookup(key));
  if (node == nullptr) {
    if (!fallback.has_value()) FailMissing(key);
    return fallback.value_or(minimum);
  }
  const std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
  if (!value.has_value()) {
    Fail(key, "is not a number", fmt::format("write a number from {} to {}", minimum, maximum));
    return fallback.value_or(minimum);
  }
  if (!(*value >= minimum && *value <= maximum)) {
    Fail(key, fmt::format("is {}, out of range", *value), fmt::format("set it from {} to {}", minimum, maximum));
    return fallback.value_or(minimum);
  }
  return *value;
}

bool ConfigReader::Boolean(std::string_view key, bool fallback) {
  const toml::node* node = AsNode(Lookup(key));
  if (node == nullptr) return fallback;
  const toml::value<bool>* value = node->as_boolean();
  if (value == nullptr) {
    Fail(key, "is not a boolean", "write true or false");
    return fallback;
  }
  return value->get();
}

std::vector<std::string> ConfigReader::Strings(std::string_view key) {
  std::vector<std::string> strings;
  const toml::node* node = AsNode(Lookup(key));
  if (node == nullptr) return strings;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    Fail(key, "is not a list", "write it as [\"one\", \"two\"]");
    return strings;
  }
  for (const toml::node& element : *array) {
    const std::optional<std::string> value = element.value<std::string>();
    if (!element.is_string() || !value.has_value()) {
      Fail(key, "holds something that is not a string", "write each element in quotation marks");
      return strings;
    }
    strings.push_back(*value);
  }
  return strings;
}

std::vector<std::int64_t> ConfigReader::Integers(std::string_view key, std::int64_t minimum, std::int64_t maximum) {
  std::vector<std::int64_t> integers;
  const toml::node* node = AsNode(Lookup(key));
  if (node == nullptr) return integers;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    Fail(key, "is not a list", "write it as [1, 2]");
    return integers;
  }
  for (const toml::node& element : *array) {
    const toml::value<std::int64_t>* value = element.as_integer();
    if (value == nullptr || value->get() < minimum || value->get() > maximum) {
      Fail(key, "holds something out of range", fmt::format("use whole numbers from {} to {}", minimum, maximum));
      return integers;
    }
    integers.push_back(value->get());
  }
  return integers;
}

ConfigReader ConfigReader::Table(std::string_view key) {
  ConfigReader reader(document_);
  reader.path_ = fmt::format("{}{}.", path_, key);
  const toml::node* node = AsNode(Lookup(key));
  if (node == nullptr) return reader;
  if (!node->is_table()) {
    Fail(key, "is not a table", fmt::format("write it as [{}{}]", path_, key));
    return reader;
  }
  reader.table_ = node->as_table();
  return reader;
}

std::vector<ConfigReader> ConfigReader::Tables(std::string_view key) {
  std::vector<ConfigReader> readers;
  const toml::node* node = AsNode(Lookup(key));
  if (node == nullptr) return readers;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    Fail(key, "is not an array of tables", fmt::format("write each as [[{}{}]]", path_, key));
    return readers;
  }
  for (const toml::node& element : *array) {
    if (!element.is_table()) {
      Fail(key, "holds something that is not a table", fmt::format("write each as [[{}{}]]", path_, key));
      return readers;
    }
    ConfigReader reader(document_);
    reader.path_ = fmt::format("{}{}.", path_, key);
    reader.table_ = element.as_table();
    readers.push_back(reader);
  }
  return readers;
}

void ConfigReader::RejectUnreadKeys() {
  if (table_ == nullptr) return;
  for (const auto& [key, node] : *AsTable(table_)) {
    const std::string name(key.str());
    if (std::find(read_keys_.begin(), read_keys_.end(), name) == read_keys_.end()) {
      Fail(name, "is unknown", "remove it or correct its spelling");
    }
  }
}

absl::Status ConfigReader::status() const { return document_->first_error; }

}  // namespace saltquay
