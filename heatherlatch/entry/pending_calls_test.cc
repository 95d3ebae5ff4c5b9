#include "heatherlatch/entry/pending_calls.h"

#include <catch2/catch.hpp>
#include <string>

namespace heatherlatch {
namespace {

const HostIncarnation kPeer{HostName("entry-1"), 1};
const HostIncarnation kReplacement{HostName("entry-1"), 2};
constexpr TimePoint kNoWait{};

TEST_CASE("a response reaches only the call with its ID", "[promise-05]") {
  PendingCalls<std::string> calls;
  const auto first = calls.Open(kPeer);
  const auto second = calls.Open(kPeer);
  CHECK(calls.Deliver(kPeer, second->id(), "for the second"));
  CHECK(first->Wait(kNoWait, nullptr) == WaitEnd::kTimedOut);
  REQUIRE(second->Wait(kNoWait, nullptr) == WaitEnd::kReceived);
  CHECK(second->Take() == "for the second");
}

TEST_CASE("a response of another incarnation is rejected", "[promise-05]") {
  PendingCalls<std::string> calls;
  const auto call = calls.Open(kPeer);
  CHECK_FALSE(calls.Deliver(kReplacement, call->id(), "stranger"));
  CHECK(call->Wait(kNoWait, nullptr) == WaitEnd::kTimedOut);
}

TEST_CASE("a late or repeated response is unmatched", "[promise-05]") {
  PendingCalls<std::string> calls;
  std::uint64_t id = 0;
  {
    const auto call = calls.Open(kPeer);
    id = call->id();
    CHECK(calls.Deliver(kPeer, id, "first"));
    CHECK_FALSE(calls.Deliver(kPeer, id, "again"));
  }
  CHECK_FALSE(calls.Deliver(kPeer, id, "late"));
  CHECK(calls.size() == 0);
}

TEST_CASE("a lost link ends the calls to that peer and no others") {
  PendingCalls<std::string> calls;
  const auto lost = calls.Open(kPeer);
  const auto other = calls.Open(kReplacement);
  calls.FailCallsTo(kPeer);
  CHECK(lost->Wait(kNoWait, nullptr) == WaitEnd::kLinkDown);
  CHECK(other->Wait(kNoWait, nullptr) == WaitEnd::kTimedOut);
}

TEST_CASE("a wait ends when it is cancelled") {
  PendingCalls<std::string> calls;
  const auto call = calls.Open(kPeer);
  CHECK(call->Wait(SteadyClock::now() + std::chrono::hours(1),
                   [] { return true; }) == WaitEnd::kCancelled);
}

}  // namespace
}  // namespace heatherlatch
