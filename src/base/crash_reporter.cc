#include "src/base/crash_reporter.h"

#include <execinfo.h>
#include <limits.h>
#include <poll.h>
#include <sys/ucontext.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstring>
#include <ctime>
#include <utility>

#include "absl/debugging/symbolize.h"
#include "src/base/event_catalogue.h"
#include "src/base/log_stream.h"

namespace saltquay {
namespace {

constexpr std::size_t kHandlerStackBytes = 256 * 1024;
constexpr std::size_t kMaxFrames = 128 * 1024;
constexpr std::size_t kMaxLoggedFrames = 48;
constexpr std::size_t kMaxSymbolBytes = 256;
constexpr std::size_t kMaxLineBytes = 32 * 1024;
constexpr std::size_t kStackNeighborhoodBytes = 64 * 1024;
constexpr unsigned kMaxHandlerSeconds = 5;
constexpr int kMaxWriteWaitMs = 100;
constexpr int kHex = 16;

struct Signal {
  int number;
  std::string_view name;
};
constexpr std::array<Signal, 5> kSignals{
    {{SIGSEGV, "SIGSEGV"}, {SIGBUS, "SIGBUS"}, {SIGABRT, "SIGABRT"}, {SIGFPE, "SIGFPE"}, {SIGILL, "SIGILL"}}};

// All of it has to exist before the crash: a signal handler must not allocate.
struct Reporter {
  int file_descriptor = -1;
  Activity::Text process_name{};
  std::atomic<const LogStream*> log = nullptr;
  std::atomic<std::size_t> open_requests = 0;
  std::atomic<int> signal = 0;  // The one that is being reported.
  std::array<char, kHandlerStackBytes> stack{};
  std::array<void*, kMaxFrames> frames{};
  std::array<char, kMaxLineBytes> line{};
};
Reporter reporter;
thread_local const Activity* current_activity = nullptr;

void CopyText(std::string_view text, Activity::Text& to) {
  const std::size_t size = std::min(text.size(), to.size() - 1);
  std::memcpy(to.data(), text.data(), size);
  to[size] = '\0';
}

// Builds the line in its fixed buffer; what has no room is left out.
class LineWriter {
 public:
  void Add(std::string_view text) {
    const std::size_t size = std::min(text.size(), reporter.line.size() - size_);
    std::memcpy(reporter.line.data() + size_, text.data(), size);
    size_ += size;
  }

  template <typename Number>
  void AddNumber(Number number, int base = 10) {
    std::array<char, 32> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
    Add({digits.data(), static_cast<std::size_t>(end - digits.data())});
  }

  // Adds text as the inside of a JSON string.
  void AddEscaped(std::string_view text) {
    EscapeJsonTo(text, [this](std::string_view piece) { Add(piece); });
  }

  std::size_t room() const { return reporter.line.size() - size_; }
  std::string_view text() const { return {reporter.line.data(), size_}; }

