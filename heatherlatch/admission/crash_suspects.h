// Detects request contents that crash the backend servers that run them.
//
// A request is identified by the digest of its content, so that it is
// recognised when it is sent again under a new ID, whatever service its route
// leads to by then. When a server becomes
// unavailable while requests run on it, which counts as a crash, the content of
// each of them becomes a suspect. A suspect runs isolated: on a server that
// runs nothing else, one request of a content at a time, after the requests of
// that content that were already running have ended. An isolated run that ends
// with a complete response clears the suspect. A crash during an isolated run
// has one possible cause. After the crash that made a content a suspect, only
// crashes during isolated runs count towards refusal, so a content that merely
// shared servers that crashed is never refused.
//
// When the table is full, the suspect with the fewest crashes, and of these
// the one with the oldest crash, is evicted. Its content is then treated as
// unknown again.
//
// A host that can tell no other host of a suspect refuses it after the first
// crash: the others may run it as often as they may together.
//
// Suspects are shared between hosts by digest, which reveals nothing of the
// content; the entry process shares them with hosts of the home regions only.
//
// Example:
//   switch (suspects.Admit(digest, now)) ...
//   ... run the request, alone on a server for kIsolate ...
//   SuspectNotice notice = suspects.OnEnd(service, digest, server_lost, now);
//   if (notice.crashes > 0) ... send the notice to peers ...
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_ADMISSION_CRASH_SUSPECTS_H_
#define HEATHERLATCH_ADMISSION_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

using ContentDigest = std::uint64_t;

enum class SuspectVerdict {
  kClear,    // Not a suspect: run as usual.
  kIsolate,  // Run alone on a server.
  kWait,     // The same content is running; try again later.
  kRefuse,   // Not run: it crashed servers that ran nothing else, or one that
             // no other host was told of.
};

// A suspect as shared between hosts.
struct SuspectNotice {
  ContentDigest digest = 0;
  ServiceName service;  // Of the server that crashed last.
  int crashes = 0;      // Counted towards refusal; 0: the notice is empty.
  Duration age{};       // Since the last crash.
};

struct CrashSuspectsOptions {
  // How long a suspect is kept after its last crash.
  Duration retention = std::chrono::minutes(5);
  int crashes_before_refusal = 2;
  std::size_t max_suspects = 10000;
};

class CrashSuspects {
 public:
  explicit CrashSuspects(CrashSuspectsOptions options);

  // Decides how to run a request. `kClear` and `kIsolate` count it as running
  // until `OnEnd` or `OnInconclusiveEnd`.
  SuspectVerdict Admit(ContentDigest digest, TimePoint now);

  // Records that an admitted request ended with a complete response, or that
  // its server became unavailable. Any other end is recorded with
  // `OnInconclusiveEnd`.
  // @param service      of the server
  // @param server_lost  the server closed or reset the connection, or could no
  //                     longer be reached, before its response was complete
  // @return the notice to share where the content is a suspect because of this
  //     end, otherwise an empty notice (crashes == 0)
  SuspectNotice OnEnd(const ServiceName& service, ContentDigest digest,
                      bool server_lost, TimePoint now);

  // Records that an admitted request ended without evidence for or against its
  // content: it was not sent, shed, cancelled or timed out.
  void OnInconclusiveEnd(ContentDigest digest);

  // Forgets a suspect that another host cleared. A request of the content that
  // was admitted to run isolated goes on as one that is not suspected.
  void OnClearedElsewhere(ContentDigest digest) { suspects_.erase(digest); }

  // @return whether requests of the content are refused
  bool IsRefused(ContentDigest digest, TimePoint now) const;
  // @return when the content crashed a server last; nothing if it is no suspect
  std::optional<TimePoint> LastCrash(ContentDigest digest) const;

  // Merges a notice of a peer: the higher crash count and the later crash are
  // kept. A notice past the retention period is ignored.
  void Merge(const SuspectNotice& notice, TimePoint now);

  // Records whether another host that all hosts ask knows of a suspect. Until
  // the first call it counts as known. Does nothing for any other content.
  void SetShared(ContentDigest digest, bool shared);
  // @return whether the content is a suspect that no other host knows of
  bool IsUnshared(ContentDigest digest, TimePoint now) const;

  // Removes the suspects that are past the retention period, except those
  // running isolated.
  void Expire(TimePoint now);

  std::size_t size() const { return suspects_.size(); }

 private:
  struct Suspect {
    int crashes = 0;
    bool isolated_running = false;
    bool unshared = false;
    TimePoint last_crash;
  };

  bool IsExpired(const Suspect& suspect, TimePoint now) const;
  bool IsRefused(const Suspect& suspect) const;
  void CountRunning(ContentDigest digest);
  // @return whether a request of the content was counted as running
  bool UncountRunning(ContentDigest digest);
  // @return the suspect, added if absent; another is evicted where the table is
  //     full
  Suspect& FindOrAdd(ContentDigest digest);
  void EvictLeastSuspicious();

  CrashSuspectsOptions options_;
  std::map<ContentDigest, Suspect> suspects_;
  // Number of admitted requests that have not ended, by content.
  std::map<ContentDigest, int> running_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ADMISSION_CRASH_SUSPECTS_H_
