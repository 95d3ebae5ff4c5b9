// Byte pipe for a streamed response, with a limit on the unread bytes: one
// thread writes what it receives from a backend server, another thread reads it
// and sends it to the caller.
//
// Example:
//   ResponsePipe pipe;
//   // Writing thread:
//   pipe.Start(StreamHead{200, headers, content_length});
//   const bool open = pipe.Write(data);
//   pipe.End(/*complete=*/open);
//   // Reading thread:
//   const StreamStart start = pipe.WaitForStart();
//   while (pipe.Read(buffer, sizeof(buffer), &read) == ReadStatus::kData) {
//     Send(buffer, read);
//   }
//
// Thread safety: one thread writes and one thread reads at a time.
#ifndef HEATHERLATCH_ENTRY_RESPONSE_PIPE_H_
#define HEATHERLATCH_ENTRY_RESPONSE_PIPE_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "heatherlatch/entry/caller_request.h"

namespace heatherlatch {

// Status and headers of a streamed response.
struct StreamHead {
  int status = 0;
  HeaderList headers;
  std::optional<std::uint64_t> content_length;  // Bytes; none if unknown.
};

// First item in the pipe: the head of a stream, or a complete response if the
// stream could not be started.
using StreamStart = std::variant<StreamHead, CallerResponse>;

// Result of a read: data was received, the stream ended after its last byte, or
// it ended early.
enum class ReadStatus { kData, kEnd, kTruncated };

class ResponsePipe {
 public:
  // Writer: sets the head, or the complete response in its place. Calls after
  // the first have no effect.
  void Start(StreamStart start);
  // Writer: blocks until the buffer is below its limit, then appends the data.
  // @return false if the reader has closed the pipe; the data is dropped
  bool Write(std::string_view data);
  // Writer: ends the stream.
  // @param complete  whether every byte of the response was written
  void End(bool complete);
  // Writer: checks for a closed pipe.
  // @return whether the reader has closed the pipe
  bool ReaderClosed() const;

  // Reader: blocks until `Start` has been called.
  // @return the head of the stream, or a complete response
  StreamStart WaitForStart();
  // Reader: blocks until there is data or the stream has ended.
  // @param out   receives at most `size` bytes
  // @param read  receives the number of bytes; 0 once the stream has ended
  // @return kData while bytes were received, then kEnd or kTruncated
  ReadStatus Read(char* out, std::size_t size, std::size_t* read);
  // Reader: stops reading. A blocked `Write` returns false.
  void Close();

 private:
  // A write blocks while this many bytes are unread, to limit the memory of a
  // download.
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

#endif  // HEATHERLATCH_ENTRY_RESPONSE_PIPE_H_
