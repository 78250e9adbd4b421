// Processes that end by each signal.
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/base/crash_reporter.h"
#include "src/base/log_stream.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace saltquay {
namespace {

using nlohmann::json;
using testing::HasSubstr;

struct End {
  int status = 0;
  std::vector<json> lines;
};

// Runs the function in a child process whose crash reporter writes to a pipe.
template <typename Function>
End RunChild(Function function) {
  std::array<int, 2> ends{};
  EXPECT_EQ(pipe(ends.data()), 0);
  const pid_t child = fork();
  if (child == 0) {
    close(ends[0]);
    InstallCrashReporter(ends[1], "node-1");
    function(ends[1]);
    _exit(0);
  }
  close(ends[1]);
  std::string text;
  std::array<char, 4096> piece{};
  for (ssize_t size = 0; (size = read(ends[0], piece.data(), piece.size())) > 0;) {
    text.append(piece.data(), static_cast<std::size_t>(size));
  }
  close(ends[0]);
  End end;
  waitpid(child, &end.status, 0);
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) end.lines.push_back(json::parse(line));
  return end;
}

struct TimedEnd {
  int status = 0;
  std::chrono::milliseconds after{};
};

// Waits for the child's end; kills it after 10 s.
TimedEnd WaitForEnd(pid_t child) {
  using std::chrono::steady_clock;
  const auto start = steady_clock::now();
  TimedEnd end;
  while (waitpid(child, &end.status, WNOHANG) == 0) {
    if (steady_clock::now() - start > std::chrono::seconds(10)) {
      kill(child, SIGKILL);
      waitpid(child, &end.status, 0);
      break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  end.after = std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - start);
  return end;
}

// A process may be started with SIGALRM ignored and blocked.
enum class AlarmAtStart { kDefault, kDisabled };

// Crashes a child by SIGSEGV while its reporter writes to `file_descriptor`, which blocks.
TimedEnd CrashWritingTo(int file_descriptor, AlarmAtStart alarm) {
  const pid_t child = fork();
  if (child != 0) return WaitForEnd(child);
  if (alarm == AlarmAtStart::kDisabled) {
    std::signal(SIGALRM, SIG_IGN);
    sigset_t blocked;
    sigemptyset(&blocked);
    sigaddset(&blocked, SIGALRM);
    sigprocmask(SIG_BLOCK, &blocked, nullptr);
  }
  InstallCrashReporter(file_descriptor, "node-1");
  // The log holds lines, but has another descriptor: it makes its own non-blocking.
  std::array<int, 2> ends{};
  if (pipe(ends.data()) != 0) _exit(1);
  LogStreamOptions options;
  options.file_descriptor = ends[1];
  LogStream log(options);
  SetCrashLog(&log);
  for (int i = 0; i < 4000; ++i) log.Write(1, EventId::kRequestFailed, "r1", "");
  raise(SIGSEGV);
  _exit(0);
}

// Each level keeps an object with a destructor, so that the call is no tail call.
std::size_t Recurse(std::size_t level) {  // NOLINT(misc-no-recursion)
  const std::string text(level % 7, 'x');
  return level == 0 ? 0 : Recurse(level + 1) + text.size();
}

[[gnu::noinline]] void AccessInvalidAddress() {
  volatile std::uintptr_t address = 16;           // Volatile, so that the compiler does not see through it.
  *reinterpret_cast<volatile int*>(address) = 1;  // NOLINT(performance-no-int-to-ptr)
}

[[gnu::noinline]] void Throw() { throw std::runtime_error("unhandled"); }

// Guards against processes that end by a signal without a line that tells it.
TEST(CrashReporterTest, TellsTheSignalAndEndsByIt) {
  for (const auto& [number, name] : {std::pair{SIGSEGV, "SIGSEGV"},
                                     {SIGBUS, "SIGBUS"},
                                     {SIGABRT, "SIGABRT"},
                                     {SIGFPE, "SIGFPE"},
                                     {SIGILL, "SIGILL"}}) {
    const End end = RunChild([number = number](int) {
      SetCrashOpenRequests(7);
      raise(number);
    });
    EXPECT_TRUE(WIFSIGNALED(end.status));
    EXPECT_EQ(WTERMSIG(end.status), number);
    ASSERT_EQ(end.lines.size(), 2U) << name;
    EXPECT_EQ(end.lines[0]["name"], "node_crashed");
    EXPECT_EQ(end.lines[0]["process"], "node-1");
    EXPECT_EQ(end.lines[0]["signal"], name);
    EXPECT_EQ(end.lines[0]["stack_overflow"], false);
    EXPECT_EQ(end.lines[0]["open_requests"], 7);
    EXPECT_FALSE(end.lines[0].contains("activities"));
    EXPECT_EQ(end.lines[1]["name"], "node_crash_stack");
    EXPECT_THAT(end.lines[1]["stack"].dump(), HasSubstr("raise"));
  }
}

TEST(CrashReporterTest, TellsAnInvalidAccess) {
  const End end = RunChild([](int) { AccessInvalidAddress(); });
  EXPECT_EQ(WTERMSIG(end.status), SIGSEGV);
  ASSERT_EQ(end.lines.size(), 2U);
  EXPECT_EQ(end.lines[0]["stack_overflow"], false);
  EXPECT_THAT(end.lines[1]["stack"][0].get<std::string>(), HasSubstr("AccessInvalidAddress"));
}

TEST(CrashReporterTest, TellsAnExceptionThatNobodyCatches) {
  const End end = RunChild([](int) noexcept { Throw(); });
  EXPECT_EQ(WTERMSIG(end.status), SIGABRT);
  ASSERT_EQ(end.lines.size(), 2U);
  EXPECT_EQ(end.lines[0]["signal"], "SIGABRT");
  EXPECT_THAT(end.lines[1]["stack"].dump(), HasSubstr("Throw()"));
}

// The stack has no room left for a handler, and the calls that recurse fill what a line has room for.
TEST(CrashReporterTest, TellsAStackOverflowAndWhereItBegan) {
  const End end = RunChild([](int) { _exit(static_cast<int>(Recurse(1))); });
  EXPECT_EQ(WTERMSIG(end.status), SIGSEGV);
  ASSERT_EQ(end.lines.size(), 2U);
  EXPECT_EQ(end.lines[0]["stack_overflow"], true);
  EXPECT_GT(end.lines[1]["depth"], 1000);
  const std::string stack = end.lines[1]["stack"].dump();
  EXPECT_THAT(stack, HasSubstr("Recurse() x "));
  EXPECT_THAT(stack, HasSubstr("TellsAStackOverflowAndWhereItBegan"));
}

TEST(CrashReporterTest, TellsWhatTheProcessWasDoing) {
  const End end = RunChild([](int) {
    const ScopedActivity response("read response", "servers", "");
    { const ScopedActivity done("read record", "servers", "another", 3, 90); }
    const ScopedActivity record("read record", "servers", "a\xc4\x9f \"x\"\n" + std::string(1000, 'y'), -5, 200000);
    raise(SIGSEGV);
  });
  ASSERT_EQ(end.lines.size(), 2U);
  const json& activities = end.lines[0]["activities"];
  ASSERT_EQ(activities.size(), 2U);
  EXPECT_EQ(activities[0]["action"], "read record");
  EXPECT_EQ(activities[0]["kind"], "servers");
  EXPECT_TRUE(activities[0]["object"].get<std::string>().starts_with("a\xc4\x9f \"x\"\nyyy"));
  EXPECT_LE(activities[0]["object"].get<std::string>().size(), 128U);
  EXPECT_EQ(activities[0]["revision"], -5);
  EXPECT_EQ(activities[0]["bytes"], 200000);
  EXPECT_EQ(activities[1]["action"], "read response");
}

// Guards against a crash that takes the lines before it with it.
TEST(CrashReporterTest, WritesTheLinesThatTheLogHolds) {
  const End end = RunChild([](int file_descriptor) {
    LogStreamOptions options;
    options.file_descriptor = file_descriptor;
    LogStream log(options);
    SetCrashLog(&log);
    for (int i = 0; i < 100; ++i) log.Write(1, EventId::kRequestRouted, "r1", "");
    raise(SIGSEGV);
  });
  ASSERT_EQ(end.lines.size(), 102U);
  EXPECT_EQ(end.lines[99]["name"], "request_routed");
  EXPECT_EQ(end.lines[100]["name"], "node_crashed");
}

// Nobody reads the pipe.
TEST(CrashReporterTest, EndsThoughTheReaderTakesNothing) {
  std::array<int, 2> ends{};
  ASSERT_EQ(pipe(ends.data()), 0);
  const pid_t child = fork();
  if (child == 0) {
    InstallCrashReporter(ends[1], "node-1");
    LogStreamOptions options;
    options.file_descriptor = ends[1];
    LogStream log(options);
    SetCrashLog(&log);
    for (int i = 0; i < 4000; ++i) log.Write(1, EventId::kRequestFailed, "r1", "");
    raise(SIGSEGV);
    _exit(0);
  }
  int status = 0;
  waitpid(child, &status, 0);
  EXPECT_EQ(WTERMSIG(status), SIGSEGV);
  close(ends[0]);
  close(ends[1]);
}

// Guards against a crash whose report waits for a reader, and against its end by SIGALRM.
TEST(CrashReporterTest, EndsByItsSignalThoughABlockingPipeIsFull) {
  for (const bool full : {false, true}) {
    for (const AlarmAtStart alarm : {AlarmAtStart::kDefault, AlarmAtStart::kDisabled}) {
      std::array<int, 2> ends{};
      ASSERT_EQ(pipe(ends.data()), 0);
      if (full) {
        fcntl(ends[1], F_SETFL, O_NONBLOCK);
        while (write(ends[1], "x", 1) == 1) {
        }
        fcntl(ends[1], F_SETFL, 0);
      }
      const TimedEnd end = CrashWritingTo(ends[1], alarm);
      EXPECT_EQ(WTERMSIG(end.status), SIGSEGV) << "full: " << full << ", SIGALRM: " << static_cast<int>(alarm);
      EXPECT_LT(end.after, std::chrono::milliseconds(1500));
      close(ends[0]);
      close(ends[1]);
    }
  }
}

// A terminal that is ready may have room for a part of a write only. Guards against a process that a report which hangs
// keeps alive.
TEST(CrashReporterTest, EndsByItsSignalThoughAWriteHangs) {
  for (const AlarmAtStart alarm : {AlarmAtStart::kDefault, AlarmAtStart::kDisabled}) {
    const int reader = posix_openpt(O_RDWR | O_NOCTTY);
    ASSERT_GE(reader, 0);
    ASSERT_EQ(grantpt(reader), 0);
    ASSERT_EQ(unlockpt(reader), 0);
    std::array<char, 64> name{};
    ASSERT_EQ(ptsname_r(reader, name.data(), name.size()), 0);
    const int terminal = open(name.data(), O_RDWR | O_NOCTTY);
    ASSERT_GE(terminal, 0);
    const TimedEnd end = CrashWritingTo(terminal, alarm);
    EXPECT_EQ(WTERMSIG(end.status), SIGSEGV) << "SIGALRM: " << static_cast<int>(alarm);
    EXPECT_GT(end.after, std::chrono::seconds(4)) << "no write hung";
    EXPECT_LT(end.after, std::chrono::seconds(7));
    close(terminal);
    close(reader);
  }
}

}  // namespace
}  // namespace saltquay
