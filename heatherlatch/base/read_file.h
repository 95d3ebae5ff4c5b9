// Reads a complete file into memory.
//
// Thread safety: may be called from any thread.
#ifndef HEATHERLATCH_BASE_READ_FILE_H_
#define HEATHERLATCH_BASE_READ_FILE_H_

#include <optional>
#include <string>

namespace heatherlatch {

// @return the bytes of the file, or std::nullopt if it cannot be read
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_BASE_READ_FILE_H_
