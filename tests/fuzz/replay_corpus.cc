// Replays a corpus through a libFuzzer target's entry point, with any compiler. Usage: replay FOLDER
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <system_error>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv) {
  if (argc != 2) return EXIT_FAILURE;
  std::error_code error;
  int replayed = 0;
  for (const auto& entry : std::filesystem::directory_iterator(argv[1], error)) {
    std::ifstream file(entry.path(), std::ios::binary);
    const std::vector<char> bytes{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    std::cout << entry.path().filename().string() << ": " << bytes.size() << " bytes" << std::endl;
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    ++replayed;
  }
  if (replayed == 0) std::cerr << "no corpus in " << argv[1] << "\n";
  return replayed > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
