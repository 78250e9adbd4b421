#include "src/base/deflate.h"

#include <zlib.h>

namespace saltquay {

std::string Deflate(std::string_view bytes) {
  uLongf length = compressBound(bytes.size());
  std::string deflated(length, '\0');
  compress(reinterpret_cast<Bytef*>(deflated.data()), &length, reinterpret_cast<const Bytef*>(bytes.data()),
           bytes.size());
  deflated.resize(length);
  return deflated;
}

std::optional<std::string> Inflate(std::string_view deflated, std::size_t size, std::size_t max_size) {
  if (size > max_size) return std::nullopt;
  std::string bytes(size, '\0');
  uLongf length = size;
  const int result = uncompress(reinterpret_cast<Bytef*>(bytes.data()), &length,
                                reinterpret_cast<const Bytef*>(deflated.data()), deflated.size());
  if (result != Z_OK || length != size) return std::nullopt;
  return bytes;
}

}  // namespace saltquay
