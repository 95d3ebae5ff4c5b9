// Decides whether this host may run a request under a caller's key.
//
// The ring is the set of host incarnations of one region that this host
// considers live. The owner of a key is its rendezvous owner in the ring. Two
// hosts may have different rings, so ownership alone does not exclude a second
// owner. A host runs a request under key K only while all of these conditions
// hold:
//   1. It is the owner of K in its own ring.
//   2. More than half of its electorate supports the same ring.
//   3. Either condition 2 has held for this ring without interruption for
//      `grace_period`, or this host (or a former owner that handed K over) had
//      the right to run K less than `grace_period` ago, and every host that
//      could have owned K since then is accounted for.
//
// Support. A host supports one ring at a time. After its ring changes it
// supports no ring for `support_lifetime`, so support that another host still
// counts cannot overlap with support for a different ring.
//
// Electorate. The electorate is counted in host names: every name that was in a
// ring of this host or in the platform's list. A host that stops responding
// stays in the electorate. A name is removed when the platform's list, read at
// least `grace_period` after the name was last seen, no longer contains it, or
// `support_lifetime` after its host handed over and left. A new incarnation has
// no majority before it has read a list that it requested `max_list_lag` or
// more after its start. Until the host of every name in its electorate has then
// reported the ring of the new incarnation, the new incarnation only observes:
// it reports its ring, but its support does not count. So a host with a
// majority has in its electorate every host whose support counts anywhere, and
// two rings never have a majority at the same moment.
//
// Bound. `grace_period` must be longer than the resend window of the published
// limits plus the longest request deadline plus `2 * support_lifetime` plus the
// clock error (`LongestKeyDeadline`); then no repeat reaches a second owner.
// docs/design/at-most-once.md gives the argument, the assumptions about the
// platform's list and the cost of the rule. Requests under a `Ticket` need none
// of these conditions.
//
// Handover. `CheckOwnership` and `ExecutionLog::Begin` must be called under one
// lock, and records must be exported under the same lock after `SetMembers` or
// `Leave`. A host that leaves calls `Leave` and sends all its records to every
// host of `PendingHandovers`; a live host does the same for a joiner that takes
// over some of its keys. The receiver calls `OnHandover` after it has imported
// all the records.
//
// Example:
//   ring.SetMembers(members, now);
//   ring.OnSupport(peer, peer_ring_hash, requested_at);
//   KeyOwnership verdict = ring.CheckOwnership(key, now);
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
  // How long the support of a peer counts after the request that it responds
  // to, and how long a host supports no ring after its ring changes.
  Duration support_lifetime = std::chrono::seconds(2);
  // How long a majority must support a ring without interruption before a host
  // may run keys that it has newly come to own; see "Bound" above for the
  // lower bound.
  Duration grace_period = std::chrono::seconds(45);
  // Largest staleness of the platform's list: it contains every host that has
  // been live for this long.
  Duration max_list_lag = std::chrono::seconds(10);
};

// Largest difference over one grace period between two steady clocks, or
// between the wall clock of a host and that of its backend server.
inline constexpr Duration kMaxClockError = std::chrono::seconds(1);

// @param resend_window  how long a caller may repeat a request under its key
// @return the longest deadline of a request under a caller's key that the grace
//     period covers; zero or negative where it covers none
constexpr Duration LongestKeyDeadline(const KeyRingOptions& options,
                                      Duration resend_window) {
  return options.grace_period - resend_window - 2 * options.support_lifetime -
         kMaxClockError;
}

struct RunHere {};  // This host may run the request now.
struct ForwardTo {  // Another host owns the key.
  HostIncarnation owner;
};
// This host owns the key but may not run it yet.
struct NotProven {
  // Time until it may, if nothing changes: the support lifetime after a change
  // of the ring, which a request may wait for, or the rest of a grace period.
  Duration retry_after{};
};
using KeyOwnership = std::variant<RunHere, ForwardTo, NotProven>;

// Finds the owner of a key in a ring of exactly these hosts, by the same rule
// as `KeyRing::CheckOwnership`.
// @return the owner; none if `hosts` is empty
std::optional<HostIncarnation> KeyOwner(
    const CallerKey& key, const std::vector<HostIncarnation>& hosts);

class KeyRing {
 public:
  // @param self  this incarnation; always a member of its own ring
  KeyRing(HostIncarnation self, KeyRingOptions options, TimePoint now);
  ~KeyRing();
  KeyRing(KeyRing&&) noexcept;
  KeyRing& operator=(KeyRing&&) noexcept;

  // Replaces the members of the ring: the live hosts of the region.
  void SetMembers(const std::vector<HostIncarnation>& members, TimePoint now);

  // Records the platform's list of the hosts of the region, including hosts
  // that are leaving. A host supports no ring before the first list.
  // @param listed        the hosts; the nonce is 0 where it is not known
  // @param requested_at  when this host requested the list
  void OnHostList(const std::vector<HostIncarnation>& listed,
                  TimePoint requested_at);

  // @return the hash of the ring that this host supports or observes now; 0
  //     while it does neither. To be sent unchanged in the response to a
  //     heartbeat.
  std::uint64_t SupportedRing(TimePoint now) const;

  // Records the support of a peer.
  // @param ring          what the peer's `SupportedRing` returned
  // @param requested_at  when this host sent the message that the peer
  //     responded to; the support counts until
  //     `requested_at + support_lifetime`
  void OnSupport(const HostIncarnation& peer, std::uint64_t ring,
                 TimePoint requested_at);

  // Records that all records of a former owner were imported. The former owner
  // has left, or is live and no longer runs the keys that this host owns. The
  // message must have come over the same link as the support reports of the
  // former owner, because the order of the two matters.
  // @return whether the handover counts; if not, a live sender must send again
  bool OnHandover(const HostIncarnation& former_owner, TimePoint now);

  // Ends the right of this host to run any key. Called when it is stopping.
  void Leave(TimePoint now);

  // @return hosts to which this host must send its records: joiners that have
  //     taken over some of its keys or, after `Leave`, every other member.
  //     Empty where this host itself has no proof of ownership.
  std::vector<HostIncarnation> PendingHandovers() const;

  // Records that a host has imported the records of this host.
  void OnHandoverAcked(const HostIncarnation& peer);

  // @return whether this host may run a request under the key now
  KeyOwnership CheckOwnership(const CallerKey& key, TimePoint now);

  // @return whether a majority supports this host's ring now
  bool HasMajority(TimePoint now) const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_AT_MOST_ONCE_KEY_RING_H_
