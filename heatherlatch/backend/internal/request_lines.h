// Converts the parts of a request to the form that libcurl expects and prevents
// header injection: a line break in a value cannot begin a new header.
//
// Thread safety: pure functions and value types.
#ifndef HEATHERLATCH_BACKEND_INTERNAL_REQUEST_LINES_H_
#define HEATHERLATCH_BACKEND_INTERNAL_REQUEST_LINES_H_

#include <curl/curl.h>

#include <string>
#include <string_view>
#include <vector>

#include "heatherlatch/backend/backend_client.h"

namespace heatherlatch::internal {

// @return `method` without the characters that are not allowed in a method
std::string MethodToken(std::string_view method);

// @return `target` with a leading slash, and with spaces, control characters
//     and bytes from 0x7f percent-encoded
std::string EncodeTarget(std::string_view target);

// Header lines as a libcurl list, in one block of memory. A header is skipped
// if its name is not a token or its value contains a line break or a NUL byte.
class HeaderLines {
 public:
  explicit HeaderLines(const HeaderList& headers);
  HeaderLines(const HeaderLines&) = delete;
  HeaderLines& operator=(const HeaderLines&) = delete;

  // @return the list, valid for the lifetime of this object
  curl_slist* get() { return nodes_.data(); }

 private:
  void Add(const std::string& name, const std::string& value);
  void AddLine(std::string_view name, std::string_view separator,
               std::string_view value);
  void LinkNodes();

  std::string text_;
  std::vector<std::size_t> line_starts_;
  std::vector<curl_slist> nodes_;
};

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_BACKEND_INTERNAL_REQUEST_LINES_H_
