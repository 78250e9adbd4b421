// Which software version of the engines began each stream, so that any node can resume it at that version.
//
// Protocol. A client that takes a stream up names the request that brought its first event, but not the version, and
// the node that served that request may be gone. Therefore a node that sends a resumable stream's request to an engine
// tells some peers the engine's version at that moment, before there can be an event. The peers are chosen by
// rendezvous hashing of the request's id, across zones, so that any node computes whom to ask. A later attempt of the
// same request at another version replaces the earlier one. While only one version has served for as long as clients
// may be silent, streams are not announced; when that changes, each node announces those that it knows.
//
// A node that does not know a stream asks more peers than were told, since nodes may disagree about the members. It
// takes the first reply that names an origin. If nobody knows, the version may be inferred only if one version alone
// has served for long enough, no peer objects, and it is certain that none was missed: each peer that may have been
// told has answered, or this node's records are confirmed as of a time after the client came back. Silence is no
// evidence. Otherwise the request has to be refused. A version that replaces another one is announced twice: peers that
// miss it would name the earlier one.
//
// A client that is refused comes back, so how old a stream is has no bound. Only the time between two of its attempts
// has: each attempt renews what is recorded about the stream, here and at the peers. If nobody knows its origin, that
// is recorded instead. For such a stream nothing is inferred, since it may have begun before the time that the
// inference covers; a known origin that turns up replaces the record.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/core/serving/peer_table.h"
#include "src/core/serving/stream_messages.h"

namespace saltquay::serving {

struct StreamOriginParameters {
  std::size_t peers_told = 3;
  std::size_t peers_asked = 6;
  Duration resend_interval = 50ms;
  Duration reply_timeout = 150ms;  // Then the peers that have not replied are taken for unreachable.
  Duration renewal_interval = 5s;  // What is recorded about a stream is renewed at most that often.
  std::size_t max_streams = 131072;
  std::size_t max_unknown_streams = 16384;  // Of these, those whose origin is unknown: any client can name such ones.
};

// The outcome of a question to the peers.
struct StreamAnswer {
  StreamKey stream = 0;
  std::optional<StreamOrigin> origin;
  bool origin_unknown = false;  // A peer was told that the origin is unknown.
  // The only version that has served for long enough, by a peer that knows; nullopt if none does.
  std::optional<std::string> only_version;
  bool several_versions = false;  // A peer knows of several.
  std::size_t peers_asked = 0;
  std::size_t peers_answered = 0;
  // Each of them answered, and they are as many as usual: none of those that may have been told was left out.
  bool complete = false;
};

class StreamOrigins {
 public:
  explicit StreamOrigins(const StreamOriginParameters& parameters) : parameters_(parameters) {}

  // `address`: where this node receives replies; empty if it has no peers.
  void set_address(std::string address) { address_ = std::move(address); }
  // All known nodes that are not stopping, excluding this one.
  void set_peers(std::vector<PeerNode> peers, Time now);

  void OnNotice(const StreamNotice& notice, Time now);
  // Records the origin for at least that long, unless a later attempt's is known.
  void Record(StreamKey stream, const StreamOrigin& origin, Duration lifetime, Time now);
  // A client has come back to the stream: extends the life of the known origin to `lifetime`, or records that it is
  // unknown. Returns whether the peers should be told.
  bool Renew(StreamKey stream, const StreamOrigin& origin, Duration lifetime, Time now);
  // A record has told the software version of the process.
  void Resolve(const EngineProcess& process, const std::string& software_version);
  void Forget(StreamKey stream);
  // What is recorded about the stream; the origin may be unknown. It also is for a stream without a record while
  // records of unknown origins had to be dropped that would still hold.
  std::optional<StreamOrigin> Find(StreamKey stream, Time now) const;
  // Tells the peers that are responsible for the stream what is recorded about it; all that may be asked if its version
  // is not, since the others might take the only known version for the stream's.
  void Announce(StreamKey stream, Time now);
  // The same for each stream that was recorded here and not announced.
  void AnnounceAll(Time now);

  // Asks the peers that are responsible for the stream; the outcome appears among the answers. `lifetime`: how long ago
  // peers may have been told that are not known any more.
  void Ask(StreamKey stream, const std::string& service, Duration lifetime, Time now);
  void OnReply(const StreamReply& reply);
  // Replies to a peer. `only_version`: the only one of the service that has served for long enough, as known to this
  // node; `several_versions`: whether it knows of several.
  void Respond(const StreamQuery& query, const std::optional<std::string>& only_version, bool several_versions,
               Time now);

  // Handles expired timers. Must be called at `next_deadline` or earlier.
  void Step(Time now);
  std::optional<Time> next_deadline() const;
  // Return and clear the output of all calls since the previous one.
  std::vector<AddressedStreamMessage> TakeMessages() { return std::exchange(messages_, {}); }
  std::vector<StreamAnswer> TakeAnswers() { return std::exchange(answers_, {}); }

  std::size_t size() const { return streams_.size(); }

 private:
  struct Stream {
    StreamOrigin origin;
    Time expires_at{};
    bool announced = false;
  };
  using Expiries = std::set<std::pair<Time, StreamKey>>;
  using StreamEntry = std::map<StreamKey, Stream>::iterator;
  struct Question {
    StreamQuery query;
    std::size_t peers_expected = 0;
    std::set<std::string> unanswered;  // Addresses.
    StreamAnswer answer;
    Time resend_at{};
    Time ends_at{};
  };

  // The first `count` peers that are responsible for the stream.
  std::vector<std::string> ResponsiblePeers(StreamKey stream, std::size_t count) const;
  void SendQueries(const Question& question);
  // The largest number of peers that was known within that time.
  std::size_t MostPeersWithin(Duration time, Time now);
  void Expire(Time now);
  Expiries& ExpiriesOf(const Stream& stream) { return stream.origin.known() ? expiries_ : unknown_expiries_; }
  void Erase(StreamEntry entry);
  void EraseFirst(const Expiries& expiries) { Erase(streams_.find(expiries.begin()->second)); }
  // Drops the records that end first until there are no more than allowed.
  void DropExcess();

  StreamOriginParameters parameters_;
  std::string address_;
  std::vector<PeerNode> peers_;
  std::map<Time, std::size_t> earlier_peers_;  // How many were known until then.
  std::map<StreamKey, Stream> streams_;
  std::set<StreamKey> unversioned_;  // Those whose origin names a process; may contain others.
  Expiries expiries_;                // Of streams whose origin is known.
  Expiries unknown_expiries_;
  Time dropped_unknown_until_{};  // When the last dropped record of an unknown origin would have ended.
  std::map<StreamKey, Question> questions_;
  std::vector<AddressedStreamMessage> messages_;
  std::vector<StreamAnswer> answers_;
};

}  // namespace saltquay::serving
