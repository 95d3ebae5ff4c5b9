#include "heatherlatch/entry/response_pipe.h"

#include <catch2/catch.hpp>
#include <thread>

namespace heatherlatch {
namespace {

// Reads until the stream ends.
// @return kEnd or kTruncated
ReadStatus ReadAll(ResponsePipe* pipe, std::string* out) {
  char buffer[1000];
  while (true) {
    std::size_t read = 0;
    const ReadStatus status = pipe->Read(buffer, sizeof(buffer), &read);
    if (status != ReadStatus::kData) return status;
    out->append(buffer, read);
  }
}

TEST_CASE("a pipe passes on a complete response larger than its buffer",
          "[promise-05]") {
  ResponsePipe pipe;
  std::string sent;
  for (int i = 0; i < 200000; ++i) sent += std::to_string(i);
  std::thread writer([&] {
    for (std::size_t at = 0; at < sent.size(); at += 50000) {
      CHECK(pipe.Write(std::string_view(sent).substr(at, 50000)));
    }
    pipe.End(/*complete=*/true);
  });
  std::string received;
  CHECK(ReadAll(&pipe, &received) == ReadStatus::kEnd);
  writer.join();
  CHECK(received == sent);
}

TEST_CASE("an incomplete response ends as truncated", "[promise-05]") {
  ResponsePipe pipe;
  pipe.Write("half");
  pipe.End(/*complete=*/false);
  std::string received;
  CHECK(ReadAll(&pipe, &received) == ReadStatus::kTruncated);
  CHECK(received == "half");
}

TEST_CASE("closing the reader unblocks the writer") {
  ResponsePipe pipe;
  std::thread writer([&] {
    const std::string block(64 * 1024, 'x');
    while (pipe.Write(block)) {
    }
  });
  pipe.Close();
  writer.join();
  CHECK(pipe.ReaderClosed());
}

TEST_CASE("calls of Start after the first have no effect") {
  ResponsePipe pipe;
  pipe.Start(StreamHead{200, {}, std::nullopt});
  pipe.Start(CallerResponse{503, {}, ""});
  CHECK(std::holds_alternative<StreamHead>(pipe.WaitForStart()));
}

}  // namespace
}  // namespace heatherlatch
