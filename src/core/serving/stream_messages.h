// Messages by which nodes tell each other which software version began a stream; see stream_origins.h.
//
// Each message is one datagram to one node. It may be dropped, duplicated, delayed or reordered.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/base/time.h"

namespace saltquay::serving {

// Hash of the id of the client's request that brought, or may bring, the stream's first event.
using StreamKey = std::uint64_t;

// One process of an engine, among all that run one after the other under its id.
struct EngineProcess {
  std::string engine_id;
  std::int64_t started_ms = 0;  // See EngineRecord::started_ms.

  bool operator==(const EngineProcess&) const = default;
};

// Where a stream begins.
struct StreamOrigin {
  std::string software_version;  // The engine's.
  int attempt = 0;               // Of the request; a later attempt replaces an earlier one.
  // Set instead of the version while no record of the engine's process has arrived.
  std::optional<EngineProcess> process = std::nullopt;

  // False: nobody knew it when a client came back, so it is older than what the nodes remember.
  bool known() const { return attempt >= 0; }
  bool operator==(const StreamOrigin&) const = default;
};
// Any known origin replaces it.
inline const StreamOrigin kUnknownOrigin{"", -1};

// The request is sent to an engine of that version.
struct StreamNotice {
  StreamKey stream = 0;
  StreamOrigin origin;
  Duration lifetime = 0s;  // How long the client may come back.
};

// Asks which version began the stream.
struct StreamQuery {
  StreamKey stream = 0;
  std::string service;
  std::string reply_to;  // Address of the asking node.
};

enum class StreamKnowledge : std::uint8_t {
  kNone,             // The sender cannot tell.
  kOrigin,           // It was told the stream's origin, or that it is unknown.
  kOnlyVersion,      // It was not, but only this version has served for as long as a client may come back.
  kSeveralVersions,  // It was not, and several versions have served.
};

struct StreamReply {
  StreamKey stream = 0;
  StreamKnowledge knowledge = StreamKnowledge::kNone;
  StreamOrigin origin;  // Only its version for kOnlyVersion.
  std::string from;     // Address of the sender.
};

using StreamMessage = std::variant<StreamNotice, StreamQuery, StreamReply>;

struct AddressedStreamMessage {
  std::string address;
  StreamMessage message;
};

}  // namespace saltquay::serving
