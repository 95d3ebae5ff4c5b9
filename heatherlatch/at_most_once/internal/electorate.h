// The host names whose support a majority is counted over.
//
// Silence removes no name; see key_ring.h for what does.
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
  // @param removal_delay     how long a name must have been out of rings and
  //                          lists before a list that lacks it removes it
  // @param departure_delay   how long the name of a host that left still counts
  Electorate(Duration removal_delay, Duration departure_delay)
      : removal_delay_(removal_delay), departure_delay_(departure_delay) {}

  // Adds the members of the ring.
  void NoteRing(const std::vector<HostIncarnation>& ring, TimePoint now);

  // Adds the names of a reading of the platform's list and removes names that
  // it lacks.
  // @param now  when the list was asked for
  void NoteListed(const std::vector<HostIncarnation>& listed, TimePoint now);

  // Records that a host has left for good. Its name counts again once it is in
  // a ring.
  void NoteDeparted(const HostName& host, TimePoint now);

  // Removes departed names whose delay is over.
  void Advance(TimePoint now);

  const std::map<HostName, TimePoint>& last_named() const {
    return last_named_;
  }
  bool has_list() const { return has_list_; }

 private:
  Duration removal_delay_;
  Duration departure_delay_;
  bool has_list_ = false;
  std::map<HostName, TimePoint> last_named_;
  std::map<HostName, TimePoint> departed_;
  std::set<HostName> ring_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_AT_MOST_ONCE_INTERNAL_ELECTORATE_H_
