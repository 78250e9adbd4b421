#include "src/simulation/hollow_memory.h"

#include <unistd.h>

#include <fstream>

namespace saltquay {

double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace saltquay
