#include "heatherlatch/routing/unrouted_decision.h"

#include <catch2/catch.hpp>

#include "heatherlatch/relay/peer_messages.h"

namespace heatherlatch {
namespace {

constexpr TimePoint kConfirmedAt{std::chrono::seconds(1000)};

bool IsNotFound(const TableConfirmation& confirmation, TimePoint now) {
  return std::holds_alternative<NoSuchRoute>(DecideUnrouted(confirmation, now));
}

TEST_CASE("a route is denied only while its table is confirmed") {
  TableConfirmation confirmation;
  CHECK_FALSE(IsNotFound(confirmation, kConfirmedAt));
  confirmation.confirmed_at = kConfirmedAt;
  CHECK(IsNotFound(confirmation, kConfirmedAt));
  CHECK(IsNotFound(confirmation, kConfirmedAt + kMaxConfirmationAge));
  CHECK_FALSE(IsNotFound(confirmation,
                         kConfirmedAt + kMaxConfirmationAge + Duration(1)));
}

TEST_CASE("a route is not denied after a newer table that cannot be read") {
  TableConfirmation confirmation;
  confirmation.confirmed_at = kConfirmedAt;
  confirmation.is_newest = false;
  CHECK_FALSE(IsNotFound(confirmation, kConfirmedAt));
}

TEST_CASE("a confirmation counts alike from the store and from a peer") {
  TableConfirmation confirmation;
  confirmation.confirmed_at = kConfirmedAt;
  confirmation.origin = {PeerSource{{"10.0.0.1", 80}}, 2};
  CHECK(IsNotFound(confirmation, kConfirmedAt + kMaxConfirmationAge));
  CHECK_FALSE(IsNotFound(confirmation,
                         kConfirmedAt + kMaxConfirmationAge + Duration(1)));
}

}  // namespace
}  // namespace heatherlatch
