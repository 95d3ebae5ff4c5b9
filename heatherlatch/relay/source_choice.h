// Chooses the source that a host queries next for published items: the
// platform's store or another host.
//
// A few hosts, the store readers, query the store. The others query a reader,
// the one with the shortest round trip first. A host queries the store itself
// as soon as no reader is up to date with it, and a reader that the store
// refuses queries other hosts. So every host that reaches an up-to-date source
// stays up to date.
//
// A reader that failed is not queried again before the store, however long the
// attempts took: otherwise a host whose readers are all too slow for it would
// never query the store.
//
// Example:
//   FeedStep step = choice.Next(now);
//   ... query step.source after step.delay ...
//   choice.OnResponse(step.source, round_trip, now);
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_RELAY_SOURCE_CHOICE_H_
#define HEATHERLATCH_RELAY_SOURCE_CHOICE_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

struct StoreSource {};
struct PeerSource {
  Endpoint endpoint;
};
using FeedSource = std::variant<StoreSource, PeerSource>;

// @return "store", or the endpoint of the peer
std::string ToString(const FeedSource& source);

// Where a host received published items from.
struct ItemOrigin {
  FeedSource source;
  int hops = 0;  // Hosts between this one and the store.
  // Whether the store was restored from a copy, and the items are those that
  // changed by it. Changes shortly before the copy was used may be missing.
  bool is_restored = false;
};

// The next source to query, and the delay before the request.
struct FeedStep {
  FeedSource source;
  Duration delay{};
};

// How long a source that failed is skipped. Failed readers are queried again
// about as often as a host may be restarted.
inline constexpr Duration kFailureBackoff = std::chrono::seconds(2);

// How long a source that reported itself as stale is skipped. Shorter than
// `kFailureBackoff`, because such a host may soon find a source: a tenth of the
// shortest bound within which hosts must follow a change.
inline constexpr Duration kStaleBackoff = std::chrono::milliseconds(250);
// Delay between two calls of one host to a store that refuses it. Doubles with
// each refusal up to the maximum, because a refused call has a cost as well.
inline constexpr Duration kMinStoreRetryDelay = std::chrono::milliseconds(150);
inline constexpr Duration kMaxStoreRetryDelay = std::chrono::milliseconds(2500);

// How long a host counts as a possible source after its last request to this
// host.
inline constexpr Duration kRequesterLifetime = std::chrono::seconds(5);

enum class DeploymentStart {
  // No callers yet: the readers have time to read the store first.
  kFirst,
  // Callers are waiting and the readers may be restarting as well: query the
  // store at once.
  kRestart,
};

// In a new deployment, how long the other hosts query readers only, and the
// delay between two requests to the same reader in that time. Machines start
// within 0.3 s of each other and seconds before the first callers, so readers
// are up within this period and the store is spared the requests of all hosts.
inline constexpr Duration kReaderStartupGrace = std::chrono::milliseconds(1500);
inline constexpr Duration kReaderStartupRetryDelay =
    std::chrono::milliseconds(200);

class SourceChoice {
 public:
  // @param self     the endpoint at which other hosts query this one
  // @param readers  the hosts that query the store
  // @param start    whether the deployment is new or restarts
  SourceChoice(Endpoint self, const std::vector<Endpoint>& readers,
               DeploymentStart start);

  void SetReaders(const std::vector<Endpoint>& readers);

  // @return whether this host queries the store before any other source
  bool IsReader() const { return is_reader_; }

  // @return the source to query next and the delay before the request; where no
  //     source may be queried now, the store and the time until the first
  //     source may be queried
  FeedStep Next(TimePoint now);

  // @return whether this host's last request to the store failed or was
  //     refused; false where only requests to readers failed, because such a
  //     host may still reach the store
  bool IsRefusedByStore() const { return store_failures_ > 0; }

  // Records a response of an up-to-date source.
  // @param round_trip  time from the request to the response, without the time
  //                    that the source kept the request
  void OnResponse(const FeedSource& source, Duration round_trip, TimePoint now);

  // Records that the source did not respond or refused the request.
  void OnFailure(const FeedSource& source, TimePoint now);

  // Records a response of the store that is of no use until later ones confirm
  // it. As a failure, but the store is queried again soon.
  void OnUnconfirmed(TimePoint now);

  // Records that the source reported itself as stale: it is not up to date with
  // the store.
  void OnStale(const FeedSource& source, TimePoint now);

  // Records a request from another host, which is then a possible source.
  void OnRequestFrom(const Endpoint& peer, TimePoint now);

 private:
  struct Peer {
    bool is_reader = false;
    std::optional<TimePoint> failed_at;
    std::optional<TimePoint> backoff_until;
    std::optional<TimePoint> last_request_at;
    Duration round_trip{};  // Zero: not known yet.
    // Whether it failed since the last response of any source and since the
    // store was last chosen.
    bool failed_in_round = false;
  };

  // @return a request to a reader while readers of a new deployment may still
  //     be starting; nothing afterwards
  std::optional<FeedStep> StartupStep(TimePoint now) const;
  static bool IsEligible(const Peer& peer, TimePoint now);
  // @return the time until the first source may be queried, when none may be
  //     queried now
  Duration TimeUntilEligible(TimePoint now) const;
  std::optional<Endpoint> BestPeer(bool readers_only, TimePoint now) const;
  std::optional<FeedStep> StoreStep(TimePoint now) const;
  // Lets the readers that failed be queried before the store again.
  void BeginRound();

  Endpoint self_;
  bool is_reader_ = false;
  bool queries_store_first_;
  // End of the period in which a host of a new deployment queries readers only;
  // set by the first `Next`.
  std::optional<TimePoint> readers_only_until_;
  bool has_response_ = false;
  std::map<Endpoint, Peer> peers_;
  int store_failures_ = 0;  // Consecutive.
  std::optional<TimePoint> store_failed_at_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_SOURCE_CHOICE_H_
