#include "src/runtime/engine_client.h"

#include <memory>
#include <utility>

#include "src/runtime/engine_protocol.h"

namespace saltquay {
namespace {

constexpr std::chrono::milliseconds kStateTimeout{1000};
constexpr std::chrono::milliseconds kOrderTimeout{2000};
constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr std::chrono::milliseconds kNoTimeout{0};
constexpr long kOk = 200;
constexpr long kConflict = 409;

// Splits a stream into lines and posts each as a frame.
class FrameReader {
 public:
  FrameReader(EngineId engine, std::function<void(Event)> post) : engine_(engine), post_(std::move(post)) {}

  void OnData(std::string_view data) {
    buffer_.append(data);
    std::size_t begin = 0;
    for (std::size_t end = buffer_.find('\n', begin); end != std::string::npos; end = buffer_.find('\n', begin)) {
      absl::StatusOr<EngineFrame> frame = DecodeFrame(buffer_.substr(begin, end - begin));
      begin = end + 1;
      if (!frame.ok()) continue;  // The gap shows in the next offset.
      ended_ = ended_ || frame->finish != FinishReason::kNone;
      post_(EngineFrameReceived{engine_, std::move(*frame)});
    }
    buffer_.erase(0, begin);
  }

  bool ended() const { return ended_; }

 private:
  EngineId engine_;
  std::function<void(Event)> post_;
  std::string buffer_;
  bool ended_ = false;
};

AttemptFailure FailureOf(HttpResult result, long status, const std::string& body) {
  if (result == HttpResult::kNotSent) return AttemptFailure::kNotSent;
  if (result != HttpResult::kAnswered || status != kConflict) return AttemptFailure::kBroken;
  const absl::StatusOr<AttemptFailure> failure = DecodeFailure(body);
  return failure.ok() ? *failure : AttemptFailure::kBroken;
}

}  // namespace

void EngineClient::SetMachines(const MachineList& list) {
  const std::lock_guard<std::mutex> lock(mutex_);
  addresses_.clear();
  for (const Machine& machine : list.machines) {
    if (machine.kind == MachineKind::kEngine) addresses_[EngineId{machine.id}] = machine.address;
  }
}

std::string EngineClient::UrlOf(EngineId engine, const std::string& path) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto entry = addresses_.find(engine);
  return entry == addresses_.end() ? "" : "http://" + entry->second + path;
}

void EngineClient::BeginStream(EngineId engine, const AttemptId& attempt, const std::string& path, std::string body) {
  HttpCall call;
  call.method = "POST";
  call.url = UrlOf(engine, path);
  call.body = std::move(body);
  call.headers = {"Content-Type: application/json"};
  call.timeout = kNoTimeout;
  call.connect_timeout = kConnectTimeout;
  if (call.url.empty()) {
    post_(AttemptFailed{engine, attempt, AttemptFailure::kNotSent});
    return;
  }
  auto reader = std::make_shared<FrameReader>(engine, post_);
  call.on_data = [reader](std::string_view data) { reader->OnData(data); };
  call.on_done = [this, reader, engine, attempt](HttpResult result, long status, const std::string& answer) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      streams_.erase(attempt);
    }
    if (result == HttpResult::kCancelled || (reader->ended() && result == HttpResult::kAnswered)) return;
    if (reader->ended()) return;
    post_(AttemptFailed{engine, attempt, FailureOf(result, status, answer)});
  };
  // The lock orders this entry before on_done's erase.
  const std::lock_guard<std::mutex> lock(mutex_);
  streams_[attempt] = http_.Begin(std::move(call));
}

void EngineClient::Start(const StartAttempt& action) {
  BeginStream(action.engine, action.attempt.id, kEngineAttemptsPath, EncodeAttempt(action.attempt));
}

void EngineClient::Resume(const ResumeAttempt& action) {
  BeginStream(action.engine, action.attempt, kEngineResumePath,
              EncodeResume({action.boot, action.attempt, action.offset}));
}

void EngineClient::Cancel(const CancelAttempt& action) {
  HttpClient::CallId stream = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto entry = streams_.find(action.attempt);
    if (entry != streams_.end()) stream = entry->second;
  }
  if (stream != 0) http_.Cancel(stream);
  HttpCall call;
  call.method = "POST";
  call.url = UrlOf(action.engine, kEngineCancelPath);
  call.body = EncodeAttemptId(action.attempt);
  call.timeout = kStateTimeout;
  if (!call.url.empty()) http_.Begin(std::move(call));
}

void EngineClient::ReadState(const ReadEngineState& action) {
  HttpCall call;
  call.method = "POST";
  call.url = UrlOf(action.engine, kEngineStatePath);
  call.body = EncodeStateRequest({action.raise_fence, action.cache_events_after});
  call.timeout = kStateTimeout;
  call.connect_timeout = kConnectTimeout;
  const EngineId engine = action.engine;
  if (call.url.empty()) {
    post_(EngineStateRead{engine, std::nullopt});
    return;
  }
  call.on_done = [this, engine](HttpResult result, long status, const std::string& body) {
    EngineStateRead read{engine, std::nullopt};
    if (result == HttpResult::kAnswered && status == kOk) {
      absl::StatusOr<EngineState> state = DecodeState(body);
      if (state.ok() && state->engine == engine) read.state = std::move(*state);
    }
    post_(std::move(read));
  };
  http_.Begin(std::move(call));
}

void EngineClient::SendOrder(const saltquay::SendOrder& action) {
  HttpCall call;
  call.method = "POST";
  call.url = UrlOf(action.engine, kEngineOrdersPath);
  call.body = EncodeOrder(action.order);
  call.timeout = kOrderTimeout;
  call.connect_timeout = kConnectTimeout;
  const EngineId engine = action.engine;
  const FenceToken token = action.order.token;
  call.on_done = [this, engine, token](HttpResult result, long status, const std::string& body) {
    OrderAnswered answered{engine, token, std::nullopt};
    if (result == HttpResult::kAnswered && status == kOk) {
      const absl::StatusOr<OrderVerdict> verdict = DecodeVerdict(body);
      if (verdict.ok()) answered.verdict = *verdict;
    }
    post_(answered);
  };
  if (!call.url.empty()) http_.Begin(std::move(call));
}

}  // namespace saltquay
