#include "src/gateway/gateway_metrics.h"

#include <algorithm>

#include <prometheus/text_serializer.h>

namespace saltquay::gateway {
namespace {

prometheus::Histogram::BucketBoundaries LatencyBounds() {
  return {0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 4.0, 8.0};
}

}  // namespace

GatewayMetrics::GatewayMetrics(const std::string& node_name) : registry_(std::make_shared<prometheus::Registry>()) {
  const prometheus::Labels labels = {{"node", node_name}};
  const auto counter = [&](const char* name, const char* help) {
    return &prometheus::BuildCounter().Name(name).Help(help).Labels(labels).Register(*registry_);
  };
  requests_ = counter("saltquay_requests_total", "Client requests by final status");
  attempts_ = counter("saltquay_attempts_total", "Calls to engines by mode and outcome");
  identifications_ = counter("saltquay_engine_identifications_total",
                             "Engines asked on a connection which process they are, by outcome");
  forwards_ = counter("saltquay_forwards_total", "Requests handed to peers by peer and outcome");
  requests_of_peers_ = counter("saltquay_requests_of_peers_total", "Requests that peers handed to this node, by peer");
  extra_arrivals_ =
      counter("saltquay_extra_arrivals_total", "Calls to engines that count against the retry budget, and why");
  resumptions_ = counter("saltquay_stream_resumptions_total", "Streams that clients resume, by what came of it");
  store_calls_ = counter("saltquay_store_calls_total", "Calls to the store by kind of object, call and cause");
  refused_records_ = counter("saltquay_records_refused_total",
                             "Revisions of the store's objects that cannot be read, by kind of object and cause");
  traffic_ = counter("saltquay_traffic_bytes_total",
                     "Contents of messages to and from engines and other nodes, by kind and how far they went");
  record_age_ = &prometheus::BuildGauge()
                     .Name("saltquay_record_age_seconds")
                     .Help("Time since the store confirmed this node's copy of its objects, by kind")
                     .Labels(labels)
                     .Register(*registry_);
  limit_units_ = &prometheus::BuildGauge()
                      .Name("saltquay_limit_units")
                      .Help("Of tenants' limits: units admitted and refused through this node, and the levels it keeps")
                      .Labels(labels)
                      .Register(*registry_);
  aborted_streams_ = &counter("saltquay_streams_broken_off_total", "Streams ended before their last event")->Add({});
  skipped_responses_ = &counter("saltquay_responses_skipped_total",
                                "Responses that named another request than the call on whose connection they came")
                            ->Add({});
  passed_over_connections_ = &counter("saltquay_connections_passed_over_total",
                                      "Kept connections not used for a call since they had carried its request before")
                                  ->Add({});
  engine_crash_times_ =
      &counter("saltquay_engine_ends_total", "Engines whose process ended with requests of this node")->Add({});
  RegisterHistograms(labels);
  RegisterGauges(labels);
}

void GatewayMetrics::RegisterHistograms(const prometheus::Labels& labels) {
  const auto histogram = [&](const char* name, const char* help) {
    auto& family = prometheus::BuildHistogram().Name(name).Help(help).Labels(labels).Register(*registry_);
    return &family.Add({}, LatencyBounds());
  };
  response_seconds_ = histogram("saltquay_answer_seconds", "From a request's arrival to its whole answer");
  first_event_seconds_ = histogram("saltquay_first_event_seconds", "From a request's arrival to its first event");
  store_seconds_ = histogram("saltquay_store_call_seconds", "Calls to the store, watches aside");
  digest_age_seconds_ =
      histogram("saltquay_knowledge_age_seconds", "Mean age of the parts of the fleet's digest when it was taken over");
  watch_delay_seconds_ = histogram("saltquay_store_watch_delay_seconds",
                                   "Watches of the store: time to the response, less the wait asked");
}

void GatewayMetrics::RegisterGauges(const prometheus::Labels& labels) {
  const auto gauge = [&](const char* name, const char* help) {
    return &prometheus::BuildGauge().Name(name).Help(help).Labels(labels).Register(*registry_).Add({});
  };
  config_version_ = gauge("saltquay_config_version", "Version of the configuration in force");
  engines_ = gauge("saltquay_engines", "Engines known");
  limited_engines_ = gauge("saltquay_engines_limited", "Engines that name a limit for the requests of all nodes");
  unreachable_engines_ = gauge("saltquay_engines_unreachable", "Engines that this node cannot connect to");
  open_requests_ = gauge("saltquay_open_requests", "Requests under way");
  connections_opened_ =
      gauge("saltquay_connections_opened", "Connections opened so far for requests to engines and peers");
  held_bytes_ = gauge("saltquay_held_bytes", "Bytes read and not served, or answered and not read, on all connections");
  held_refusals_ = gauge("saltquay_held_bytes_refusals",
                         "Requests refused and answers ended so far, since too many bytes were held");
  members_known_ = gauge("saltquay_members_known", "Nodes that this node knows, with itself");
  digest_nodes_ = gauge("saltquay_digest_nodes", "Nodes whose work the newest digest covers; 1: no digest");
  log_dropped_ = gauge("saltquay_log_lines_dropped", "Log lines dropped so far");
  leader_ = gauge("saltquay_role_leader", "1 while this node holds the duties' lease");
  quarantined_ = gauge("saltquay_requests_quarantined", "Requests kept from engines, since engines ended under them");
  quarantined_parts_ = gauge("saltquay_prompt_parts_quarantined",
                             "Prompt parts kept from engines, since engines ended under requests with them");
  crash_entries_ = gauge("saltquay_crash_ledger_requests", "Requests remembered because engines ended under them");
  sealed_window_ = gauge("saltquay_usage_sealed_window", "Last window whose usage report is fixed; 0: not known here");
  unsent_reports_ = gauge("saltquay_usage_unsent_reports", "Usage reports that are fixed and not taken yet");
  clock_error_seconds_ = gauge("saltquay_clock_error_seconds", "How far this machine's clock is ahead of the fleet's");
}

void GatewayMetrics::CountRequest(int status) { requests_->Add({{"status", std::to_string(status)}}).Increment(); }

void GatewayMetrics::SetHeldBytes(double bytes, double refusals) {
  held_bytes_->Set(bytes);
  held_refusals_->Set(refusals);
}

void GatewayMetrics::CountIdentification(const std::string& outcome) {
  identifications_->Add({{"outcome", outcome}}).Increment();
}

void GatewayMetrics::CountAttempt(const std::string& mode, const std::string& outcome) {
  attempts_->Add({{"mode", mode}, {"outcome", outcome}}).Increment();
}

std::string GatewayMetrics::PeerLabel(const std::string& peer) {
  constexpr std::size_t kMaxPeerSeries = 50;
  if (labelled_peers_.size() < kMaxPeerSeries) labelled_peers_.insert(peer);
  return labelled_peers_.contains(peer) ? peer : "(others)";
}

void GatewayMetrics::CountForward(const std::string& peer, const std::string& outcome) {
  forwards_->Add({{"peer", PeerLabel(peer)}, {"outcome", outcome}}).Increment();
}

void GatewayMetrics::CountRequestOfPeer(const std::string& peer) {
  requests_of_peers_->Add({{"peer", PeerLabel(peer)}}).Increment();
}

void GatewayMetrics::CountExtraArrival(const std::string& service, const std::string& cause) {
  extra_arrivals_->Add({{"service", service}, {"cause", cause}}).Increment();
}

void GatewayMetrics::CountResumption(serving::ResumptionOutcome outcome) {
  const bool sent = outcome == serving::ResumptionOutcome::kSent;
  const bool unknown = outcome == serving::ResumptionOutcome::kVersionUnknown;
  resumptions_->Add({{"outcome", sent ? "sent" : unknown ? "version_unknown" : "no_engine"}}).Increment();
}

void GatewayMetrics::SetRecordAge(const std::string& kind, double seconds) {
  record_age_->Add({{"kind", kind}}).Set(seconds);
}

void GatewayMetrics::CountRefusedRecord(const std::string& kind, const std::string& cause) {
  refused_records_->Add({{"kind", kind}, {"cause", cause}}).Increment();
}

void GatewayMetrics::CountStoreCall(const std::string& kind, const std::string& call, const std::string& cause) {
  store_calls_->Add({{"kind", kind}, {"call", call}, {"cause", cause}}).Increment();
}

void GatewayMetrics::SetTraffic(const TrafficMeter& traffic) {
  for (std::size_t kind = 0; kind < kTrafficKinds; ++kind) {
    for (std::size_t locality = 0; locality < kTrafficLocalities; ++locality) {
      const auto typed_kind = static_cast<TrafficKind>(kind);
      const auto typed_locality = static_cast<TrafficLocality>(locality);
      const auto bytes = static_cast<double>(traffic.bytes(typed_kind, typed_locality));
      if (bytes == 0) continue;
      prometheus::Counter& counter =
          traffic_->Add({{"kind", std::string(NameOf(typed_kind))}, {"to", std::string(NameOf(typed_locality))}});
      counter.Increment(bytes - counter.Value());
    }
  }
}

void GatewayMetrics::SetState(double config_version, double engines, double open_requests, double log_dropped) {
  config_version_->Set(config_version);
  engines_->Set(engines);
  open_requests_->Set(open_requests);
  log_dropped_->Set(log_dropped);
}

void GatewayMetrics::SetFleet(double members_known, double digest_nodes) {
  members_known_->Set(members_known);
  digest_nodes_->Set(digest_nodes);
}

void GatewayMetrics::SetQuarantineCounts(double requests, double parts, double remembered) {
  quarantined_->Set(requests);
  quarantined_parts_->Set(parts);
  crash_entries_->Set(remembered);
}

void GatewayMetrics::SetLimits(std::vector<limits::LimitStatus> limits) {
  // One series for each of a thousand tenants would exceed all other metrics together.
  constexpr std::size_t kMaxTenantSeries = 50;
  for (prometheus::Gauge* series : limit_series_) limit_units_->Remove(series);
  limit_series_.clear();
  std::stable_sort(limits.begin(), limits.end(),
                   [](const limits::LimitStatus& a, const limits::LimitStatus& b) { return a.refused > b.refused; });
  if (limits.size() > kMaxTenantSeries) {
    limits::LimitStatus others{"(others)", "", 0, false, 0, 0};
    for (std::size_t i = kMaxTenantSeries; i < limits.size(); ++i) {
      others.admitted += limits[i].admitted;
      others.refused += limits[i].refused;
    }
    limits.resize(kMaxTenantSeries);
    limits.push_back(others);
  }
  const auto set = [this](const std::string& tenant, const char* what, double value) {
    limit_series_.push_back(&limit_units_->Add({{"tenant", tenant}, {"what", what}}));
    limit_series_.back()->Set(value);
  };
  for (const limits::LimitStatus& limit : limits) {
    set(limit.tenant, "admitted", static_cast<double>(limit.admitted));
    set(limit.tenant, "refused", static_cast<double>(limit.refused));
    if (limit.is_owner) set(limit.tenant, "level", limit.level);
  }
}

void GatewayMetrics::SetDuties(double sealed_window, double unsent_reports, double clock_error_seconds) {
  sealed_window_->Set(sealed_window);
  unsent_reports_->Set(unsent_reports);
  clock_error_seconds_->Set(clock_error_seconds);
}

std::string GatewayMetrics::Text() const { return prometheus::TextSerializer().Serialize(registry_->Collect()); }

}  // namespace saltquay::gateway
