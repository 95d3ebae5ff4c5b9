// Chooses where a host learns next what is published: from the platform's store
// or from another host.
//
// A few hosts, the readers, ask the store; the others ask a reader, the nearest
// first. A host asks the store itself as soon as no reader is in touch with it,
// and a reader that the store turns away asks other hosts, so that a host that
// reaches anyone in touch is in touch.
//
// Example:
//   Step step = choice.Next(now);
//   ... ask step.source after step.delay ...
//   choice.OnAnswer(step.source, round_trip, now);
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_RELAY_SOURCE_CHOICE_H_
#define HEATHERLATCH_RELAY_SOURCE_CHOICE_H_

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

struct StoreSource {};
struct PeerSource {
  Endpoint endpoint;
};
using Source = std::variant<StoreSource, PeerSource>;

struct Step {
  Source source;
  Duration delay{};
};

// How long a source that failed is passed over. Source: the readers of a
// deployment are asked again about as often as a host may be restarted.
inline constexpr Duration kFailureBackoff = std::chrono::seconds(2);

// How long one that answered that it is out of touch is passed over; it may
// soon find a source. Source: a tenth of the shortest bound on following a
// change.
inline constexpr Duration kStaleBackoff = std::chrono::milliseconds(250);
// Between two calls of one host to a store that turns it away; doubled with
// each up to the longest, since refused calls have their price too.
inline constexpr Duration kMinStoreRetryDelay = std::chrono::milliseconds(150);
inline constexpr Duration kMaxStoreRetryDelay = std::chrono::milliseconds(2500);

// How long a host that asked this one counts as a possible source.
inline constexpr Duration kRequesterLifetime = std::chrono::seconds(5);

enum class DeploymentStart {
  kFirst,    // Callers come later; readers have time to learn.
  kRestart,  // Callers wait, and readers may start too: ask the store at once.
};

// How long the hosts of a new deployment leave the store to the readers, and
// how long they wait between two questions to one. Source: machines start
// within 0.3 s of each other, seconds before callers come.
inline constexpr Duration kReaderStartupGrace = std::chrono::milliseconds(1500);
inline constexpr Duration kReaderStartupRetryDelay =
    std::chrono::milliseconds(200);

class SourceChoice {
 public:
  // @param self     the endpoint at which other hosts ask this one
  // @param readers  the hosts that ask the store
  // @param start    how the deployment starts
  SourceChoice(Endpoint self, const std::vector<Endpoint>& readers,
               DeploymentStart start);

  void SetReaders(const std::vector<Endpoint>& readers);

  // @return whether this host asks the store before any other host
  bool IsReader() const { return is_reader_; }
  Step Next(TimePoint now);

  // @return whether the store turned this host away when it was asked last; a
  //     host that only readers failed may still reach the store
  bool IsTurnedAway() const { return store_failures_ > 0; }
  void OnAnswer(
      const Source& source, Duration round_trip,
      TimePoint now);  // The source did not answer, or turned the host away.
  void OnFailure(const Source& source, TimePoint now);
  // The source answered that it is out of touch with the store.
  void OnOutOfTouch(const Source& source, TimePoint now);
  // Another host asked this one, so it can be asked in turn.
  void OnAskedBy(const Endpoint& peer, TimePoint now);

 private:
  struct Peer {
    bool is_reader = false;
    std::optional<TimePoint> failed_at;
    std::optional<TimePoint> backoff_until;
    std::optional<TimePoint> last_request_at;
    Duration round_trip{};
  };

  // @return a step to a reader while readers may still be starting
  std::optional<Step> StartupStep(TimePoint now) const;
  static bool IsEligible(const Peer& peer, TimePoint now);
  // @return the wait until a source may be asked, when none may now
  Duration TimeUntilEligible(TimePoint now) const;
  std::optional<Endpoint> BestPeer(bool readers_only, TimePoint now) const;
  std::optional<Step> StoreStep(TimePoint now) const;

  Endpoint self_;
  bool is_reader_ = false;
  bool queries_store_first_;
  // Until when a host of a new deployment asks readers only.
  std::optional<TimePoint> readers_only_until_;
  bool has_received_response_ = false;
  std::map<Endpoint, Peer> peers_;
  int store_failures_ = 0;  // In a row.
  std::optional<TimePoint> store_failed_at_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_SOURCE_CHOICE_H_
