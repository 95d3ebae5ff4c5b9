#include "heatherlatch/admission/request_limits.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace heatherlatch {
namespace {

constexpr std::uint64_t kMaxHeldBytes = 1000;

TEST_CASE("a size is judged by the published limit and not by the held bytes") {
  const SizeLimit limit{5000, 3};
  CHECK(std::holds_alternative<WithinLimits>(
      JudgeSize(5000, limit, kMaxHeldBytes)));
  const SizeVerdict verdict = JudgeSize(5001, limit, kMaxHeldBytes);
  REQUIRE(std::holds_alternative<TooLarge>(verdict));
  CHECK(std::get<TooLarge>(verdict).limit.bytes == 5000);
  CHECK(std::get<TooLarge>(verdict).limit.version == 3);
}

TEST_CASE("no size is too large while no limit is known") {
  CHECK(rc::check("never TooLarge; Undecidable above the held bytes", [] {
    const auto bytes = *rc::gen::arbitrary<std::uint64_t>();
    const auto max_held = *rc::gen::arbitrary<std::uint64_t>();
    const SizeVerdict verdict = JudgeSize(bytes, std::nullopt, max_held);
    RC_ASSERT(!std::holds_alternative<TooLarge>(verdict));
    RC_ASSERT(std::holds_alternative<Undecidable>(verdict) ==
              (bytes > max_held));
  }));
}

TEST_CASE("the largest limit since the request began applies") {
  CHECK(rc::check("a size within any limit seen is within limits", [] {
    const auto seen = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 100)));
    const auto bytes = *rc::gen::inRange<std::uint64_t>(0, 120);
    std::optional<SizeLimit> limit;
    std::uint64_t version = 0;
    for (const int size : seen) {
      limit = LargerLimit(
          limit, SizeLimit{static_cast<std::uint64_t>(size), ++version});
    }
    const auto largest =
        static_cast<std::uint64_t>(*std::max_element(seen.begin(), seen.end()));
    RC_ASSERT(std::holds_alternative<TooLarge>(
                  JudgeSize(bytes, limit, kMaxHeldBytes)) == (bytes > largest));
  }));
}

TEST_CASE("a limit that is not known yet does not replace a known one") {
  const SizeLimit known{7, 1};
  CHECK(LargerLimit(known, std::nullopt)->version == 1);
  CHECK(LargerLimit(std::nullopt, known)->version == 1);
  CHECK(LargerLimit(known, SizeLimit{7, 2})->version == 2);
  CHECK_FALSE(LargerLimit(std::nullopt, std::nullopt));
}

}  // namespace
}  // namespace heatherlatch
