#include "src/runtime/platform_client.h"

#include "src/core/machine_list.h"
#include "src/runtime/platform_protocol.h"

namespace saltquay {
namespace {

constexpr long kOk = 200;
constexpr long kConflict = 409;
constexpr long kUnavailable = 503;

// What an unsuccessful call says about its effect.
StoreResult FailureOf(HttpResult result, long status) {
  const bool refused = result == HttpResult::kNotSent || (result == HttpResult::kAnswered && status == kUnavailable);
  return refused ? StoreResult::kUnavailable : StoreResult::kNoAnswer;
}

StoreAnswered AnswerOf(StoreOperationId operation, HttpResult result, long status, const std::string& body) {
  StoreAnswered answer{operation, StoreResult::kNoAnswer, {}};
  const bool known = result == HttpResult::kAnswered && (status == kOk || status == kConflict);
  absl::StatusOr<StoredObject> object = known ? DecodeStoredObject(body) : StoredObject{};
  if (!known || !object.ok()) {
    answer.result = known ? StoreResult::kNoAnswer : FailureOf(result, status);
    return answer;
  }
  answer.result = status == kOk ? StoreResult::kDone : StoreResult::kConflict;
  answer.object = std::move(*object);
  return answer;
}

}  // namespace

HttpCall PlatformClient::MakeCall(const std::string& method, const std::string& path) const {
  HttpCall call;
  call.method = method;
  call.url = base_url_ + path;
  call.timeout = timeout_;
  return call;
}

void PlatformClient::Read(const StoreRead& action) {
  HttpCall call = MakeCall("GET", kPlatformObjectsPath + action.key);
  const StoreOperationId operation = action.operation;
  call.on_done = [this, operation](HttpResult result, long status, const std::string& body) {
    post_(AnswerOf(operation, result, status, body));
  };
  http_.Begin(std::move(call));
}

void PlatformClient::Write(const StoreWrite& action) {
  HttpCall call = MakeCall("PUT", kPlatformObjectsPath + action.key);
  call.body = EncodeObjectWrite({action.expected_version, action.value});
  const StoreOperationId operation = action.operation;
  call.on_done = [this, operation](HttpResult result, long status, const std::string& body) {
    post_(AnswerOf(operation, result, status, body));
  };
  http_.Begin(std::move(call));
}

void PlatformClient::ReadMachines() {
  HttpCall call = MakeCall("GET", kPlatformMachinesPath);
  call.on_done = [this](HttpResult result, long status, const std::string& body) {
    MachineListRead read;
    if (result == HttpResult::kAnswered && status == kOk) {
      absl::StatusOr<MachineList> list = ParseMachineList(body);
      if (list.ok()) read.list = std::move(*list);
    }
    post_(std::move(read));
  };
  http_.Begin(std::move(call));
}

}  // namespace saltquay
