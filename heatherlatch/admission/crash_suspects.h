// Finds requests that crash the backend servers that run them.
//
// A request is known by the digest of its content, so sending it again under a
// new ID does not hide it. When a server is lost while requests run on it, each
// of them becomes a suspect. A suspect runs isolated: on a server that runs
// nothing else, one suspect of a content at a time, after the copies that were
// already running have ended. A suspect that runs isolated to its answer is
// cleared. A loss during an isolated run has one possible cause, so only such a
// loss counts towards refusal; a content that merely shared servers that
// crashed is never refused.
//
// When the memory is full, the suspect with the fewest crashes, and of these
// the oldest, is forgotten. It is then met as an unknown content again.
//
// Suspicion is shared by digest, which tells nothing of the content; the entry
// process shares it with hosts of the home regions only.
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_ADMISSION_CRASH_SUSPECTS_H_
#define HEATHERLATCH_ADMISSION_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

using ContentDigest = std::uint64_t;

enum class SuspectVerdict {
  kClear,    // Run as usual.
  kIsolate,  // Run alone on a server.
  kWait,     // The same content is running isolated; try again later.
  kRefuse,   // Not run: a server crashed while it ran nothing else.
};

struct SuspectNotice {
  ContentDigest digest = 0;
  ServiceName service;
  int crashes = 0;
  Duration age{};
};

struct CrashSuspectsOptions {
  Duration retention = std::chrono::minutes(5);
  int crashes_before_refusal = 2;
  std::size_t max_suspects = 10000;
};

class CrashSuspects {
 public:
  explicit CrashSuspects(CrashSuspectsOptions options);

  // Asks how to run a request; `kClear` and `kIsolate` count it as running.
  SuspectVerdict Admit(const ServiceName& service, ContentDigest digest,
                       TimePoint now);

  // Records that a request ran to its whole answer, or that its server was
  // lost. A request that ended otherwise goes to `OnEndWithoutAnswer`.
  // @param server_lost  the server closed or reset the connection, or could no
  //                     longer be reached, before its answer was whole
  // @return the notice to share, where the content has become a suspect, or
  //     nothing (crashes == 0)
  SuspectNotice OnEnd(const ServiceName& service, ContentDigest digest,
                      bool server_lost, TimePoint now);

  // Records that an admitted request ended and showed nothing: it was not sent,
  // shed, cancelled or timed out.
  void OnEndWithoutAnswer(const ServiceName& service, ContentDigest digest);

  // Takes over what a peer found.
  void Learn(const SuspectNotice& notice, TimePoint now);

  // Drops what is past its memory time.
  void Expire(TimePoint now);

  std::size_t size() const { return suspects_.size(); }

 private:
  struct Suspect {
    int crashes = 0;
    bool isolated_running = false;
    TimePoint last_crash;
  };
  using Key = std::pair<ServiceName, ContentDigest>;

  bool IsExpired(const Suspect& suspect, TimePoint now) const;
  void CountRunning(const Key& key);
  // @return whether a run of the content was counted
  bool UncountRunning(const Key& key);
  // @return the suspect, made where it is new; another may be forgotten for it
  Suspect& FindOrAdd(const Key& key);
  void EvictLeastSuspicious();

  CrashSuspectsOptions options_;
  std::map<Key, Suspect> suspects_;
  // Admitted runs that have not ended, for each content.
  std::map<Key, int> running_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ADMISSION_CRASH_SUSPECTS_H_
