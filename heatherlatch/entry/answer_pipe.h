// Passes a streamed answer from the thread that reads it from a backend server
// to the thread that writes it to the caller, with bounded memory.
//
// Thread safety: one thread writes, one thread reads.
#ifndef HEATHERLATCH_ENTRY_ANSWER_PIPE_H_
#define HEATHERLATCH_ENTRY_ANSWER_PIPE_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "heatherlatch/entry/caller_request.h"

namespace heatherlatch {

// The head of a streamed answer.
struct StreamHead {
  int status = 0;
  HeaderList headers;
  std::optional<std::uint64_t> content_length;
};

// What the reader gets first: the head of a stream, or a whole answer where no
// stream could be started.
using StreamStart = std::variant<StreamHead, CallerResponse>;

enum class ReadStatus { kData, kComplete, kTruncated };

class AnswerPipe {
 public:
  // Writer: gives the head, or the answer that stands in its place.
  void Start(StreamStart start);
  // Writer: waits for room and adds data.
  // @return false where the reader has closed the pipe
  bool Write(std::string_view data);
  // Writer: ends the stream. Only a whole answer may end as `whole`.
  void End(bool complete);
  // Writer: whether the reader has closed the pipe.
  bool ReaderClosed() const;

  // Reader: waits for the head.
  StreamStart WaitForStart();
  // Reader: waits for data.
  // @param out   receives at most `size` bytes
  // @param read  the number of bytes received
  ReadStatus Read(char* out, std::size_t size, std::size_t* read);
  // Reader: takes no more data.
  void Close();

 private:
  // Bytes that may wait in a pipe; bounds the memory of a download.
  static constexpr std::size_t kCapacityBytes = 256 * 1024;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<StreamStart> start_;
  std::string buffer_;
  std::size_t consumed_ = 0;
  bool ended_ = false;
  bool complete_ = false;
  bool closed_ = false;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_ANSWER_PIPE_H_
