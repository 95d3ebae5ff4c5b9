// What one host asks another about what is published, and the response, in
// CBOR.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_RELAY_PEER_MESSAGES_H_
#define HEATHERLATCH_RELAY_PEER_MESSAGES_H_

#include <string>
#include <string_view>
#include <vector>

#include "heatherlatch/admission/crash_suspects.h"
#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/result.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/relay/published_items.h"

namespace heatherlatch {

// Why a message cannot be read.
struct PeerMessageError {
  std::string problem;
};

struct FeedQuestion {
  Endpoint asker;  // Where the asking host can be asked in turn.
  std::uint64_t after = 0;
  std::chrono::milliseconds wait{};     // For a change.
  std::vector<SuspectNotice> suspects;  // That the asker has found.
};

// The most hosts between an answering host and the store whose response counts.
// Two hosts that ask each other would otherwise pass on an ageing confirmation.
// Source: a reader that the store turns away may follow a host that it does
// not.
inline constexpr int kMaxHops = 1;

// An response that was confirmed longer ago does not count either. Source: what
// is left of the shortest bound on following a change after one request.
inline constexpr std::chrono::milliseconds kLongestAge{2200};

struct FeedAnswer {
  FeedPage page;
  // Since the store last confirmed what the answering host knows.
  std::chrono::milliseconds age{};
  // Hosts between the answering host and the store.
  int hops = 0;
  // Whether the store was away lately, so that servers may have lapsed.
  bool store_was_away = false;
  std::vector<SuspectNotice> suspects;
};

// @return whether the answering host is in touch with the store, so that an
// asker
//     that follows it is too
bool IsInTouch(const FeedAnswer& response);

std::string Encode(const FeedQuestion& request);
std::string Encode(const FeedAnswer& response);
Result<FeedQuestion> DecodeFeedQuestion(std::string_view bytes);
Result<FeedAnswer> DecodeFeedAnswer(std::string_view bytes);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_PEER_MESSAGES_H_
