// Counts the servers, slots and zones of an object set that are in service. A
// server is in service if its zone is.
//
// Thread safety: immutable after it is built. Refers to the set it was built
// from, which must outlive it.
#ifndef HEATHERLATCH_OBJECTS_INTERNAL_CAPACITY_H_
#define HEATHERLATCH_OBJECTS_INTERNAL_CAPACITY_H_

#include <map>
#include <vector>

#include "heatherlatch/objects/object_set.h"

namespace heatherlatch::internal {

class Capacity {
 public:
  explicit Capacity(const ObjectSet& set);

  // @return the number of servers of the service that are in service
  int ServersInService(const Service& service) const;

  // @return the total number of slots of these servers
  int SlotsInService(const Service& service) const;

  // @return whether a server of the service is in service in one of the
  //     regions; an empty list means any region
  bool HasServerIn(const Service& service,
                   const std::vector<RegionName>& regions) const;

  // @return the number of zones of the region that are in service
  int ZonesInService(const RegionName& region) const;

 private:
  std::map<ZoneName, const AvailabilityZone*> zones_;
};

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_OBJECTS_INTERNAL_CAPACITY_H_
