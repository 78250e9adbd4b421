// Counters and latency histograms of a gateway, in the Prometheus text format.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "saltquay/limits/limiter.h"
#include "src/core/serving/events.h"
#include "src/gateway/traffic_meter.h"

namespace saltquay::gateway {

class GatewayMetrics {
 public:
  explicit GatewayMetrics(const std::string& node_name);

  void CountRequest(int status);
  void CountAttempt(const std::string& mode, const std::string& outcome);
  // Counts a request handed to a peer, by peer and outcome.
  void CountForward(const std::string& peer, const std::string& outcome);
  // Counts a request that a peer has handed to this node.
  void CountRequestOfPeer(const std::string& peer);
  // Number of engines that this node cannot connect to.
  void SetUnreachableEngines(double engines) { unreachable_engines_->Set(engines); }
  // Counts a client's request to resume a stream, by what came of it.
  void CountResumption(serving::ResumptionOutcome outcome);
  // Counts an engine call that is charged to the service's retry budget, by cause.
  void CountExtraArrival(const std::string& service, const std::string& cause);
  // Counts a response that named another request than the call on whose connection it came.
  void CountSkippedResponse() { skipped_responses_->Increment(); }
  // Counts kept connections that were not used for a call since they had carried its request before.
  void CountPassedOverConnections(int connections) { passed_over_connections_->Increment(connections); }
  // Counts an engine that was asked which process it is. `outcome`: expected, other, untold or failed.
  void CountIdentification(const std::string& outcome);
  // Bytes that connections to this node hold, and how many of them had to yield.
  void SetHeldBytes(double bytes, double refusals);
  // Number of connections to engines and peers that were opened for requests.
  void SetConnectionsOpened(double connections) { connections_opened_->Set(connections); }
  void CountAbortedStream() { aborted_streams_->Increment(); }
  // `call`: list, watch, read or write; `cause`: why this node called the store.
  void CountRefusedRecord(const std::string& kind, const std::string& cause);
  void CountStoreCall(const std::string& kind, const std::string& call, const std::string& cause);
  void ObserveResponse(double seconds) { response_seconds_->Observe(seconds); }
  void ObserveFirstEvent(double seconds) { first_event_seconds_->Observe(seconds); }
  // Mean age of the parts of a digest when this node applied it.
  void ObserveDigestAge(double seconds) { digest_age_seconds_->Observe(seconds); }
  // Time from a watch's request to the store's response, less the wait that was asked for; negative after a change.
  void ObserveWatchDelay(double seconds) { watch_delay_seconds_->Observe(seconds); }
  // Age of this node's copy of the store's objects of a kind.
  void SetRecordAge(const std::string& kind, double seconds);
  void ObserveStoreCall(double seconds) { store_seconds_->Observe(seconds); }
  void SetState(double config_version, double engines, double open_requests, double log_dropped);
  // Requests, and prompt parts, currently not sent to engines; `remembered`: entries in the crash ledger.
  void SetQuarantineCounts(double requests, double parts, double remembered);
  void CountEngineEnd() { engine_crash_times_->Increment(); }
  // Copies the totals of `traffic` into the counters.
  void SetTraffic(const TrafficMeter& traffic);
  // Exports the tenants with the most refused units as separate series and aggregates the others.
  void SetLimits(std::vector<limits::LimitStatus> limits);
  // Number of nodes that this node knows, and that the newest digest covers; both include this node.
  void SetFleet(double members_known, double digest_nodes);
  // Number of engines that name a limit for the requests of all nodes together.
  void SetLimitedEngines(double engines) { limited_engines_->Set(engines); }
  void SetLeader(bool leads) { leader_->Set(leads ? 1 : 0); }
  // `clock_error_seconds`: offset of this machine's clock from the fleet's.
  void SetDuties(double sealed_window, double unsent_reports, double clock_error_seconds);

  std::string Text() const;

 private:
  void RegisterHistograms(const prometheus::Labels& labels);
  void RegisterGauges(const prometheus::Labels& labels);
  // Returns the label for the peer; peers beyond a maximum share one.
  std::string PeerLabel(const std::string& peer);

  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>* requests_;
  prometheus::Family<prometheus::Counter>* attempts_;
  prometheus::Family<prometheus::Counter>* forwards_;
  prometheus::Family<prometheus::Counter>* requests_of_peers_;
  prometheus::Family<prometheus::Counter>* extra_arrivals_;
  prometheus::Family<prometheus::Counter>* resumptions_;
  prometheus::Family<prometheus::Counter>* identifications_;
  prometheus::Family<prometheus::Counter>* store_calls_;
  prometheus::Family<prometheus::Counter>* refused_records_;
  prometheus::Family<prometheus::Counter>* traffic_;
  prometheus::Family<prometheus::Gauge>* record_age_;
  prometheus::Family<prometheus::Gauge>* limit_units_;
  std::set<std::string> labelled_peers_;
  std::vector<prometheus::Gauge*> limit_series_;  // Registered by the last call of SetLimits.
  prometheus::Counter* aborted_streams_;
  prometheus::Counter* skipped_responses_;
  prometheus::Counter* passed_over_connections_;
  prometheus::Counter* engine_crash_times_;
  prometheus::Histogram* response_seconds_;
  prometheus::Histogram* first_event_seconds_;
  prometheus::Histogram* digest_age_seconds_;
  prometheus::Histogram* store_seconds_;
  prometheus::Histogram* watch_delay_seconds_;
  prometheus::Gauge* config_version_;
  prometheus::Gauge* engines_;
  prometheus::Gauge* limited_engines_;
  prometheus::Gauge* unreachable_engines_;
  prometheus::Gauge* open_requests_;
  prometheus::Gauge* connections_opened_;
  prometheus::Gauge* held_bytes_;
  prometheus::Gauge* held_refusals_;
  prometheus::Gauge* members_known_;
  prometheus::Gauge* digest_nodes_;
  prometheus::Gauge* log_dropped_;
  prometheus::Gauge* leader_;
  prometheus::Gauge* quarantined_;
  prometheus::Gauge* quarantined_parts_;
  prometheus::Gauge* crash_entries_;
  prometheus::Gauge* sealed_window_;
  prometheus::Gauge* unsent_reports_;
  prometheus::Gauge* clock_error_seconds_;
};

}  // namespace saltquay::gateway
