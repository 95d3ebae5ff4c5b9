// The load of a backend server, as reported by the server itself.
#ifndef HEATHERLATCH_FLEET_LOAD_READING_H_
#define HEATHERLATCH_FLEET_LOAD_READING_H_

namespace heatherlatch {

struct LoadReading {
  int running = 0;      // Requests in a slot.
  int waiting = 0;      // Requests queued for a slot.
  int slots = 1;        // Requests that the server runs at the same time.
  double slowdown = 1;  // Slowdown factor; 1 is the usual service time.
};

// @return whether a new request would run without queueing
inline bool HasFreeSlot(const LoadReading& reading) {
  return reading.running + reading.waiting < reading.slots;
}

// @return the load of a server after the response that stated `reading`: a
//     server still counts the request to which it responds
inline LoadReading WithoutOneRequest(LoadReading reading) {
  // A request that waited takes the slot.
  int& left = reading.waiting > 0 ? reading.waiting : reading.running;
  left = left > 0 ? left - 1 : 0;
  return reading;
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_FLEET_LOAD_READING_H_
