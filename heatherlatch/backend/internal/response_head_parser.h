// Parses the head (status line and headers) of an HTTP/1.1 response from the
// lines that libcurl delivers.
//
// The parser determines how the end of the body is marked and rejects heads in
// which this is ambiguous: Content-Length together with chunked coding,
// Content-Length values that differ or are not numbers, and transfer codings
// other than chunked. Interim responses (status 1xx) are skipped; status 101 is
// rejected.
//
// Thread safety: not thread-safe. Performs no I/O.
#ifndef HEATHERLATCH_BACKEND_INTERNAL_RESPONSE_HEAD_PARSER_H_
#define HEATHERLATCH_BACKEND_INTERNAL_RESPONSE_HEAD_PARSER_H_

#include <optional>
#include <string>
#include <string_view>

#include "heatherlatch/backend/backend_client.h"

namespace heatherlatch::internal {

// How the end of a body is marked.
enum class BodyEnd { kNone, kLength, kFinalChunk, kConnectionClose };

enum class HeadProgress { kIncomplete, kComplete, kMalformed };

class ResponseHeadParser {
 public:
  // @param head_request  whether the method is HEAD; its response has no body
  explicit ResponseHeadParser(bool head_request)
      : head_request_(head_request) {}

  // Parses one line, with or without its line end; an empty line ends the head.
  // Lines after `kComplete` are trailers and must not be passed in.
  HeadProgress ParseLine(std::string_view line);

  // The following accessors are valid after `kComplete`.
  const ResponseHead& head() const { return head_; }
  BodyEnd body_end() const { return body_end_; }
  const ServerStatus& server_status() const { return server_status_; }
  // @return why the server refused to run the request, if the status is 503 and
  //     `X-Not-Run` has a known value
  std::optional<BackendNotRunReason> refusal() const;
  // @return the `X-Request-Id` of the response; empty if it has none
  const std::string& request_id() const { return request_id_; }

 private:
  HeadProgress ParseStatusLine(std::string_view line);
  HeadProgress ParseHeader(std::string_view name, std::string_view value);
  HeadProgress ParseContentLength(std::string_view value);
  HeadProgress FinishHead();
  void ParseExtensionHeader(std::string_view name, std::string_view value);
  void RemoveConnectionOptionHeaders();

  bool head_request_;
  bool in_head_ = false;
  bool chunked_ = false;
  std::size_t head_bytes_ = 0;
  ResponseHead head_;
  BodyEnd body_end_ = BodyEnd::kNone;
  ServerStatus server_status_;
  std::string not_run_;
  std::string request_id_;
  std::vector<std::string> connection_options_;  // Listed in `Connection`.
};

// @return whether a header is hop-by-hop and must not be forwarded
bool IsHopByHopHeader(std::string_view name);

// @return the non-empty elements of a comma-separated list, trimmed
std::vector<std::string> SplitList(std::string_view value);

// @return whether two texts are equal, ignoring the case of ASCII letters
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_BACKEND_INTERNAL_RESPONSE_HEAD_PARSER_H_
