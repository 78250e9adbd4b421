// Cost of reading the records of engines from the platform's store: a list of several pages, by its number of records.
#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "platform/records.h"
#include "platform/store_response.h"

namespace saltquay::platform {
namespace {

constexpr int kPageEntries = 500;

std::string MakeEntry(int index) {
  return fmt::format(
      R"({{"metadata":{{"name":"i-{0:08x}","revision":{1},"made":1796437374827,"finalizers":[],"deleting":false}},)"
      R"("spec":{{"service":"chat-{2}","address":"10.{3}.{4}.7:8441","zone":"zone-{3}","slots":64,"state":"ready",)"
      R"("stage":"decode","sequence":{2},"spot":false,"born":1796289000123,"version":"2026.12.{2}"}},)"
      R"("status":{{"cold_remaining_ms":0,"note":"in service"}}}})",
      index * 7919, index + 1, index % 9, index % 6, index % 250);
}

// Returns the pages of a list of `entries` records.
std::vector<std::string> MakePages(int entries) {
  std::vector<std::string> pages;
  for (int first = 0; first < entries; first += kPageEntries) {
    std::string items;
    for (int i = first; i < std::min(first + kPageEntries, entries); ++i) {
      items += (i > first ? "," : "") + MakeEntry(i);
    }
    pages.push_back(fmt::format(R"({{"items":[{}],"more":true,"at":100000}})", items));
  }
  return pages;
}

void DecodeList(benchmark::State& state) {
  const std::vector<std::string> pages = MakePages(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    for (const std::string& page : pages) benchmark::DoNotOptimize(DecodeListPage(page));
  }
  state.counters["s/record"] = benchmark::Counter(
      static_cast<double>(state.range(0)), benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}
BENCHMARK(DecodeList)->Arg(100)->Arg(3000)->Unit(benchmark::kMillisecond);

void DecodeListAndRecords(benchmark::State& state) {
  const std::vector<std::string> pages = MakePages(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    for (const std::string& page : pages) {
      const absl::StatusOr<ListPage> decoded = DecodeListPage(page);
      for (const gateway::StoredObject& object : decoded->items) benchmark::DoNotOptimize(ParseEngine(object));
    }
  }
  state.counters["s/record"] = benchmark::Counter(
      static_cast<double>(state.range(0)), benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}
BENCHMARK(DecodeListAndRecords)->Arg(100)->Arg(3000)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace saltquay::platform
