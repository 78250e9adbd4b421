#include "src/core/serving/stream_origins.h"

#include <algorithm>

#include "src/base/hash.h"
#include "src/core/serving/node_ranking.h"

namespace saltquay::serving {

void StreamOrigins::set_peers(std::vector<PeerNode> peers, Time now) {
  if (peers.size() < peers_.size()) earlier_peers_[now] = std::max(earlier_peers_[now], peers_.size());
  peers_ = std::move(peers);
}

std::size_t StreamOrigins::MostPeersWithin(Duration time, Time now) {
  std::erase_if(earlier_peers_, [&](const auto& entry) { return entry.first < now - time; });
  std::size_t most = peers_.size();
  for (const auto& [until, count] : earlier_peers_) most = std::max(most, count);
  return most;
}

void StreamOrigins::Record(StreamKey stream, const StreamOrigin& origin, Duration lifetime, Time now) {
  Expire(now);
  const auto [entry, is_new] = streams_.try_emplace(stream);
  Stream& known = entry->second;
  if (!is_new) ExpiriesOf(known).erase({known.expires_at, stream});
  if (is_new || origin.attempt >= known.origin.attempt) {
    const bool same =
        known.origin.software_version == origin.software_version && known.origin.process == origin.process;
    known.announced = known.announced && same;
    known.origin = origin;
  }
  if (known.origin.process) unversioned_.insert(stream);
  known.expires_at = std::max(known.expires_at, now + lifetime);
  ExpiriesOf(known).emplace(known.expires_at, stream);
  DropExcess();
}

void StreamOrigins::DropExcess() {
  while (unknown_expiries_.size() > parameters_.max_unknown_streams) {
    dropped_unknown_until_ = std::max(dropped_unknown_until_, unknown_expiries_.begin()->first);
    EraseFirst(unknown_expiries_);
  }
  while (expiries_.size() > parameters_.max_streams) EraseFirst(expiries_);
}

void StreamOrigins::Forget(StreamKey stream) {
  const auto entry = streams_.find(stream);
  if (entry != streams_.end()) Erase(entry);
}

void StreamOrigins::Erase(StreamEntry entry) {
  ExpiriesOf(entry->second).erase({entry->second.expires_at, entry->first});
  streams_.erase(entry);
}

bool StreamOrigins::Renew(StreamKey stream, const StreamOrigin& origin, Duration lifetime, Time now) {
  const auto entry = streams_.find(stream);
  const bool lasts = entry != streams_.end() && entry->second.origin == origin &&
                     entry->second.expires_at > now + lifetime - parameters_.renewal_interval;
  if (!lasts) Record(stream, origin, lifetime, now);
  return !lasts;
}

void StreamOrigins::Resolve(const EngineProcess& process, const std::string& software_version) {
  std::erase_if(unversioned_, [&](StreamKey stream) {
    const auto entry = streams_.find(stream);
    if (entry == streams_.end() || !entry->second.origin.process) return true;
    StreamOrigin& origin = entry->second.origin;
    if (origin.process != process) return false;
    origin.software_version = software_version;
    origin.process.reset();
    return true;
  });
}

void StreamOrigins::OnNotice(const StreamNotice& notice, Time now) {
  Record(notice.stream, notice.origin, notice.lifetime, now);
  const auto entry = streams_.find(notice.stream);
  if (entry != streams_.end()) entry->second.announced = true;
}

std::optional<StreamOrigin> StreamOrigins::Find(StreamKey stream, Time now) const {
  const auto entry = streams_.find(stream);
  if (entry != streams_.end() && entry->second.expires_at > now) return entry->second.origin;
  return dropped_unknown_until_ > now ? std::optional(kUnknownOrigin) : std::nullopt;
}

std::vector<std::string> StreamOrigins::ResponsiblePeers(StreamKey stream, std::size_t count) const {
  std::vector<RankedNode> ranked;
  ranked.reserve(peers_.size());
  for (const PeerNode& peer : peers_) ranked.push_back({&peer, HashPair(HashText(peer.node), stream)});
  std::sort(ranked.begin(), ranked.end(), [](const RankedNode& a, const RankedNode& b) { return a.hash > b.hash; });
  std::vector<std::string> addresses;
  for (const RankedNode& chosen : PickAcrossZones(ranked, count)) addresses.push_back(chosen.node->address);
  return addresses;
}

void StreamOrigins::Announce(StreamKey stream, Time now) {
  const auto entry = streams_.find(stream);
  if (entry == streams_.end() || entry->second.expires_at <= now) return;
  entry->second.announced = true;
  const StreamNotice notice{stream, entry->second.origin, entry->second.expires_at - now};
  const bool has_version = notice.origin.known() && !notice.origin.process;
  const std::size_t count = has_version ? parameters_.peers_told : parameters_.peers_asked;
  for (const std::string& address : ResponsiblePeers(stream, count)) messages_.push_back({address, notice});
}

void StreamOrigins::AnnounceAll(Time now) {
  for (const auto& [stream, known] : streams_) {
    if (!known.announced) Announce(stream, now);
  }
}

void StreamOrigins::Ask(StreamKey stream, const std::string& service, Duration lifetime, Time now) {
  if (questions_.contains(stream)) return;
  Question question;
  question.query = {stream, service, address_};
  question.answer.stream = stream;
  const std::vector<std::string> addresses = ResponsiblePeers(stream, parameters_.peers_asked);
  question.unanswered = {addresses.begin(), addresses.end()};
  question.answer.peers_asked = addresses.size();
  question.peers_expected = std::min(parameters_.peers_asked, MostPeersWithin(lifetime, now));
  if (addresses.empty()) {
    question.answer.complete = question.peers_expected == 0;
    answers_.push_back(question.answer);
    return;
  }
  question.resend_at = now + parameters_.resend_interval;
  question.ends_at = now + parameters_.reply_timeout;
  SendQueries(question);
  questions_.emplace(stream, std::move(question));
}

void StreamOrigins::SendQueries(const Question& question) {
  for (const std::string& address : question.unanswered) messages_.push_back({address, question.query});
}

void StreamOrigins::OnReply(const StreamReply& reply) {
  const auto entry = questions_.find(reply.stream);
  if (entry == questions_.end() || entry->second.unanswered.erase(reply.from) == 0) return;
  StreamAnswer& answer = entry->second.answer;
  ++answer.peers_answered;
  if (reply.knowledge == StreamKnowledge::kOrigin) {
    answer.origin_unknown = answer.origin_unknown || !reply.origin.known();
    if (reply.origin.known()) answer.origin = reply.origin;
  }
  if (reply.knowledge == StreamKnowledge::kSeveralVersions) answer.several_versions = true;
  if (reply.knowledge == StreamKnowledge::kOnlyVersion) {
    const std::string& version = reply.origin.software_version;
    answer.several_versions = answer.several_versions || answer.only_version.value_or(version) != version;
    answer.only_version = version;
  }
  const bool all_answered = entry->second.unanswered.empty();
  answer.complete = all_answered && answer.peers_asked >= entry->second.peers_expected;
  if (!answer.origin && !all_answered) return;
  answers_.push_back(answer);
  questions_.erase(entry);
}

void StreamOrigins::Respond(const StreamQuery& query, const std::optional<std::string>& only_version,
                            bool several_versions, Time now) {
  StreamReply reply;
  reply.stream = query.stream;
  reply.from = address_;
  if (const std::optional<StreamOrigin> origin = Find(query.stream, now)) {
    reply.knowledge = StreamKnowledge::kOrigin;
    reply.origin = *origin;
  } else if (only_version) {
    reply.knowledge = StreamKnowledge::kOnlyVersion;
    reply.origin.software_version = *only_version;
  } else if (several_versions) {
    reply.knowledge = StreamKnowledge::kSeveralVersions;
  }
  messages_.push_back({query.reply_to, reply});
}

void StreamOrigins::Step(Time now) {
  for (auto entry = questions_.begin(); entry != questions_.end();) {
    Question& question = entry->second;
    if (now >= question.ends_at) {
      answers_.push_back(question.answer);
      entry = questions_.erase(entry);
      continue;
    }
    if (now >= question.resend_at) {
      question.resend_at = now + parameters_.resend_interval;
      SendQueries(question);
    }
    ++entry;
  }
}

std::optional<Time> StreamOrigins::next_deadline() const {
  std::optional<Time> next;
  for (const auto& [stream, question] : questions_) {
    const Time at = std::min(question.resend_at, question.ends_at);
    next = std::min(next.value_or(at), at);
  }
  return next;
}

void StreamOrigins::Expire(Time now) {
  for (Expiries* expiries : {&expiries_, &unknown_expiries_}) {
    while (!expiries->empty() && expiries->begin()->first <= now) EraseFirst(*expiries);
  }
}

}  // namespace saltquay::serving
