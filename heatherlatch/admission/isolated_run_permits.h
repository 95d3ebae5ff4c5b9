// Permits for isolated runs of contents that are suspected of crashing servers
// (admission/crash_suspects.h), so that one host at a time runs a content.
//
// All hosts ask the same host, a reader of the store, before they run a suspect
// isolated. It issues one permit at a time for a content. A permit ends with
// the run, or with its lifetime if the holder does not say that the run ended.
// After an isolated run with a complete response, the content counts as cleared
// for all hosts whose last crash was before that run.
//
// Example:
//   permits.Ask(digest, holder, crashed_at, now);
//   permits.End(digest, holder, IsolatedRunEnd::kCleared, now);
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_ADMISSION_ISOLATED_RUN_PERMITS_H_
#define HEATHERLATCH_ADMISSION_ISOLATED_RUN_PERMITS_H_

#include <cstddef>
#include <map>
#include <optional>

#include "heatherlatch/admission/crash_suspects.h"
#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

// How long a holder that does not respond any more keeps others from running
// the content. The next host may then run it even if the first run goes on.
inline constexpr Duration kIsolatedRunPermitLifetime = std::chrono::seconds(5);
// The most contents that are remembered. For others, each host that asks gets a
// permit: after the loss of a zone many innocent contents are suspects at once.
inline constexpr std::size_t kMaxIsolatedRunContents = 1024;

enum class IsolatedRunAnswer {
  kDenied,   // Another host runs the content.
  kGranted,  // Run it alone on a server.
  kCleared,  // An isolated run since the last crash had a complete response.
};

// How an isolated run ended.
enum class IsolatedRunEnd {
  kInconclusive,  // Without evidence for or against the content.
  kCleared,       // With a complete response.
  kCrashed,
};

class IsolatedRunPermits {
 public:
  // Issues a permit unless another host holds one. A holder that asks again has
  // lost the permit that it had, and gets a new one.
  // @param crashed_at  when the content crashed a server last
  IsolatedRunAnswer Ask(ContentDigest digest, const Endpoint& holder,
                        TimePoint crashed_at, TimePoint now);

  // Takes a permit back. Does nothing if the host does not hold it any more.
  void End(ContentDigest digest, const Endpoint& holder, IsolatedRunEnd end,
           TimePoint now);

  // Forgets permits after their lifetime, and cleared contents `retention`
  // after they were cleared.
  void RemoveExpired(Duration retention, TimePoint now);

  std::size_t size() const { return contents_.size(); }

 private:
  struct Permit {
    Endpoint holder;
    TimePoint issued_at;
  };
  struct Content {
    std::optional<Permit> permit;
    // When the run began that cleared the content.
    std::optional<TimePoint> cleared_at;
  };

  static bool IsHeld(const Content& content, TimePoint now);

  std::map<ContentDigest, Content> contents_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ADMISSION_ISOLATED_RUN_PERMITS_H_
