// Writes the parts of a request in the form that libcurl takes, so that no part
// can change another: a line break in a header cannot begin a new header.
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

// @return `method` without the characters that a method must not contain
std::string MethodToken(std::string_view method);

// @return `target` with the bytes that it must not contain percent-encoded, and
//     with a leading slash
std::string EncodeTarget(std::string_view target);

// Header lines as a libcurl list, in one block of memory. A header is left out
// if its name is not a token or its value holds a line break.
class HeaderLines {
 public:
  explicit HeaderLines(const HeaderList& headers);
  HeaderLines(const HeaderLines&) = delete;
  HeaderLines& operator=(const HeaderLines&) = delete;

  // @return the list, valid while this object lives
  curl_slist* get() { return nodes_.data(); }

 private:
  void Add(const std::string& name, const std::string& value);
  void AddLine(std::string_view name, std::string_view separator,
               std::string_view value);
  void Link();

  std::string text_;
  std::vector<std::size_t> line_starts_;
  std::vector<curl_slist> nodes_;
};

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_BACKEND_INTERNAL_REQUEST_LINES_H_
