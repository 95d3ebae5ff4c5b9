// What a load run sends: targets, rate over time, and kinds of requests.
//
// A profile is a YAML file; docs/LOAD.md lists its fields. It is refused if a
// target is not a loopback address or if a bound of `LoadBounds` is passed.
//
// Thread safety: value types and pure functions.
#ifndef PROGRAMS_LOAD_LOAD_PROFILE_H_
#define PROGRAMS_LOAD_LOAD_PROFILE_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch::load {

struct LoadBounds {
  static constexpr double kMaxRatePerSecond = 50000;
  static constexpr std::chrono::seconds kMaxDuration{600};
  static constexpr std::uint64_t kMaxRequests = 5000000;
  static constexpr int kMaxThreads = 16;
};

// How a request is told apart from its repeats.
enum class Identity {
  kNone,
  kKey,     // Idempotency-Key, made up.
  kTicket,  // Heatherlatch-Ticket, from the target.
};

struct RequestKind {
  std::string name;
  double weight = 1;
  std::string method = "GET";
  std::string path;  // "{n}" stands for the number of the request.
  std::vector<std::pair<std::string, std::string>> headers;
  std::size_t body_bytes = 0;
  Identity identity = Identity::kNone;
};

// A stretch of time with one rate of arrivals.
struct RateStep {
  Duration length{};
  double rate_per_second = 0;
};

// A request to a stand-in at a fixed time, such as the publication of a set in
// which a zone is out of service.
struct TimedAction {
  Duration at{};
  Endpoint target;
  std::string path;
  std::string body;
};

struct LoadProfile {
  std::vector<Endpoint> targets;  // Used in turn.
  int threads = 1;
  Duration timeout = std::chrono::seconds(5);  // Of one attempt.
  int resends = 0;  // After a lost answer, under the same identity.
  Duration resend_wait = std::chrono::milliseconds(100);
  std::uint64_t max_requests = LoadBounds::kMaxRequests;
  int max_in_progress = 4000;
  std::uint64_t seed = 1;
  std::vector<RateStep> steps;
  std::vector<RequestKind> kinds;
  std::vector<TimedAction> actions;
};

// A profile that is not valid.
struct ProfileError {
  std::string message;
};

// @param yaml     the text of the profile
// @param folder   where the files of actions are, with a final slash; may be
//                 empty
// @param targets  "ADDRESS:PORT" texts that take the place of the targets of
//                 the profile; none to keep those
std::variant<LoadProfile, ProfileError> ReadProfile(
    const std::string& yaml, const std::string& folder,
    const std::vector<std::string>& targets);

// @return the sum of the lengths of all steps
Duration TotalLength(const LoadProfile& profile);

// @return what is wrong with the profile; an empty text if nothing is
std::string FindProfileError(const LoadProfile& profile);

}  // namespace heatherlatch::load

#endif  // PROGRAMS_LOAD_LOAD_PROFILE_H_
