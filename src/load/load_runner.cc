#include "src/load/load_runner.h"

#include <algorithm>
#include <condition_variable>
#include <iostream>
#include <memory>
#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "src/base/bounded_json.h"
#include "src/base/hash.h"
#include "src/models/token_text.h"

namespace saltquay {
namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr long kOk = 200;
constexpr std::chrono::milliseconds kCallTimeout{40'000};
constexpr std::chrono::milliseconds kResubmitPause{300};
constexpr std::chrono::seconds kProgressInterval{5};

const Json::json_pointer kOutcomeOfError("/error/outcome");
const Json::json_pointer kTextOfChoice("/choices/0/text");

// Returns the string at that place of a node's answer, or `otherwise` if there is none.
std::string StringAt(const Json& answer, const Json::json_pointer& place, const char* otherwise) {
  if (!answer.contains(place) || !answer.at(place).is_string()) return otherwise;
  return answer.at(place).get<std::string>();
}

double MillisecondsBetween(Clock::time_point begin, Clock::time_point end) {
  return std::chrono::duration<double, std::milli>(end - begin).count();
}

// One request under way, with all of its submissions.
struct Flight {
  const PlannedRequest* request = nullptr;
  int submissions = 0;
  std::size_t node = 0;
  Clock::time_point sent_at;
  Clock::time_point first_at;
  std::string buffer;  // Stream bytes not yet taken apart.
  std::string text;
  bool saw_first = false;
  bool saw_end = false;
  bool may_have_run = false;  // An earlier submission, without a definite answer.
  std::string stream_error;
};

class LoadRun {
 public:
  LoadRun(const LoadPlan& plan, const LoadRunOptions& options) : options_(options), requests_(DrawRequests(plan)) {}

  LoadReport Run() {
    const Clock::time_point start = Clock::now();
    Clock::time_point next_progress = start + kProgressInterval;
    for (const PlannedRequest& request : requests_) {
      const auto at =
          start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(request.at_seconds));
      SendDueResubmissions(at);
      std::this_thread::sleep_until(at);
      auto flight = std::make_shared<Flight>();
      flight->request = &request;
      flight->node = next_node_++ % options_.nodes.size();
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++open_;
        ++report_.counts.sent;
      }
      Submit(flight);
      if (options_.progress && Clock::now() >= next_progress) {
        next_progress += kProgressInterval;
        PrintProgress(start);
      }
    }
    WaitForAll();
    const std::lock_guard<std::mutex> lock(mutex_);
    return report_;
  }

 private:
  struct Resubmission {
    Clock::time_point at;
    std::shared_ptr<Flight> flight;
  };

