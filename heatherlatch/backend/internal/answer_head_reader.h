// Reads the head of an HTTP/1.1 answer from the lines that libcurl delivers.
//
// The reader decides how the end of the body is marked, and refuses heads in
// which this is ambiguous: a length together with chunks, lengths that differ,
// a length that is not a number, a transfer coding other than chunked. Interim
// answers (status 1xx) are skipped; 101 is refused.
//
// Thread safety: none. Does no I/O.
#ifndef HEATHERLATCH_BACKEND_INTERNAL_ANSWER_HEAD_READER_H_
#define HEATHERLATCH_BACKEND_INTERNAL_ANSWER_HEAD_READER_H_

#include <optional>
#include <string>
#include <string_view>

#include "heatherlatch/backend/backend_client.h"

namespace heatherlatch::internal {

// How the end of a body is marked.
enum class BodyEnd { kNone, kLength, kFinalChunk, kConnectionClose };

enum class HeadProgress { kIncomplete, kComplete, kMalformed };

class AnswerHeadReader {
 public:
  // @param head_request  whether the method is HEAD, whose answer has no body
  explicit AnswerHeadReader(bool head_request) : head_request_(head_request) {}

  // Takes one line, with or without its line end; an empty one ends the head.
  // Lines after `kComplete` are trailers and must not be passed in.
  HeadProgress TakeLine(std::string_view line);

  // The following are valid after `kComplete`.
  const AnswerHead& head() const { return head_; }
  BodyEnd body_end() const { return body_end_; }
  const ServerSigns& signs() const { return signs_; }
  // @return why the server did not run the request, where it says so
  std::optional<BackendNotRunReason> refusal() const;
  // @return the `X-Request-Id` of the answer; empty if it has none
  const std::string& request_id() const { return request_id_; }

 private:
  HeadProgress TakeStatusLine(std::string_view line);
  HeadProgress TakeHeader(std::string_view name, std::string_view value);
  HeadProgress TakeContentLength(std::string_view value);
  HeadProgress TakeEndOfHead();
  void TakeSign(std::string_view name, std::string_view value);
  void DropConnectionHeaders();

  bool head_request_;
  bool in_head_ = false;
  bool chunked_ = false;
  std::size_t head_bytes_ = 0;
  AnswerHead head_;
  BodyEnd body_end_ = BodyEnd::kNone;
  ServerSigns signs_;
  std::string refusal_sign_;
  std::string request_id_;
  std::vector<std::string> connection_options_;  // Named by `Connection`.
};

// @return whether a header concerns one connection only and is not passed on
bool IsConnectionHeader(std::string_view name);

// @return the elements of a comma-separated list
std::vector<std::string> SplitList(std::string_view value);

// @return whether two texts are the same but for the case of ASCII letters
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_BACKEND_INTERNAL_ANSWER_HEAD_READER_H_
