#include "heatherlatch/entry/answer_pipe.h"

#include <catch2/catch.hpp>
#include <thread>

namespace heatherlatch {
namespace {

// Reads a pipe to its end.
ReadEnd ReadAll(AnswerPipe* pipe, std::string* out) {
  char buffer[1000];
  while (true) {
    std::size_t read = 0;
    const ReadEnd end = pipe->Read(buffer, sizeof(buffer), &read);
    if (end != ReadEnd::kData) return end;
    out->append(buffer, read);
  }
}

TEST_CASE("a pipe passes a whole answer on with bounded memory",
          "[promise-05]") {
  AnswerPipe pipe;
  std::string sent;
  for (int i = 0; i < 200000; ++i) sent += std::to_string(i);
  std::thread writer([&] {
    for (std::size_t at = 0; at < sent.size(); at += 50000) {
      CHECK(pipe.Write(std::string_view(sent).substr(at, 50000)));
    }
    pipe.End(/*whole=*/true);
  });
  std::string received;
  CHECK(ReadAll(&pipe, &received) == ReadEnd::kFinished);
  writer.join();
  CHECK(received == sent);
}

TEST_CASE("an answer that is not whole ends as cut", "[promise-05]") {
  AnswerPipe pipe;
  pipe.Write("half");
  pipe.End(/*whole=*/false);
  std::string received;
  CHECK(ReadAll(&pipe, &received) == ReadEnd::kCut);
  CHECK(received == "half");
}

TEST_CASE("a reader that goes away releases the writer") {
  AnswerPipe pipe;
  std::thread writer([&] {
    const std::string block(64 * 1024, 'x');
    while (pipe.Write(block)) {
    }
  });
  pipe.Close();
  writer.join();
  CHECK(pipe.ReaderGone());
}

TEST_CASE("only the first start of a pipe counts") {
  AnswerPipe pipe;
  pipe.Start(StreamHead{200, {}, std::nullopt});
  pipe.Start(CallerAnswer{503, {}, ""});
  CHECK(std::holds_alternative<StreamHead>(pipe.WaitForStart()));
}

}  // namespace
}  // namespace heatherlatch
