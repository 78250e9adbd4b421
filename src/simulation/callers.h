// The callers: they submit requests to any node, check every answer, and
// submit again as real clients would. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/simulation/deployments.h"
#include "src/simulation/world.h"

namespace saltquay {

// How a caller's request ended, all submissions taken together.
enum class CallerOutcome : std::uint8_t { kOpen, kCompleted, kNotRun, kUnknown, kLost };

// One caller's request.
struct CallerWork {
  std::uint64_t id = 0;
  const RequestKind* kind = nullptr;
  std::uint32_t prefix = 0;  // Which common prefix it begins with.
  std::string key;
  int submissions = 0;
  int retries_left = 0;
  Time submitted_at{};  // First submission.
  Time ended_at{};
  CallerOutcome outcome = CallerOutcome::kOpen;
  // Of the present submission.
  std::uint64_t prompt_hash = 0;
  RequestHandle handle;
  NodeId node;
  std::uint64_t node_life = 0;
  bool reached_node = false;
  bool unsettled = false;    // An earlier submission may have run.
  bool before_stop = false;  // Its node had it when its planned stop began.
  std::uint32_t tokens = 0;
  std::string text;
  Time sent_at{};
  Time first_token_at{};
  Time last_token_at{};
};

// Counts over all callers.
struct CallerCounts {
  std::uint64_t submitted = 0;
  std::uint64_t completed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t lost = 0;
};

// Draws what arrives when.
class Workload {
 public:
  virtual ~Workload() = default;
  // Requests a second at `at`.
  virtual double Rate(Time at) const = 0;
  // How far the mix has moved from quiet (0) to surge (1).
  virtual double Surge(Time at) const = 0;
};

class Callers : public ClientSide {
 public:
  using CommandListener = std::function<void(NodeId, const FinishCommand&)>;
  using EndListener = std::function<void(const CallerWork&)>;

  Callers(World& world, const Workload& workload);

  // Replaces the deployment's own kinds. Call before Run().
  void SetKinds(const std::vector<RequestKind>& kinds) { kinds_ = kinds; }
  // New requests arrive from now to `until`.
  void Run(Time until);
  void SetCommandListener(CommandListener listener) { command_listener_ = std::move(listener); }
  // Called as each request ends; its work is forgotten then.
  void SetEndListener(EndListener listener) { end_listener_ = std::move(listener); }
  // A planned stop begins at a node.
  void NotePlannedStop(NodeId node);

  void OnTokens(NodeId node, std::uint64_t life, const DeliverTokens& tokens) override;
  void OnFinished(NodeId node, std::uint64_t life, const FinishRequest& finish) override;
  void OnCommandFinished(NodeId node, const FinishCommand& finish) override;
  void OnNodeGone(NodeId node, std::uint64_t life, bool planned) override;

  const CallerCounts& counts() const { return counts_; }
  std::size_t open() const { return works_.size(); }

 private:
  void ScheduleArrival();
  void Arrive();
  const RequestKind& DrawKind();
  void Submit(CallerWork& work);
  void Reach(std::uint64_t work_id, int submission);
  RequestSpec MakeSpec(CallerWork& work);
  void WatchTime(const CallerWork& work, Duration allowed);
  CallerWork* FindByHandle(RequestHandle handle, NodeId node, std::uint64_t life);
  void Completed(CallerWork& work, const FinishRequest& finish);
  void Again(CallerWork& work, CallerOutcome otherwise, Duration after);
  void End(CallerWork& work, CallerOutcome outcome);

  World& world_;
  const Workload& workload_;
  std::vector<RequestKind> kinds_;
  // Its own, so that the same requests arrive whatever the fleet does.
  Random random_;
  Time until_{};
  std::uint64_t last_work_ = 0;
  std::uint64_t last_handle_ = 0;
  std::map<std::uint64_t, CallerWork> works_;
  std::map<RequestHandle, std::uint64_t> by_handle_;
  CallerCounts counts_;
  CommandListener command_listener_;
  EndListener end_listener_;
};

}  // namespace saltquay
