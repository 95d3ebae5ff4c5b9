// Tests of IsolatedRunPermits in virtual time.
#include "heatherlatch/admission/isolated_run_permits.h"

#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr ContentDigest kContent = 7;
const Endpoint kFirst{"10.0.0.1", 1};
const Endpoint kSecond{"10.0.0.2", 1};

TimePoint At(int ms) { return kStart + milliseconds(ms); }

IsolatedRunAnswer Ask(IsolatedRunPermits* permits, const Endpoint& holder,
                      TimePoint now) {
  return permits->Ask(kContent, holder, kStart, now);
}

TEST_CASE("one host at a time runs a suspect") {
  IsolatedRunPermits permits;
  CHECK(Ask(&permits, kFirst, At(1)) == IsolatedRunAnswer::kGranted);
  CHECK(Ask(&permits, kSecond, At(2)) == IsolatedRunAnswer::kDenied);
  CHECK(permits.Ask(kContent + 1, kSecond, kStart, At(2)) ==
        IsolatedRunAnswer::kGranted);
  CHECK(Ask(&permits, kFirst, At(3)) == IsolatedRunAnswer::kGranted);
  permits.End(kContent, kSecond, IsolatedRunEnd::kCleared, At(4));
  CHECK(Ask(&permits, kSecond, At(5)) == IsolatedRunAnswer::kDenied);
  const auto end =
      GENERATE(IsolatedRunEnd::kInconclusive, IsolatedRunEnd::kCrashed);
  permits.End(kContent, kFirst, end, At(6));
  CHECK(Ask(&permits, kSecond, At(6)) == IsolatedRunAnswer::kGranted);
}

TEST_CASE("a host that ended holds its permit for a bounded time") {
  IsolatedRunPermits permits;
  Ask(&permits, kFirst, At(0));
  const TimePoint end = At(0) + kIsolatedRunPermitLifetime;
  CHECK(Ask(&permits, kSecond, end - milliseconds(1)) ==
        IsolatedRunAnswer::kDenied);
  permits.RemoveExpired(Duration::zero(), end - milliseconds(1));
  CHECK(permits.size() == 1);
  CHECK(Ask(&permits, kSecond, end) == IsolatedRunAnswer::kGranted);
  permits.End(kContent, kFirst, IsolatedRunEnd::kCleared, end);
  CHECK(Ask(&permits, kFirst, end) == IsolatedRunAnswer::kDenied);
  permits.RemoveExpired(Duration::zero(), end + kIsolatedRunPermitLifetime);
  CHECK(permits.size() == 0);
}

TEST_CASE("a clear run clears a suspect for the crashes before it") {
  IsolatedRunPermits permits;
  Ask(&permits, kFirst, At(100));
  permits.End(kContent, kFirst, IsolatedRunEnd::kCleared, At(200));
  CHECK(permits.Ask(kContent, kSecond, At(99), At(201)) ==
        IsolatedRunAnswer::kCleared);
  permits.RemoveExpired(std::chrono::minutes(1), At(300));
  // It crashed a server during or after the run.
  CHECK(permits.Ask(kContent, kSecond, At(100), At(301)) ==
        IsolatedRunAnswer::kGranted);
  permits.End(kContent, kSecond, IsolatedRunEnd::kCrashed, At(302));
  CHECK(permits.Ask(kContent, kFirst, At(99), At(303)) ==
        IsolatedRunAnswer::kGranted);
}

// Guards against a full table that keeps suspects from running at all.
TEST_CASE("contents beyond those that are remembered run by themselves") {
  IsolatedRunPermits permits;
  for (ContentDigest digest = 0; digest < kMaxIsolatedRunContents; ++digest) {
    permits.Ask(digest, kFirst, kStart, At(0));
  }
  for (const Endpoint& holder : {kFirst, kSecond}) {
    CHECK(permits.Ask(kMaxIsolatedRunContents, holder, kStart, At(1)) ==
          IsolatedRunAnswer::kGranted);
  }
  CHECK(permits.Ask(0, kSecond, kStart, At(1)) == IsolatedRunAnswer::kDenied);
  CHECK(permits.size() == kMaxIsolatedRunContents);
  permits.RemoveExpired(Duration::zero(), At(0) + kIsolatedRunPermitLifetime);
  CHECK(permits.size() == 0);
}

}  // namespace
}  // namespace heatherlatch
