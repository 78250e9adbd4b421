// The numbered log events. docs/EVENTS.md is checked against this catalogue.
#pragma once

#include <span>
#include <string_view>

namespace saltquay {

// Numbers are stable: an event that is no longer written keeps its number.
enum class EventId : int {
  kNodeStarted = 100,
  kNodeReady = 101,
  kNodeStopping = 102,
  kNodeStopped = 103,
  kNodeStoodStill = 104,
  kNodeCrashed = 105,
  kNodeCrashStack = 106,
  kMemberAlive = 200,
  kMemberSuspect = 201,
  kMemberDead = 202,
  kMemberLeft = 203,
  kViewAdopted = 300,
  kViewProposed = 301,
  kLeaseAcquired = 302,
  kLeaseLost = 303,
  kViewSealed = 304,
  kRecordsSettled = 305,
  kBundleInForce = 400,
  kBundlePublished = 401,
  kBundleApproved = 402,
  kBundleRolled = 403,
  kBundleRefused = 404,
  kConfigInForce = 405,
  kConfigRefused = 406,
  kConfigReceived = 407,
  kEngineDraining = 500,
  kOrderSent = 501,
  kOrderAnswered = 502,
  kOrderAbandoned = 503,
  kEngineEjected = 504,
  kEngineReadmitted = 505,
  kEngineRecord = 506,
  kRolePlan = 507,
  kEngineEnded = 508,
  kEngineRecordRefused = 509,
  kEngineLimit = 510,
  kEngineRest = 511,
  kEngineLeaving = 512,
  kEnginePath = 513,
  kUsageSealed = 520,
  kUsageReported = 521,
  kUsageNotReported = 522,
  kUsageStoreFailed = 523,
  kLeaseRecordRefused = 524,
  kCapacityPlan = 530,
  kEnginesOrdered = 531,
  kRequestRefused = 600,
  kRequestRetried = 601,
  kRequestUnknown = 602,
  kFrameDropped = 603,
  kRequestRouted = 610,
  kRequestAnswered = 611,
  kRequestFailed = 612,
  kRequestBrokenOff = 613,
  kClientLeft = 614,
  kRequestQuarantined = 615,
  kRequestCleared = 616,
  kQuarantineStored = 617,
  kExtraArrival = 618,
  kAttemptFailed = 619,
  kLimitHome = 620,
  kLimitChanged = 621,
  kAttemptConnection = 622,
  kResponseSkipped = 623,
  kEngineIdentified = 624,
  kHeldBytesGivenUp = 625,
  kResponseMalformed = 626,
  kRequestForwarded = 630,
  kStreamResumed = 631,
  kStoreUnavailable = 700,
  kStoreRecovered = 701,
  kStoreContact = 702,
  kRecordUpstream = 703,
  kTrafficSummary = 704,
  kRecordsStale = 705,
  kRecordsFresh = 706,
  kRecordsBehind = 707,
  kPeerDataRefused = 800,
  kSettingsRefused = 801,
  kListenFailed = 802,
  kSettingsReloaded = 803,
  kLogDropped = 900,
};

enum class LogLevel { kInfo, kWarning, kError };

// One row of the catalogue.
struct EventDescription {
  EventId id;
  LogLevel level;
  std::string_view name;
  std::string_view meaning;
  std::string_view remedy;
};

// Returns every event, by ascending number.
std::span<const EventDescription> EventCatalogue();

// Returns the description of `id`.
const EventDescription& DescribeEvent(EventId id);

}  // namespace saltquay
