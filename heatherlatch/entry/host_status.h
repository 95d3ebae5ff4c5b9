// The status document of a host: JSON that heatherlatch-status reads.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_ENTRY_HOST_STATUS_H_
#define HEATHERLATCH_ENTRY_HOST_STATUS_H_

#include <memory>
#include <string>
#include <vector>

#include "heatherlatch/entry/host_snapshot.h"
#include "heatherlatch/entry/slot_service.h"

namespace heatherlatch {

struct HostStatusInputs {
  HostDescription self;
  std::shared_ptr<const HostSnapshot> snapshot;
  std::vector<OwnedGroupStatus> groups;
  int requests_in_progress = 0;
  bool key_ring_majority = false;
  bool stopping = false;
};

// @return the status as one JSON object (docs/INTERFACES.md)
std::string StatusJson(const HostStatusInputs& inputs);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_HOST_STATUS_H_
