// libFuzzer target: the explainer of logs, whose lines hold names and texts of others.
#include <cstddef>
#include <cstdint>
#include <sstream>
#include <string>

#include "src/gateway/log_explainer.h"

namespace saltquay::gateway {
namespace {

void Decode(const std::uint8_t* data, std::size_t size) {
  std::istringstream log(std::string(reinterpret_cast<const char*>(data), size));
  LogExplainer explainer;
  explainer.Read(log, "log");
  for (const auto& lines :
       {explainer.Request("r"), explainer.Engine("e"), explainer.Fingerprint("f"), explainer.UsageWindow(7)}) {
    for (const LogLine& line : lines) (void)FormatLogLine(line);
  }
}

}  // namespace
}  // namespace saltquay::gateway

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  saltquay::gateway::Decode(data, size);
  return 0;
}
