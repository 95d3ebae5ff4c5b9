// Decides whether this host may run requests under callers' keys.
//
// The ring is the set of host incarnations of one region that this host takes
// as live. The owner of a key is its rendezvous owner in the ring. Hosts may
// disagree on the ring, so ownership alone proves nothing. A host runs a
// request under key K only while all of this holds:
//   1. It is the owner of K in its own ring.
//   2. More than half of the electorate supports the same ring. The electorate
//      is every incarnation that was in a ring of this host, or in the
//      platform's list, within the last `quiet_period`.
//   3. 1 and 2 have held without a gap for `quiet_period`, or the former owner
//      of K handed its records over before it stopped.
//
// A host supports one ring at a time. After its ring changes it supports none
// for `support_lifetime`, so a support that another host still counts cannot
// overlap with support for a different ring. Two rings therefore never have a
// majority of one electorate at the same moment, and two hosts cannot run the
// same key within one `quiet_period`. With `quiet_period` longer than the
// resend window plus the longest request deadline plus the clock error, no
// repeat reaches a second owner.
//
// Assumption: two rings that are in use within one `quiet_period` share more
// than half of their members. Requests under a `Ticket` do not need it.
//
// Example:
//   ring.SetMembers(members, now);
//   ring.OnSupport(peer, peer_ring_hash, asked_at);
//   KeyVerdict verdict = ring.Judge(key, now);
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_AT_MOST_ONCE_KEY_RING_H_
#define HEATHERLATCH_AT_MOST_ONCE_KEY_RING_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "heatherlatch/at_most_once/request_key.h"
#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

struct KeyRingOptions {
  Duration support_lifetime = std::chrono::seconds(2);
  Duration quiet_period = std::chrono::seconds(45);
};

struct RunHere {};  // This host may run the request now.
struct ForwardTo {  // Another host owns the key.
  HostIncarnation owner;
};
struct NotProven {  // This host owns the key but may not run it yet.
  Duration retry_after{};
};
using KeyVerdict = std::variant<RunHere, ForwardTo, NotProven>;

class KeyRing {
 public:
  // @param self  this incarnation; always a member of its own ring
  KeyRing(HostIncarnation self, KeyRingOptions options, TimePoint now);
  ~KeyRing();
  KeyRing(KeyRing&&) noexcept;
  KeyRing& operator=(KeyRing&&) noexcept;

  // Replaces the members of the ring: the live hosts of the region.
  void SetMembers(const std::vector<HostIncarnation>& members, TimePoint now);

  // Adds incarnations to the electorate that the platform's list names.
  void NoteListed(const std::vector<HostIncarnation>& listed, TimePoint now);

  // @return the hash of the ring that this host supports now; 0 while it
  //     supports none
  std::uint64_t SupportedRing(TimePoint now) const;

  // Records the support of a peer.
  // @param ring      what the peer's `SupportedRing` returned
  // @param asked_at  when this host sent the message that the peer answered;
  //                  the support counts until `asked_at + support_lifetime`
  void OnSupport(const HostIncarnation& peer, std::uint64_t ring,
                 TimePoint asked_at);

  // Records that a former owner has stopped running requests and that its
  // records were imported: its keys need no quiet period here.
  void OnHandOver(const HostIncarnation& former_owner, TimePoint now);

  // @return whether this host may run a request under the key now
  KeyVerdict Judge(const CallerKey& key, TimePoint now);

  // @return whether a majority supports this host's ring now
  bool HasMajority(TimePoint now) const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_AT_MOST_ONCE_KEY_RING_H_
