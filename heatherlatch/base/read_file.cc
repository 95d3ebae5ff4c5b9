#include "heatherlatch/base/read_file.h"

#include <fstream>
#include <iterator>

namespace heatherlatch {

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  try {
    return std::string(std::istreambuf_iterator<char>(file),
                       std::istreambuf_iterator<char>());
  } catch (const std::ios_base::failure&) {
    return std::nullopt;  // For example, a directory.
  }
}

}  // namespace heatherlatch
