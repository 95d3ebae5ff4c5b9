// What a backend server says of its own load.
#ifndef HEATHERLATCH_FLEET_LOAD_READING_H_
#define HEATHERLATCH_FLEET_LOAD_READING_H_

namespace heatherlatch {

struct LoadReading {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  double slowness = 1;  // How long work takes; 1 is the usual time.
};

// @return whether a request would run at once
inline bool HasFreeSlot(const LoadReading& reading) {
  return reading.running + reading.waiting < reading.slots;
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_FLEET_LOAD_READING_H_
