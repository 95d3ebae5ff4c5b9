#include "heatherlatch/backend/internal/response_head_parser.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace heatherlatch::internal {
namespace {

// Parses lines until the head is complete or rejected.
HeadProgress ParseLines(ResponseHeadParser* parser,
                        const std::vector<std::string>& lines) {
  HeadProgress progress = HeadProgress::kIncomplete;
  for (const std::string& line : lines) {
    progress = parser->ParseLine(line + "\r\n");
    if (progress != HeadProgress::kIncomplete) break;
  }
  return progress;
}

TEST_CASE("arbitrary lines never form a complete head", "[promise-05]") {
  rc::prop("any lines", [](const std::vector<std::string>& lines) {
    ResponseHeadParser parser(false);
    RC_ASSERT(ParseLines(&parser, lines) != HeadProgress::kComplete);
  });
}

TEST_CASE("heads with ambiguous body framing are rejected", "[promise-05]") {
  rc::prop("framing headers in any mix", [] {
    const auto headers = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>(
            "Content-Length: 5", "content-length:5", "Content-Length: 6",
            "Content-Length: +5", "Content-Length: 5 5", "Content-Length:",
            "Transfer-Encoding: chunked", "transfer-encoding: CHUNKED",
            "Transfer-Encoding: gzip", "Transfer-Encoding : chunked",
            " Transfer-Encoding: chunked", "X-Other: 1"));
    std::vector<std::string> lines = {"HTTP/1.1 200 OK"};
    lines.insert(lines.end(), headers.begin(), headers.end());
    lines.emplace_back("");
    ResponseHeadParser parser(false);
    if (ParseLines(&parser, lines) != HeadProgress::kComplete) return;
    const auto count = [&headers](const std::vector<std::string>& texts) {
      std::ptrdiff_t total = 0;
      for (const std::string& text : texts) {
        total += std::count(headers.begin(), headers.end(), text);
      }
      return total;
    };
    const auto fives = count({"Content-Length: 5", "content-length:5"});
    const auto sixes = count({"Content-Length: 6"});
    const auto chunked =
        count({"Transfer-Encoding: chunked", "transfer-encoding: CHUNKED"});
    const auto other = count({"X-Other: 1"});
    // Only heads with at most one kind of framing are accepted.
    RC_ASSERT(fives + sixes + chunked + other ==
              static_cast<std::ptrdiff_t>(headers.size()));
    RC_ASSERT((fives > 0) + (sixes > 0) + (chunked > 0) <= 1);
    RC_ASSERT(chunked <= 1);
    const BodyEnd expected = chunked > 0         ? BodyEnd::kFinalChunk
                             : fives + sixes > 0 ? BodyEnd::kLength
                                                 : BodyEnd::kConnectionClose;
    RC_ASSERT(parser.body_end() == expected);
  });
}

TEST_CASE("a head that exceeds the size limit is rejected", "[promise-05]") {
  ResponseHeadParser parser(false);
  std::vector<std::string> lines = {"HTTP/1.1 200 OK"};
  lines.resize(1000, "X-Long: " + std::string(100, 'x'));
  CHECK(ParseLines(&parser, lines) == HeadProgress::kMalformed);
}

}  // namespace
}  // namespace heatherlatch::internal
