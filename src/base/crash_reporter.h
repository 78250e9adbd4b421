// Structured log lines when a signal ends the process: the signal and what the process was doing, then its stack.
//
// Covers SIGSEGV (also by stack overflow), SIGBUS, SIGABRT, SIGFPE and SIGILL. The signal's default action follows.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace saltquay {

class LogStream;

// Installs the signal handlers. The lines go to the descriptor, after those that the log of SetCrashLog holds.
void InstallCrashReporter(int file_descriptor, std::string_view process_name);

// Sets the log whose buffered lines are written before the line of a crash; null: none. It must stay valid until it is
// replaced. Lines are lost if the signal interrupts an append to the buffer, or if the reader takes none for
// a tenth of a second.
void SetCrashLog(const LogStream* log);

// Sets the number of open requests, for the line of a crash.
void SetCrashOpenRequests(std::size_t count);

// What the process is doing, as far as the line of a crash tells it.
struct Activity {
  using Text = std::array<char, 128>;

  std::string_view action;  // Of static storage duration, e.g. "read record".
  Text kind{};              // Ends with a zero, as `object`.
  Text object{};
  std::int64_t revision = 0;
  std::size_t bytes = 0;
  const Activity* outer = nullptr;
};

// Adds an activity to those of the thread for its lifetime. Texts are cut off at the size of Activity::Text.
class ScopedActivity {
 public:
  ScopedActivity(std::string_view action, std::string_view kind, std::string_view object, std::int64_t revision = 0,
                 std::size_t bytes = 0);
  ~ScopedActivity();
  ScopedActivity(const ScopedActivity&) = delete;
  ScopedActivity& operator=(const ScopedActivity&) = delete;

 private:
  Activity activity_;
};

}  // namespace saltquay
