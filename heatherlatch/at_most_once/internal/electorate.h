// The host names over which a majority is counted.
//
// A host that stops responding stays in the electorate; see key_ring.h for the
// rules that remove a name.
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_AT_MOST_ONCE_INTERNAL_ELECTORATE_H_
#define HEATHERLATCH_AT_MOST_ONCE_INTERNAL_ELECTORATE_H_

#include <map>
#include <set>
#include <vector>

#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

class Electorate {
 public:
  // @param removal_delay    how long a name must have been absent from rings
  //                         and lists before a list without it removes it
  // @param departure_delay  how long the name of a host that left still counts
  Electorate(Duration removal_delay, Duration departure_delay)
      : removal_delay_(removal_delay), departure_delay_(departure_delay) {}

  // Replaces the ring and adds the names of its members.
  void SetRing(const std::vector<HostIncarnation>& ring, TimePoint now);

  // Adds the names in the platform's list. Removes names that neither the list
  // nor the ring contains and that were last seen `removal_delay` or more ago.
  // @param now  when the list was requested
  void ApplyHostList(const std::vector<HostIncarnation>& listed, TimePoint now);

  // Records that a host has left for good. Its name is removed after
  // `departure_delay` and counts again once it is in a ring. No effect while
  // the name is in the ring.
  void MarkDeparted(const HostName& host, TimePoint now);

  // Removes names whose host left `departure_delay` or more ago.
  void RemoveDeparted(TimePoint now);

  // @return every name of the electorate and when a ring or list last had it
  const std::map<HostName, TimePoint>& last_seen() const { return last_seen_; }
  // @return whether a list of the platform was applied
  bool has_list() const { return has_list_; }

 private:
  Duration removal_delay_;
  Duration departure_delay_;
  bool has_list_ = false;
  std::map<HostName, TimePoint> last_seen_;
  // When the host of each departed name left.
  std::map<HostName, TimePoint> departed_;
  // Names of the present ring.
  std::set<HostName> ring_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_AT_MOST_ONCE_INTERNAL_ELECTORATE_H_
