#include "src/base/event_catalogue.h"

#include <array>

namespace saltquay {
namespace {

using enum EventId;
using enum LogLevel;

constexpr auto kCatalogue = std::to_array<EventDescription>({
    {kNodeStarted, kInfo, "node_started", "The process runs and listens.", "None."},
    {kNodeReady, kInfo, "node_ready", "The node serves callers under the bundle in force.", "None."},
    {kNodeStopping, kInfo, "node_stopping", "SIGTERM: no new work; requests in flight finish.", "None."},
    {kNodeStopped, kInfo, "node_stopped", "All requests ended; the process exits 0.", "None."},
    {kNodeStoodStill, kWarning, "node_stood_still",
     "The process did nothing for over a second: frozen, suspended or starved.",
     "Look at the machine; what the node believed in between was as old."},
    {kMemberAlive, kInfo, "member_alive", "A peer joined or came back.", "None."},
    {kMemberSuspect, kInfo, "member_suspect", "A peer does not answer probes.",
     "None unless it repeats: check the network."},
    {kMemberDead, kWarning, "member_dead", "A suspected peer did not refute in time.",
     "Replace the machine if it stays away."},
    {kMemberLeft, kInfo, "member_left", "A peer stopped on purpose.", "None."},
    {kViewAdopted, kInfo, "view_adopted", "A new authority view is in force on this node.", "None."},
    {kViewProposed, kInfo, "view_proposed", "This node wrote a new view to the store.", "None."},
    {kLeaseAcquired, kInfo, "lease_acquired", "This node leads the cell.", "None."},
    {kLeaseLost, kWarning, "lease_lost", "This node no longer leads the cell.", "None; another seat takes over."},
    {kViewSealed, kInfo, "view_sealed", "A majority of the previous view is sealed.", "None."},
    {kRecordsSettled, kInfo, "records_settled", "At-most-once records of earlier views have arrived.", "None."},
    {kBundleInForce, kInfo, "bundle_in_force", "A rolled bundle is in force on this node.", "None."},
    {kBundlePublished, kInfo, "bundle_published", "An operator published a bundle through this node.", "None."},
    {kBundleApproved, kInfo, "bundle_approved", "An operator approved a bundle through this node.", "None."},
    {kBundleRolled, kInfo, "bundle_rolled", "An operator rolled a bundle through this node.", "None."},
    {kBundleRefused, kWarning, "bundle_refused", "An operator's command was refused.",
     "Read the answer; repeat if it says so."},
    {kConfigInForce, kInfo, "config_in_force", "A newer serving configuration is in force on this node.", "None."},
    {kConfigRefused, kError, "config_refused",
     "A published configuration cannot be read; the one before stays in force.",
     "Mend the key that the message names and publish again."},
    {kEngineDraining, kInfo, "engine_draining", "An engine gets no new work before a change.", "None."},
    {kOrderSent, kInfo, "order_sent", "A fenced order went to an engine.", "None."},
    {kOrderAnswered, kInfo, "order_answered", "An engine answered an order.", "None."},
    {kOrderAbandoned, kWarning, "order_abandoned", "An engine did not drain in time; its change is replanned.",
     "Look for requests that never end on that engine."},
    {kEngineEjected, kWarning, "engine_ejected", "An engine failed repeatedly; it gets no work for a while.",
     "Look at the engine's own logs."},
    {kEngineReadmitted, kInfo, "engine_readmitted", "An ejected engine gets work again.", "None."},
    {kEngineRecord, kInfo, "engine_record", "What the platform records of an engine changed.", "None."},
    {kRolePlan, kInfo, "role_plan", "What the planning node knows of demand and stages; every two seconds.", "None."},
    {kEngineEnded, kWarning, "engine_ended",
     "An engine's process ended while requests of this node were at it, or on the way to the stage it was ordered to.",
     "Look at the engine's own logs; a fingerprint that recurs at several ends is a request that ends engines."},
    {kUsageSealed, kInfo, "usage_sealed", "A window's usage report is fixed: only these counts are ever sent.",
     "None; where it says that nodes were not heard: look at their links."},
    {kUsageReported, kInfo, "usage_reported", "The platform answered a usage report, or did not.",
     "None; if it is never taken: check the platform's API."},
    {kUsageNotReported, kWarning, "usage_not_reported", "A window goes unreported: what was counted is lost.",
     "Settle that window by the engines' own records."},
    {kUsageStoreFailed, kInfo, "usage_store_failed",
     "The store did not read or take the fixed usage reports; it is tried again.",
     "If it lasts: look at the store; where it says that they do not decode, delete the object it names."},
    {kCapacityPlan, kInfo, "capacity_plan", "Engines that a service has, wants and needs now; every five seconds.",
     "None."},
    {kEnginesOrdered, kInfo, "engines_ordered", "A number of engines was ordered in a zone, and what came of it.",
     "Where it is refused for long: check the platform's limits."},
    {kRequestRefused, kInfo, "request_refused", "A request was refused with a typed error.",
     "Add engines or raise the class limit if it lasts."},
    {kRequestRetried, kInfo, "request_retried", "A request goes to another engine.", "None."},
    {kRequestUnknown, kWarning, "request_unknown", "A request ended with outcome unknown.",
     "Settle it with the caller's own records before issuing again."},
    {kFrameDropped, kInfo, "frame_dropped", "A late or crossed engine frame was dropped.", "None."},
    {kRequestRouted, kInfo, "request_routed", "A request goes to an engine; the inputs that decided.", "None."},
    {kRequestAnswered, kInfo, "request_answered", "An engine's answer went to the client whole.", "None."},
    {kRequestFailed, kWarning, "request_failed", "A request ended with an error of ours that promises nothing.",
     "Follow the request's lines; look at the engine that they name."},
    {kRequestBrokenOff, kWarning, "request_broken_off", "A stream was ended before its last event.",
     "Follow the request's lines; look at the engine that they name."},
    {kClientLeft, kInfo, "client_left", "The client closed before its answer was whole; its work is cancelled.",
     "None."},
    {kRequestQuarantined, kWarning, "request_quarantined",
     "Engines ended under a request, over all its repeats: no node sends it to an engine for a while.",
     "Follow its fingerprint (explain --fingerprint); find what in it ends engines."},
    {kRequestCleared, kInfo, "request_cleared",
     "A request under which engines had ended was served: they count no more.", "None."},
    {kQuarantineStored, kInfo, "quarantine_stored",
     "The requests in quarantine were read from the store, or written to it, or were not.",
     "If it lasts: look at the store; nodes still know of them from each other."},
    {kLimitHome, kInfo, "limit_home",
     "Another node decides on requests of a tenant that has a limit, or a node that did is silent or heard again.",
     "None; if it changes again and again: look at the nodes' links."},
    {kLimitChanged, kInfo, "limit_changed", "A version of the configuration set or changed a tenant's limit.", "None."},
    {kStoreUnavailable, kWarning, "store_unavailable", "The platform's store does not answer.",
     "Serving goes on; publish, approve and roll wait for the store."},
    {kStoreRecovered, kInfo, "store_recovered", "The platform's store answers again.", "None."},
    {kStoreContact, kInfo, "store_contact", "The node began or ceased to hear the platform's store.",
     "If it stays lost: check the store; serving goes on with what is known."},
    {kRecordUpstream, kInfo, "record_upstream",
     "The node learns the store's objects of a kind from another place: a peer that reads the store, or the store.",
     "None; if it changes again and again: look at the peers' links."},
    {kTrafficSummary, kInfo, "traffic_summary",
     "Bytes since the start by what they are for: to the own zone, to other zones of the region, to other regions.",
     "If much goes to other regions: look at the engines and links of this region."},
    {kPeerDataRefused, kWarning, "peer_data_refused", "Bytes from a peer did not verify and were dropped.",
     "Check that only nodes reach the peer port and that versions agree."},
    {kSettingsRefused, kError, "settings_refused", "The settings are wrong; the process exits 2.",
     "Mend the key that the message names."},
    {kListenFailed, kError, "listen_failed", "A listening address cannot be bound; the process exits 3.",
     "Free the port or set another address."},
    {kSettingsReloaded, kInfo, "settings_reloaded", "The settings were read again; what took effect.", "None."},
    {kLogDropped, kWarning, "log_dropped", "Log lines were dropped: too many, or nobody reads them.",
     "Read standard output faster, or raise log_lines_per_second."},
});

}  // namespace

std::span<const EventDescription> EventCatalogue() { return kCatalogue; }

const EventDescription& DescribeEvent(EventId id) {
  for (const EventDescription& row : kCatalogue) {
    if (row.id == id) return row;
  }
  return kCatalogue.front();
}

}  // namespace saltquay
