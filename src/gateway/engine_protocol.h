// How requests are written to engines and their answers read.
//
// The names of the header fields are data: the product's own are the defaults,
// a platform's adapter supplies others.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/core/serving/events.h"
#include "src/core/serving/role_controller.h"
#include "src/http/message.h"

namespace saltquay::gateway {

struct EngineProtocolFields {
  std::string request_id = "Saltquay-Request-Id";
  std::string deadline_ms = "Saltquay-Deadline-Ms";
  std::string last_event_id = "Last-Event-Id";
  std::string model = "Saltquay-Model";
  std::string token_counts = "Saltquay-Tokens";        // Prompt and most output, by a comma.
  std::string prompt_parts = "Saltquay-Prompt-Parts";  // ID:TOKENS by commas.
  std::string expected_engine = "Saltquay-Expect-Engine";
  std::string priority = "Saltquay-Priority";
  std::string stage = "Saltquay-Stage";
  std::string stage_prefill = "prefill";
  std::string stage_decode = "decode";
  std::string kv_source = "Saltquay-Memory-Source";
  std::string copy_source = "Saltquay-Copy-Source";  // Engine that keeps shared parts of the prompt.
  std::string api_key = "Saltquay-Api-Key";          // Of the caller.
  std::string tenant = "Saltquay-Tenant";            // Told to engines in place of the key.
  std::string signature = "Saltquay-Signature";
  std::string not_executed = "Saltquay-Not-Executed";
  std::string load = "Saltquay-Load";      // Running, waiting, slots.
  std::string handle_member = "handle";    // Of the JSON answer to a prefill.
  std::string release_path = "/handles/";  // DELETE it with a handle behind.
  // Orders to engines, and what engines say of themselves.
  std::string order_path = "/orders";
  std::string report_path = "/state";
  std::string operation_member = "operation";
  std::string stage_member = "stage";  // Also the word of the operation.
  std::string holder_member = "holder";
  std::string token_member = "fencing_token";
  std::string expected_sequence_member = "expected_sequence";
  std::string sequence_member = "sequence";
  std::string busy_member = "busy";
  // Fields that only this system may set, and those that are for it alone: never passed on from a client.
  std::vector<std::string> system_fields = {"Saltquay-Expect-Engine", "Saltquay-Priority",    "Saltquay-Stage",
                                            "Saltquay-Memory-Source", "Saltquay-Copy-Source", "Saltquay-Api-Key",
                                            "Saltquay-Tenant"};
};

class EngineProtocol {
 public:
  explicit EngineProtocol(EngineProtocolFields names) : names_(std::move(names)) {}

  // Reads what the core needs to know of a client's request.
  serving::RequestMetadata DecodeRequest(const http::RequestHead& head) const;
  // The client's head as it goes to the engine of `attempt`.
  http::RequestHead MakeRequest(const http::RequestHead& client, const serving::StartAttempt& attempt) const;
  serving::EngineResponseHead DecodeResponse(const http::ResponseHead& head) const;
  // Returns whether the answer is to the request of that id.
  bool Answers(const http::ResponseHead& head, std::string_view request_id) const;
  // The handle in the body of a prefill's answer; empty where there is none.
  std::string DecodeKvHandle(const std::string& body) const;
  http::RequestHead MakeKvRelease(const serving::KvCacheSource& memory) const;

  http::RequestHead MakeStateRead(const serving::ReadEngineState& action) const;
  // Nothing for a body that does not decode.
  std::optional<serving::EngineStateReport> ReadState(const std::string& body) const;
  http::RequestHead MakeOrderHead(const serving::SendStageOrder& action) const;
  std::string MakeOrderBody(const serving::SendStageOrder& action, const std::string& holder) const;

 private:
  EngineProtocolFields names_;
};

}  // namespace saltquay::gateway
