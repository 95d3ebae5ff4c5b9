// Reads a whole file.
//
// Thread safety: a pure function of the file.
#ifndef HEATHERLATCH_BASE_READ_FILE_H_
#define HEATHERLATCH_BASE_READ_FILE_H_

#include <optional>
#include <string>

namespace heatherlatch {

// @return the bytes of the file, or none where it cannot be read
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_BASE_READ_FILE_H_