 private:
  std::size_t size_ = 0;
};

// Writes what the reader takes. The descriptor may be a blocking one: a pipe that is ready has room for PIPE_BUF bytes.
void WriteAll(int file_descriptor, std::string_view text) {
  while (!text.empty()) {
    pollfd ready{file_descriptor, POLLOUT, 0};
    const int polled = poll(&ready, 1, kMaxWriteWaitMs);
    if (polled < 0 && errno == EINTR) continue;
    if (polled <= 0 || ready.revents != POLLOUT) return;
    const ssize_t count = write(file_descriptor, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
    if (count > 0) {
      text.remove_prefix(static_cast<std::size_t>(count));
    } else if (errno != EINTR && errno != EAGAIN) {
      return;
    }
  }
}

struct Registers {
  std::uintptr_t program_counter = 0;
  std::uintptr_t stack_pointer = 0;
};

Registers RegistersOf(const void* context) {
  const auto& machine = static_cast<const ucontext_t*>(context)->uc_mcontext;
#if defined(__aarch64__)
  return {machine.pc, machine.sp};
#elif defined(__x86_64__)
  return {static_cast<std::uintptr_t>(machine.gregs[REG_RIP]), static_cast<std::uintptr_t>(machine.gregs[REG_RSP])};
#else
  static_cast<void>(machine);
  return {};
#endif
}

// Returns whether the fault is an access just beyond the stack pointer.
bool IsStackOverflow(const siginfo_t& info, const Registers& registers) {
  if (info.si_signo != SIGSEGV || info.si_code <= 0) return false;
  const auto address = reinterpret_cast<std::uintptr_t>(info.si_addr);
  const std::uintptr_t distance =
      std::max(address, registers.stack_pointer) - std::min(address, registers.stack_pointer);
  return distance < kStackNeighborhoodBytes;
}

void AddActivity(const Activity& activity, LineWriter& line) {
  line.Add(R"({"action":")");
  line.AddEscaped(activity.action);
  line.Add(R"(","kind":")");
  line.AddEscaped(activity.kind.data());
  line.Add(R"(","object":")");
  line.AddEscaped(activity.object.data());
  line.Add(R"(","revision":)");
  line.AddNumber(activity.revision);
  line.Add(R"(,"bytes":)");
  line.AddNumber(activity.bytes);
  line.Add("}");
}

void AddFrame(void* address, std::size_t repeats, LineWriter& line) {
  std::array<char, kMaxSymbolBytes> symbol{};
  if (absl::Symbolize(address, symbol.data(), static_cast<int>(symbol.size()))) {
    line.AddEscaped(symbol.data());
  } else {
    line.Add("0x");
    line.AddNumber(reinterpret_cast<std::uintptr_t>(address), kHex);
  }
  if (repeats == 1) return;
  line.Add(" x ");
  line.AddNumber(repeats);
}

// Adds the frames from the innermost one on. Frames of one call site in a row, as recursion has them, count as one.
void AddStack(const Registers& registers, LineWriter& line) {
  const int depth = backtrace(reporter.frames.data(), static_cast<int>(reporter.frames.size()));
  auto* const end = reporter.frames.data() + std::max(depth, 0);
  // The frames before are the handler's.
  auto* at = std::find_if(reporter.frames.data(), end, [&](void* frame) {
    return reinterpret_cast<std::uintptr_t>(frame) == registers.program_counter;
  });
  if (at == end) at = reporter.frames.data();
  line.Add(R"(,"depth":)");
  line.AddNumber(static_cast<std::uint64_t>(end - at));
  line.Add(R"(,"stack":[)");
  constexpr std::size_t kMaxFrameBytes = 2 * kMaxSymbolBytes;
  for (std::size_t logged = 0; at != end && logged < kMaxLoggedFrames && line.room() > kMaxFrameBytes; ++logged) {
    auto* const next = std::find_if(at, end, [at](void* frame) { return frame != *at; });
    line.Add(logged == 0 ? "\"" : ",\"");
    AddFrame(*at, static_cast<std::size_t>(next - at), line);
    line.Add("\"");
    at = next;
  }
  line.Add("]");
}

std::uint64_t UnixMilliseconds() {
  constexpr std::uint64_t kPerSecond = 1000;
  constexpr std::uint64_t kNanoseconds = 1000000;
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<std::uint64_t>(now.tv_sec) * kPerSecond + static_cast<std::uint64_t>(now.tv_nsec) / kNanoseconds;
}

void AddHead(EventId id, LineWriter& line) {
  const EventDescription& event = DescribeEvent(id);
  line.Add(R"({"time_ms":)");
  line.AddNumber(UnixMilliseconds());
  line.Add(R"(,"process":")");
  line.AddEscaped(reporter.process_name.data());
  line.Add(R"(","event":)");
  line.AddNumber(static_cast<std::uint64_t>(event.id));
  line.Add(R"(,"name":")");
  line.Add(event.name);
  line.Add(R"(","level":"error")");
}

std::string_view SignalName(int number) {
  const auto* const signal =
      std::find_if(kSignals.begin(), kSignals.end(), [&](const Signal& known) { return known.number == number; });
  return signal == kSignals.end() ? "unknown" : signal->name;
}

void WriteCrashLine(const siginfo_t& info, const Registers& registers) {
  LineWriter line;
  AddHead(EventId::kNodeCrashed, line);
  line.Add(R"(,"signal":")");
  line.Add(SignalName(info.si_signo));
  line.Add(R"(","stack_overflow":)");
  line.Add(IsStackOverflow(info, registers) ? "true" : "false");
  line.Add(R"(,"open_requests":)");
  line.AddNumber(reporter.open_requests.load());
  for (const Activity* activity = current_activity; activity != nullptr; activity = activity->outer) {
    line.Add(activity == current_activity ? R"(,"activities":[)" : ",");
    AddActivity(*activity, line);
  }
  if (current_activity != nullptr) line.Add("]");
  line.Add("}\n");
  WriteAll(reporter.file_descriptor, line.text());
}

void WriteStackLine(const Registers& registers) {
  LineWriter line;
  AddHead(EventId::kNodeCrashStack, line);
  AddStack(registers, line);
  line.Add("}\n");
  WriteAll(reporter.file_descriptor, line.text());
}

void ChangeMask(int how, int number) {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, number);
  pthread_sigmask(how, &set, nullptr);
}

// Handles SIGALRM: ends the process by the signal whose report took too long.
void EndBySignal(int /*alarm*/) {
  const int number = reporter.signal.load();
  std::signal(number, SIG_DFL);
  ChangeMask(SIG_UNBLOCK, number);
  raise(number);
}

// The process may have been started with SIGALRM ignored or blocked.
void LimitReportTime(int number) {
  reporter.signal.store(number);
  struct sigaction action {};
  action.sa_handler = EndBySignal;
  action.sa_flags = SA_ONSTACK;
  sigaction(SIGALRM, &action, nullptr);
  ChangeMask(SIG_UNBLOCK, SIGALRM);
  alarm(kMaxHandlerSeconds);
}

void Report(int number, siginfo_t* info, void* context) {
  LimitReportTime(number);
  if (const LogStream* const log = reporter.log.load()) WriteAll(reporter.file_descriptor, log->buffered());
  const Registers registers = RegistersOf(context);
  WriteCrashLine(*info, registers);
  // A line of its own, and the last one: walking a damaged stack may fail.
  WriteStackLine(registers);
  // The handler was reset, so the default action follows once the signal is unblocked.
  raise(number);
}

}  // namespace

void InstallCrashReporter(int file_descriptor, std::string_view process_name) {
  reporter.file_descriptor = file_descriptor;
  CopyText(process_name, reporter.process_name);
  absl::InitializeSymbolizer(nullptr);
  // The first call loads the unwinder, which allocates.
  backtrace(reporter.frames.data(), 1);
  stack_t stack{};
  stack.ss_sp = reporter.stack.data();
  stack.ss_size = reporter.stack.size();
  sigaltstack(&stack, nullptr);
  struct sigaction action {};
  action.sa_sigaction = Report;
  action.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
  for (const Signal& signal : kSignals) sigaction(signal.number, &action, nullptr);
}

void SetCrashLog(const LogStream* log) { reporter.log = log; }

void SetCrashOpenRequests(std::size_t count) { reporter.open_requests.store(count, std::memory_order_relaxed); }

ScopedActivity::ScopedActivity(std::string_view action, std::string_view kind, std::string_view object,
                               std::int64_t revision, std::size_t bytes) {
  activity_.action = action;
  CopyText(kind, activity_.kind);
  CopyText(object, activity_.object);
  activity_.revision = revision;
  activity_.bytes = bytes;
  activity_.outer = current_activity;
  current_activity = &activity_;
}

ScopedActivity::~ScopedActivity() { current_activity = activity_.outer; }

}  // namespace saltquay
