#include "heatherlatch/admission/byte_budget.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

namespace heatherlatch {
namespace {

constexpr std::uint64_t kCapacity = 80'000'000;
constexpr double kShare = 1.0 / 16;

TEST_CASE("a budget never holds more than its capacity and loses no byte") {
  CHECK(rc::check("held = sum of the reservations <= capacity", [] {
    const auto capacity = *rc::gen::inRange<std::uint64_t>(0, 5000);
    const auto budget = std::make_shared<ByteBudget>(capacity);
    std::vector<ByteReservation> held;
    for (int i = 0; i < 4; ++i) held.emplace_back(budget);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 24), rc::gen::inRange(0, 4000)));
    for (const auto& [step, size] : steps) {
      ByteReservation& one = held[static_cast<std::size_t>(step) % 4];
      ByteReservation& next = held[static_cast<std::size_t>(step + 1) % 4];
      if (step < 16) {
        const auto wanted = static_cast<std::uint64_t>(size);
        const std::uint64_t before = one.size();
        const bool grown = one.TryGrowTo(wanted, 1 + step);
        RC_ASSERT(one.size() == (grown ? std::max(wanted, before) : before));
      } else if (step < 20) {
        one.Release();
      } else {
        const std::uint64_t both = one.size() + next.size();
        one.Absorb(std::exchange(next, ByteReservation(budget)));
        RC_ASSERT(one.size() == both);
      }
      std::uint64_t sum = 0;
      for (const ByteReservation& other : held) sum += other.size();
      RC_ASSERT(budget->held() == sum);
      RC_ASSERT(budget->held() <= capacity);
      RC_ASSERT(budget->max_held() >= budget->held());
    }
  }));
}

TEST_CASE("a small holder finds room beside any number of endless ones") {
  constexpr std::uint64_t kStep = 64 * 1024;
  constexpr std::uint64_t kSmallBytes = 90'000;
  for (const int holders : {1, 40, 200}) {
    const auto budget = std::make_shared<ByteBudget>(kCapacity);
    std::vector<ByteReservation> endless;
    for (int i = 0; i < holders; ++i) endless.emplace_back(budget);
    bool any_grew = true;
    while (any_grew) {
      any_grew = false;
      for (ByteReservation& one : endless) {
        if (one.TryGrowTo(one.size() + kStep, kShare)) any_grew = true;
      }
    }
    CHECK(endless[0].size() <= kCapacity * kShare / (1 + kShare));
    CHECK(budget->HasRoom(kSmallBytes, kShare));
    ByteReservation small(budget);
    CHECK(small.TryGrowTo(kSmallBytes, kShare));
  }
}

TEST_CASE("a reservation returns its bytes when it ends or is assigned to") {
  const auto budget = std::make_shared<ByteBudget>(kCapacity);
  {
    ByteReservation first(budget);
    REQUIRE(first.TryGrowTo(1000, kShare));
    ByteReservation second(std::move(first));
    CHECK(budget->held() == 1000);
    second = ByteReservation(budget);
    CHECK(budget->held() == 0);
    REQUIRE(second.TryGrowTo(500, kShare));
  }
  CHECK(budget->held() == 0);
  CHECK(budget->max_held() == 1000);
}

TEST_CASE("bytes that the host needs are held beyond the capacity") {
  const auto budget = std::make_shared<ByteBudget>(1000);
  ByteReservation needed(budget);
  needed.GrowTo(1500);
  CHECK(budget->held() == 1500);
  CHECK_FALSE(budget->HasRoom(1, 1));
  budget->SetCapacity(4000);
  CHECK(budget->HasRoom(1000, 1));
}

}  // namespace
}  // namespace heatherlatch
