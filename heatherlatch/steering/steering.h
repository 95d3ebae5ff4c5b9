// Chooses the backend server that a request is sent to.
//
// Load this answers: servers whose speed changes within milliseconds, so that
// any report is stale by the time it is used. A host asks a few drawn
// candidates for their load just before it sends, and takes the one with the
// shortest expected time. The choice shares nothing between hosts and goes on
// unchanged when hosts die or are cut off.
//
// Example:
//   std::vector<Candidate> drawn = DrawCandidates(all, kCandidatesAsked, &rng);
//   ... ask each of them, and set its reading ...
//   Choice choice = ChooseServer(drawn, work);
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

enum class Distance { kSameZone, kSameRegion, kOtherRegion };

struct Candidate {
  ServerRecord server;
  Distance distance = Distance::kSameZone;
  bool cold = false;
  bool failed_lately = false;
  bool connected = false;              // A kept connection to it is idle.
  bool reply_pending = false;          // It was asked and may still answer.
  bool gone = false;                   // Nothing listens at its address.
  std::optional<LoadReading> reading;  // Absent: it has not answered.
  int sent_since_reading = 0;          // By this host, and not in the reading.
};

// What is expected of a request.
struct ExpectedWork {
  Duration service_time{};  // On an idle server at its usual speed.
  double answer_bytes = 0;
  Duration latency_target{};      // Measures what traffic between zones costs.
  double nearly_full_factor = 1;  // How much longer it takes there.
};

// @return whether sending to the candidate crosses regions
bool IsInOtherRegion(const Candidate& candidate);

// How much of a server is taken once a request is sent to it.
enum class Occupancy {
  kRoomy,
  kNearlyFull,  // Some servers get slower.
  kWaiting,     // The request waits for a slot.
};

Occupancy OccupancyWith(const Candidate& candidate);
// @return whether the candidate told that it runs nothing, and got nothing
// since
bool IsIdle(const Candidate& candidate);

// The way to the caller and back, which the latency target counts too.
// Source: the users' sheets, 8 ms one way.
inline constexpr Duration kCallerRoundTrip = std::chrono::milliseconds(16);

// A server of unknown load is taken to be as slow as a disturbed one.
// Source: neighbours slow the users' workers seven times.
inline constexpr double kUnknownServerSlowdown = 7;

// Time on the way there and back.
// Source: the sheets of the users' deployments, 0.9 ms and 30 ms one way.
inline constexpr Duration kRoundTripInZone = std::chrono::microseconds(400);
inline constexpr Duration kRoundTripInRegion = std::chrono::microseconds(1800);
inline constexpr Duration kRoundTripBetweenRegions =
    std::chrono::milliseconds(60);

// The share of slots above which some servers get slower.
// Source: the users' workers that "slow down when they are nearly full".
inline constexpr double kNearlyFullShare = 0.8;
// How much longer work takes on a server in cold start.
// Source: the users' site files.
inline constexpr double kColdStartSlowdown = 2.0;

// The bytes of an answer whose crossing of a zone costs as much as missing the
// latency target. Source: the users' prices for traffic between zones.
inline constexpr double kCrossZoneBytesPerLatencyTarget = 100'000;
// Traffic between regions costs this much more than between zones.
// Source: the users' prices.
inline constexpr double kCrossRegionCostFactor = 3.0;

// @return the way to a server and back
Duration RoundTrip(Distance distance);

// @return when an answer of the candidate is expected, counted from now, with
//     what the crossing of zones costs added
Duration ExpectedCost(const Candidate& candidate, const ExpectedWork& work);

// @return when an answer of the candidate is expected, counted from now
Duration ExpectedTime(const Candidate& candidate, const ExpectedWork& work);

// Of the candidates drawn in a region, those that are drawn without regard to
// kept connections, so that servers that are new get work too.
// Source: a third of the candidates that a host asks.
inline constexpr std::size_t kCandidatesDrawnAtRandom = 2;

// Draws at most `count` candidates: those of the own zone first, then those of
// the region, and others only where the region has none. Those that failed
// lately come last. Within a zone or region, those with a kept connection come
// first, since a new one costs a server time and a round trip; the choice among
// equals is random.
std::vector<Candidate> DrawCandidates(std::vector<Candidate> all,
                                      std::size_t count, std::mt19937_64* rng);

struct Choice {
  std::size_t index = 0;  // Of the candidates.
  Duration expected{};
  Occupancy occupancy = Occupancy::kRoomy;
  bool answered = true;  // The candidate told its load.
};

// What the wait for a better candidate must at least save.
// Source: a fifth of the wait for answers in a region.
inline constexpr Duration kMinSavingFromWaiting = std::chrono::milliseconds(5);

// Decides whether the answers so far settle the choice.
//
// Load this answers: servers that are silent, or to which a connection must
// first be opened. A request does not wait for their answers where none of them
// could save more than the wait costs.
// @return whether the best candidate answered, has room and costs at most
//     `kMinSavingFromWaiting` more than any that may still answer, were that
//     one idle
bool IsSettled(const std::vector<Candidate>& candidates,
               const ExpectedWork& work);

// @return the candidate with the lowest cost; those that failed lately or did
//     not answer come last; nothing where there is no candidate, or only such
//     that are gone, or cold with work already
std::optional<Choice> ChooseServer(const std::vector<Candidate>& candidates,
                                   const ExpectedWork& work);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_STEERING_STEERING_H_
