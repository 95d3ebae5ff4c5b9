// Chooses the backend server that a request is sent to.
//
// The speed of servers changes within milliseconds, so that any published load
// report is stale by the time it is used. A host therefore probes the load of a
// few randomly drawn candidates just before it sends a request, and chooses the
// one with the lowest expected cost. Hosts share no state for this choice, so
// the failure or isolation of other hosts does not affect it.
//
// Example:
//   std::vector<Candidate> drawn = DrawCandidates(all, count, &rng);
//   ... probe each of them, and set its reading ...
//   std::optional<Choice> choice = ChooseServer(drawn, work);
//
// Thread safety: pure functions. Reads no clock.
#ifndef HEATHERLATCH_STEERING_STEERING_H_
#define HEATHERLATCH_STEERING_STEERING_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include "heatherlatch/base/time.h"
#include "heatherlatch/fleet/load_reading.h"
#include "heatherlatch/fleet/server_directory.h"

namespace heatherlatch {

// Location of a backend server relative to the host.
enum class Distance { kSameZone, kSameRegion, kOtherRegion };

// @return the name of the distance in metrics
std::string_view ToString(Distance distance);

// A backend server that a request may be sent to.
struct Candidate {
  ServerRecord server;
  Distance distance = Distance::kSameZone;
  bool cold = false;
  bool failed_recently = false;
  bool connected = false;              // An idle connection is open.
  bool probe_pending = false;          // A load probe is in flight.
  bool not_listening = false;          // Nothing listens at its address.
  bool in_subset = false;              // Of the host (server_subset.h).
  std::optional<LoadReading> reading;  // Absent: no probe response.
  int sent_since_reading = 0;          // By this host, not in the reading.
};

// Size of a response whose transfer between zones costs as much as one latency
// target of delay, unless the settings state prices.
inline constexpr double kCrossZoneBytesPerLatencyTarget = 100'000;
// The same for transfers between regions, relative to those between zones.
inline constexpr double kCrossRegionCostFactor = 3.0;

// What a byte of a response costs that crosses, in latency targets of delay.
struct CrossingPrices {
  double between_zones = 1 / kCrossZoneBytesPerLatencyTarget;
  double between_regions =
      kCrossRegionCostFactor / kCrossZoneBytesPerLatencyTarget;
};

// Expected cost of serving a request.
struct ExpectedWork {
  Duration service_time{};  // On an idle server at its usual speed.
  double response_bytes = 0;
  Duration latency_target{};      // Unit in which cross-zone traffic is priced.
  double nearly_full_factor = 1;  // Slowdown on a nearly full server.
  CrossingPrices crossing;
};

// @return whether sending to the candidate crosses regions
bool IsInOtherRegion(const Candidate& candidate);

// How full a server is once one more request is sent to it.
enum class Occupancy {
  kAvailable,   // At most `kNearlyFullShare` of the slots are taken.
  kNearlyFull,  // The request gets a slot; some servers run slower.
  kQueued,      // The request waits for a slot.
};

// @return the occupancy of the candidate with one more request
Occupancy OccupancyAfterSend(const Candidate& candidate);
// @return whether the candidate reported no requests, and this host has sent it
//     none since
bool IsIdle(const Candidate& candidate);

// Network round trip between caller and host, which is part of the latency
// target. The users' deployments specify 8 ms one way.
inline constexpr Duration kCallerRoundTrip = std::chrono::milliseconds(16);

// Slowdown assumed for a server of unknown load: that of a server slowed by a
// noisy neighbour. Neighbours slow the users' workers by a factor of seven.
inline constexpr double kUnknownServerSlowdown = 7;

// Network round trip between host and server, by distance. The users'
// deployments specify 0.9 ms one way in a region and 30 ms between regions.
inline constexpr Duration kRoundTripInZone = std::chrono::microseconds(400);
inline constexpr Duration kRoundTripInRegion = std::chrono::microseconds(1800);
inline constexpr Duration kRoundTripBetweenRegions =
    std::chrono::milliseconds(60);

// Share of taken slots above which some servers run slower. The users' workers
// "slow down when they are nearly full".
inline constexpr double kNearlyFullShare = 0.8;
// Slowdown of a server in cold start, as in the users' site files.
inline constexpr double kColdStartSlowdown = 2.0;

// @return the network round trip to a server
Duration RoundTrip(Distance distance);

// @return the expected time to a response of the candidate, plus the cost of
//     traffic between zones, expressed as a time
Duration ExpectedCost(const Candidate& candidate, const ExpectedWork& work);

// @return the expected time to a response of the candidate, from now
Duration ExpectedTime(const Candidate& candidate, const ExpectedWork& work);

// How many of the candidates drawn in the host's region are drawn without
// regard to open connections, so that new servers receive requests too. A third
// of the candidates that a host probes.
inline constexpr std::size_t kCandidatesDrawnAtRandom = 2;

// Draws the candidates to probe: those of the host's zone first, then those of
// its region; those of other regions only where the region has none. Within the
// region, and within the other regions, those that failed recently come last.
// Among candidates of the same distance, those with an idle connection come
// first, since a new connection costs the server time and a round trip. The
// order among equal candidates is random.
// @param count  maximum number of candidates drawn
std::vector<Candidate> DrawCandidates(std::vector<Candidate> all,
                                      std::size_t count, std::mt19937_64* rng);

struct Choice {
  std::size_t index = 0;  // Into the candidates.
  Duration expected{};    // Time to a response.
  Occupancy occupancy = Occupancy::kAvailable;
  bool has_reading = true;
};

// Minimum saving for which a request waits for further probe responses. A fifth
// of the time limit for probe responses in a region.
inline constexpr Duration kMinSavingFromWaiting = std::chrono::milliseconds(5);

// Decides whether the probe responses so far settle the choice.
//
// Handles servers that do not respond, or to which a connection must first be
// opened: a request does not wait for their responses where none of them could
// save more than the wait costs.
// @return whether the best candidate responded, has occupancy `kAvailable`, did
//     not fail recently, and costs at most `kMinSavingFromWaiting` more than
//     any candidate that may still respond, if that one were idle
bool IsSettled(const std::vector<Candidate>& candidates,
               const ExpectedWork& work);

// Chooses the candidate with the lowest cost. Candidates that failed recently
// or have no reading rank behind all others.
// @return the choice; nothing where every candidate refuses connections, or is
//     in cold start and has outstanding requests or no reading
std::optional<Choice> ChooseServer(const std::vector<Candidate>& candidates,
                                   const ExpectedWork& work);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_STEERING_STEERING_H_
