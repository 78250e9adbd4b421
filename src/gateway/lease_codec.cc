#include "src/gateway/lease_codec.h"

#include <nlohmann/json.hpp>

#include "src/base/bounded_json.h"
#include "src/base/status.h"

namespace saltquay::gateway {
namespace {

absl::Status Invalid(const std::string& cause) {
  return MakeError(ErrorKind::kCorrupt, "the lease's record does not decode: " + cause + "; delete the object");
}

absl::Status InvalidMember(const char* name) {
  return Invalid(std::string("member '") + name + "' is missing or of another type");
}

}  // namespace

std::string EncodeLease(const serving::LeaseRecord& record) {
  return nlohmann::json{
      {"holder", record.holder}, {"address", record.address}, {"nonce", record.nonce}, {"token", record.token}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<serving::LeaseRecord> DecodeLease(const StoredObject& object) {
  const absl::StatusOr<nlohmann::json> content = ParseBoundedJson(object.content);
  if (!content.ok()) return Invalid(MessageOf(content.status()));
  const nlohmann::json missing;
  const auto member = [&](const char* name) -> const nlohmann::json& {
    const auto found = content->is_object() ? content->find(name) : content->end();
    return found == content->end() ? missing : *found;
  };
  serving::LeaseRecord record;
  record.revision = object.revision;
  const nlohmann::json& holder = member("holder");
  if (!holder.is_string()) return InvalidMember("holder");
  record.holder = holder.get<std::string>();
  const nlohmann::json& address = member("address");
  if (!address.is_string()) return InvalidMember("address");
  record.address = address.get<std::string>();
  const nlohmann::json& nonce = member("nonce");
  if (!nonce.is_number_unsigned()) return InvalidMember("nonce");
  record.nonce = nonce.get<std::uint64_t>();
  const nlohmann::json& token = member("token");
  if (!token.is_number_integer() || token < 0) return InvalidMember("token");
  record.token = token.get<std::int64_t>();
  return record;
}

serving::LeaseRecord LeaseOfUnknownHolder(std::int64_t revision) {
  serving::LeaseRecord record;
  record.holder = "unreadable";
  record.revision = revision;
  return record;
}

}  // namespace saltquay::gateway
