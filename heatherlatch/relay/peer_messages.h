// The request of one host to another for published items, and the response,
// encoded as CBOR.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_RELAY_PEER_MESSAGES_H_
#define HEATHERLATCH_RELAY_PEER_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "heatherlatch/admission/crash_suspects.h"
#include "heatherlatch/admission/isolated_run_permits.h"
#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/result.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/fleet_budget/budget_desk.h"
#include "heatherlatch/relay/earlier_values.h"
#include "heatherlatch/relay/published_items.h"
#include "heatherlatch/relay/store_revision.h"

namespace heatherlatch {

// Why a message cannot be decoded.
struct PeerMessageError {
  std::string problem;
};

// Bounds on the tokens of a question and of its response. A message that
// exceeds one is not decoded. The time until the next token is sent as whole
// milliseconds, rounded up, and as a day at most.
inline constexpr std::size_t kMaxBudgetAsks = kMaxAsksInQuestion;
inline constexpr std::size_t kMaxBudgetSubjectBytes = 256;
inline constexpr int kMaxBudgetTokens = kMaxTokensInAsk;

// The most hosts that a response lists; those beyond are left out.
inline constexpr std::size_t kMaxHostsInResponse = 16;

// In place of a revision in a request that asks for no items: no change is
// later.
inline constexpr std::uint64_t kNoItems =
    OrderedRevision(kMaxStoreEra, kMaxStoreRevision);

// Asks for a permit to run a suspect isolated
// (admission/isolated_run_permits.h).
struct IsolatedRunAsk {
  ContentDigest digest = 0;
  std::chrono::milliseconds age{};  // Since its last crash.
};

// States that an isolated run ended, for which a permit was issued. A crash is
// also in the notices of the same message.
struct IsolatedRunReport {
  ContentDigest digest = 0;
  IsolatedRunEnd end = IsolatedRunEnd::kInconclusive;
};

// A large value that the requesting host holds.
struct HeldValue {
  std::string key;
  std::uint64_t revision = 0;
};

// The most large values that a host states, and differences in a response.
inline constexpr std::size_t kMaxHeldValues = 8;

struct FeedRequest {
  Endpoint requester;  // Where the requesting host can be queried in turn.
  std::uint64_t after_revision = 0;     // Only later changes are requested.
  std::chrono::milliseconds wait{};     // How long to wait for a change.
  std::vector<SuspectNotice> suspects;  // Notices of the requesting host.
  // Whether to state all notices, not only those learnt lately.
  bool wants_all_suspects = false;
  // Servers in cold start for which the requesting host asks for permits; the
  // response then states only those.
  std::vector<BackendServerName> cold_servers;
  // Tokens for which the requesting host asks; the response then states only
  // `budget_grants`.
  std::vector<BudgetAsk> budget_asks = {};
  // Whether to list some hosts.
  bool wants_hosts = false;
  std::optional<IsolatedRunAsk> isolated_run = std::nullopt;
  std::optional<IsolatedRunReport> ended_run = std::nullopt;
  // The large values that the requesting host holds, if it understands
  // differences from them; absent: it does not.
  std::optional<std::vector<HeldValue>> held_values = std::nullopt;
};

// The most hosts that may lie between a responding host and the store for its
// response to count. Without the limit, two hosts that query each other would
// pass on an ageing confirmation. One hop is needed, because a reader that the
// store refuses may follow a host that the store accepts.
inline constexpr int kMaxHops = 1;

// A response whose last confirmation by the store is older does not count
// either. The value is the rest that one request leaves of the shortest bound
// within which hosts must follow a change.
inline constexpr std::chrono::milliseconds kMaxConfirmationAge{2200};

struct FeedResponse {
  FeedPage page;
  // Time since the store last confirmed the items of the responding host.
  std::chrono::milliseconds age{};
  // Hosts between the responding host and the store.
  int hops = 0;
  // Whether the store was unavailable recently, so that the registrations of
  // servers may have expired.
  bool store_was_unavailable = false;
  std::vector<SuspectNotice> suspects;
  // How long the responding host is proven to be behind the store at most when
  // it responded; absent: it cannot prove any bound.
  std::optional<std::chrono::milliseconds> proven_age;
  // How long the responding host kept the request until there was a change;
  // absent: not stated.
  std::optional<std::chrono::milliseconds> waited;
  // The servers in cold start for which a permit was issued.
  std::vector<BackendServerName> permitted_servers;
  std::vector<BudgetGrant> budget_grants;
  std::vector<Endpoint> hosts;  // Some that the responding host heard of.
  // Items of the page that are sent as differences, and are not in `page`.
  std::vector<ItemDelta> deltas = {};
  // Items that could not be read, and are not in `page`.
  int unreadable_items = 0;
  // To `isolated_run`; absent: the responding host issues no such permits.
  std::optional<IsolatedRunAnswer> isolated_run = std::nullopt;
};

// @return whether the responding host is up to date with the store, so that a
//     host that follows it is too
bool IsUpToDate(const FeedResponse& response);

std::string Encode(const FeedRequest& request);
std::string Encode(const FeedResponse& response);
// @return the decoded message; fails with PeerMessageError, and a request also
//     with EndpointError where the requester's endpoint is malformed
Result<FeedRequest> DecodeFeedRequest(std::string_view bytes);
Result<FeedResponse> DecodeFeedResponse(std::string_view bytes);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_PEER_MESSAGES_H_