  void PrintProgress(Clock::time_point start) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::cerr << fmt::format("{:.0f} s: sent {}, answered {}, not run {}, open {}\n",
                             MillisecondsBetween(start, Clock::now()) / 1000, report_.counts.sent,
                             report_.counts.answered, report_.counts.not_run, open_);
  }

  void SendDueResubmissions(Clock::time_point until) {
    while (true) {
      std::shared_ptr<Flight> due;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto entry = std::find_if(resubmissions_.begin(), resubmissions_.end(),
                                        [&](const Resubmission& row) { return row.at <= until; });
        if (entry == resubmissions_.end()) return;
        due = entry->flight;
        resubmissions_.erase(entry);
      }
      Submit(due);
    }
  }

  void WaitForAll() {
    while (true) {
      SendDueResubmissions(Clock::now());
      std::unique_lock<std::mutex> lock(mutex_);
      if (open_ == 0) return;
      ended_.wait_for(lock, std::chrono::milliseconds(50));
    }
  }

  void Submit(const std::shared_ptr<Flight>& flight) {
    const PlannedRequest& request = *flight->request;
    const LoadClass& row = *request.request_class;
    flight->submissions += 1;
    flight->sent_at = Clock::now();
    flight->buffer.clear();
    flight->text.clear();
    flight->saw_first = false;
    flight->saw_end = false;
    flight->stream_error.clear();
    HttpCall call;
    call.method = "POST";
    call.url = options_.nodes[flight->node] + "/v1/completions";
    call.body = Json{{"model", row.model},
                     {"prompt", request.prompt},
                     {"max_tokens", row.output_tokens},
                     {"stream", request.stream}}
                    .dump();
    call.headers = {"Content-Type: application/json", "X-Tenant: " + options_.tenant, "X-Request-Class: " + row.name};
    if (!row.repeatable) {
      call.headers.push_back("X-Not-Repeatable: true");
      call.headers.push_back("Idempotency-Key: " + request.idempotency_key);
      if (!flight->may_have_run) call.headers.push_back("X-First-Submission: true");
    }
    call.timeout = kCallTimeout;
    call.on_data = [flight](std::string_view data) { OnData(*flight, data); };
    call.on_done = [this, flight](HttpResult result, long status, const std::string& body) {
      OnDone(flight, result, status, body);
    };
    http_.Begin(std::move(call));
  }

  static void OnData(Flight& flight, std::string_view data) {
    if (!flight.saw_first) flight.first_at = Clock::now();
    flight.saw_first = true;
    flight.buffer.append(data);
    if (!flight.request->stream) return;
    std::size_t begin = 0;
    for (std::size_t end = flight.buffer.find("\n\n"); end != std::string::npos;
         end = flight.buffer.find("\n\n", begin)) {
      TakeEvent(flight, flight.buffer.substr(begin, end - begin));
      begin = end + 2;
    }
    flight.buffer.erase(0, begin);
  }

  static void TakeEvent(Flight& flight, const std::string& event) {
    constexpr std::size_t kPrefixBytes = 6;  // "data: "
    if (event == "data: [DONE]") {
      flight.saw_end = true;
      return;
    }
    const absl::StatusOr<Json> json = ParseBoundedJson(event.substr(std::min(kPrefixBytes, event.size())));
    if (!json.ok()) return;
    if (json->contains("error")) {
      flight.stream_error = StringAt(*json, kOutcomeOfError, "unknown");
      return;
    }
    flight.text += StringAt(*json, kTextOfChoice, "");
  }

  void OnDone(const std::shared_ptr<Flight>& flight, HttpResult result, long status, const std::string& body) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string outcome = OutcomeOf(*flight, result, status, body);
    const bool once = !flight->request->request_class->repeatable;
    const bool unsettled = outcome == "unknown" || outcome == "cut_off" || outcome == "unreachable";
    const bool again = unsettled && (once || outcome == "unreachable") && flight->submissions <= options_.resubmissions;
    flight->may_have_run = flight->may_have_run || outcome == "unknown" || outcome == "cut_off";
    if (again) {
      flight->node = (flight->node + 1) % options_.nodes.size();
      resubmissions_.push_back({Clock::now() + kResubmitPause, flight});
      return;
    }
    Count(*flight, outcome, once);
    --open_;
    ended_.notify_all();
  }

  static std::string OutcomeOf(Flight& flight, HttpResult result, long status, const std::string& body) {
    if (result == HttpResult::kNotSent) return "unreachable";
    if (result != HttpResult::kAnswered) return "cut_off";
    if (status != kOk) {
      const absl::StatusOr<Json> json = ParseBoundedJson(body);
      if (!json.ok() || !json->contains("error")) return "cut_off";
      return StringAt(*json, kOutcomeOfError, "unknown");
    }
    if (flight.request->stream) {
      if (!flight.stream_error.empty()) return flight.stream_error;
      if (!flight.saw_end) return "cut_off";
    } else {
      const absl::StatusOr<Json> json = ParseBoundedJson(flight.buffer);
      if (!json.ok()) return "cut_off";
      flight.text = StringAt(*json, kTextOfChoice, "");
    }
    const std::uint64_t prompt_hash = HashText(flight.request->prompt);
    const std::string expected = TokenTexts(prompt_hash, 0, flight.request->request_class->output_tokens);
    return flight.text == expected ? "answered" : "wrong";
  }

  void Count(const Flight& flight, const std::string& outcome, bool once) {
    LoadCounts& counts = report_.counts;
    if (outcome == "answered") {
      counts.answered += 1;
      const double whole = MillisecondsBetween(flight.sent_at, Clock::now());
      const double first = MillisecondsBetween(flight.sent_at, flight.first_at);
      report_.times.whole.push_back(whole);
      const std::uint32_t tokens = flight.request->request_class->output_tokens;
      if (flight.request->stream) report_.times.first_token.push_back(first);
      if (flight.request->stream && tokens > 1) report_.times.between_tokens.push_back((whole - first) / (tokens - 1));
      if (once) report_.completed_keys.push_back(options_.tenant + "/" + flight.request->idempotency_key);
    } else if (outcome == "not_run") {
      counts.not_run += 1;
      if (once) report_.not_run_keys.push_back(options_.tenant + "/" + flight.request->idempotency_key);
    } else if (outcome == "wrong") {
      counts.wrong += 1;
    } else if (outcome == "cut_off") {
      counts.cut_off += 1;
    } else if (outcome == "unreachable") {
      counts.unreachable += 1;
    } else {
      counts.unknown += 1;
    }
  }

  LoadRunOptions options_;
  std::vector<PlannedRequest> requests_;
  std::size_t next_node_ = 0;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::uint64_t open_ = 0;
  LoadReport report_;
  std::vector<Resubmission> resubmissions_;
  HttpClient http_;  // Last: its thread uses all of the above.
};

}  // namespace

LoadReport RunLoad(const LoadPlan& plan, const LoadRunOptions& options) { return LoadRun(plan, options).Run(); }

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  const auto index = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
  return values[index];
}

}  // namespace saltquay
