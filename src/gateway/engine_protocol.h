// Serializes requests to engines and parses their responses.
//
// Header field and JSON member names are configurable: the defaults are this project's own, a platform adapter supplies
// others.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/serving/events.h"
#include "src/core/serving/role_controller.h"
#include "src/http/client.h"
#include "src/http/message.h"

namespace saltquay::gateway {

struct EngineProtocolFields {
  std::string request_id = "Saltquay-Request-Id";
  std::string deadline_ms = "Saltquay-Deadline-Ms";
  std::string last_event_id = "Last-Event-Id";
  std::string resumes = "Saltquay-Resumes";  // Id of the client's request that began the stream.
  std::string model = "Saltquay-Model";
  std::string token_counts = "Saltquay-Tokens";        // PROMPT,MAX_OUTPUT
  std::string prompt_parts = "Saltquay-Prompt-Parts";  // ID:TOKENS,...
  std::string expected_engine = "Saltquay-Expect-Engine";
  std::string priority = "Saltquay-Priority";
  std::string stage = "Saltquay-Stage";
  std::string stage_prefill = "prefill";
  std::string stage_decode = "decode";
  std::string kv_source = "Saltquay-Memory-Source";
  std::string copy_source = "Saltquay-Copy-Source";  // Engine that has shared parts of the prompt in its cache.
  std::string api_key = "Saltquay-Api-Key";          // The client's.
  std::string tenant = "Saltquay-Tenant";            // Sent to engines instead of the API key.
  std::string signature = "Saltquay-Signature";
  std::string not_executed = "Saltquay-Not-Executed";
  std::string load = "Saltquay-Load";  // RUNNING,WAITING,SLOTS
  // Requests a second that the engine takes from all nodes together; a decimal number.
  std::string request_limit = "Saltquay-Request-Limit";
  std::string leaving = "Saltquay-Leaving";  // 1 in the responses of an engine that is leaving.
  std::string handle_member = "handle";      // In the JSON response to a prefill.
  std::string release_path = "/handles/";    // DELETE /handles/HANDLE
  // Orders to engines, and the state that engines report.
  std::string order_path = "/orders";
  std::string report_path = "/state";
  std::string operation_member = "operation";
  std::string stage_member = "stage";  // Also the value of the operation member.
  std::string holder_member = "holder";
  std::string token_member = "fencing_token";
  std::string expected_sequence_member = "expected_sequence";
  std::string sequence_member = "sequence";
  std::string busy_member = "busy";
  std::string started_ms_member = "started_ms";
  // Fields that only the gateway may set or that are meant only for it: never forwarded from a client.
  std::vector<std::string> system_fields = {"Saltquay-Expect-Engine", "Saltquay-Priority",    "Saltquay-Stage",
                                            "Saltquay-Memory-Source", "Saltquay-Copy-Source", "Saltquay-Api-Key",
                                            "Saltquay-Tenant"};
};

class EngineProtocol {
 public:
  explicit EngineProtocol(EngineProtocolFields names) : names_(std::move(names)) {}

  // Extracts the request attributes that the serving core needs.
  serving::RequestMetadata DecodeRequest(const http::RequestHead& head) const;
  // Returns the client's request head rewritten for the engine of `attempt`.
  http::RequestHead MakeRequest(const http::RequestHead& client, const serving::StartAttempt& attempt) const;
  // Returns the client's request head for a peer that serves the request instead of this node.
  http::RequestHead MakePeerRequest(const http::RequestHead& client, const serving::ForwardRequest& forward) const;
  serving::EngineResponseHead DecodeResponse(const http::ResponseHead& head) const;
  // Returns nullopt if the response does not come from the engine that was called.
  std::optional<serving::EngineNotice> DecodeNotice(const http::ResponseHead& head) const;
  // The id of the request that the response names; empty if it names none.
  std::string_view RequestIdOf(const http::ResponseHead& head) const;
  // Returns which call the response belongs to, from the point of view of the call with that id.
  http::ResponseOwner OwnerOf(const http::ResponseHead& head, std::string_view call_id) const;
  // Returns the KV cache handle from the body of a prefill response; empty if there is none.
  std::string DecodeKvHandle(const std::string& body) const;

  // Calls of the node's own. `call_id`: the id that the engine gives back, as it does for requests.
  http::RequestHead MakeKvRelease(const serving::KvCacheSource& kv_cache_source, const std::string& call_id) const;
  http::RequestHead MakeStateRead(const serving::ReadEngineState& action, const std::string& call_id) const;
  // Returns nullopt if the body does not decode.
  std::optional<serving::EngineStateReport> DecodeEngineState(const std::string& body) const;
  // Returns when the engine's process started, as the response to a state read tells; see EngineRecord::started_ms. 0
  // if it does not tell.
  std::int64_t DecodeStartTime(const http::ResponseHead& head, const std::string& body) const;
  http::RequestHead MakeOrderHead(const serving::SendStageOrder& action, const std::string& call_id) const;
  std::string MakeOrderBody(const serving::SendStageOrder& action, const std::string& holder) const;

 private:
  // The client's request head with the time that is left and the last event received, without fields of connections.
  http::RequestHead CopyRequest(const http::RequestHead& client, Duration time_left,
                                const std::string& last_event_id) const;

  EngineProtocolFields names_;
};

}  // namespace saltquay::gateway
