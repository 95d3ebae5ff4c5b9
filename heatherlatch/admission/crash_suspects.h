// Finds requests that crash the backend servers that run them.
//
// A request is known by the digest of its content, so sending it again under a
// new ID does not hide it. When a server is lost while requests run on it, each
// of them becomes a suspect. A suspect runs isolated: on a server that runs
// nothing else, one suspect of a content at a time. A suspect that runs to its
// answer is cleared. A content that was running at two crashes is refused until
// its memory time is over; if it shared the server at its first crash, the
// second crash, alone, is the proof.
//
// Suspicion is shared with hosts of the home regions only, by digest.
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_ADMISSION_CRASH_SUSPECTS_H_
#define HEATHERLATCH_ADMISSION_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

using ContentDigest = std::uint64_t;

enum class SuspectVerdict {
  kClear,    // Run as usual.
  kIsolate,  // Run alone on a server.
  kWait,     // The same content is running isolated; try again later.
  kRefuse,   // Not run: two servers crashed while it ran.
};

struct SuspectNotice {
  ContentDigest digest = 0;
  ServiceName service;
  int crashes = 0;
  Duration age{};
};

struct CrashSuspectsOptions {
  Duration memory = std::chrono::minutes(5);
  int crashes_until_refused = 2;
  std::size_t max_suspects = 10000;
};

class CrashSuspects {
 public:
  explicit CrashSuspects(CrashSuspectsOptions options);

  // Asks how to run a request; `kClear` and `kIsolate` count it as running.
  SuspectVerdict Admit(const ServiceName& service, ContentDigest digest,
                       TimePoint now);

  // Records that a request ended.
  // @param server_lost  the server closed or reset the connection, or could no
  //                     longer be reached, before its answer was whole
  // @return the notice to share, where the content has become a suspect, or
  //     nothing (crashes == 0)
  SuspectNotice OnEnd(const ServiceName& service, ContentDigest digest,
                      bool server_lost, TimePoint now);

  // Takes over what a peer found.
  void Learn(const SuspectNotice& notice, TimePoint now);

  // Drops what is past its memory time.
  void Expire(TimePoint now);

  std::size_t size() const { return suspects_.size(); }

 private:
  struct Suspect {
    int crashes = 0;
    int running = 0;
    TimePoint last_crash;
  };
  using Key = std::pair<ServiceName, ContentDigest>;

  CrashSuspectsOptions options_;
  std::map<Key, Suspect> suspects_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ADMISSION_CRASH_SUSPECTS_H_
