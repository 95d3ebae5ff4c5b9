// Messages between entry hosts and their encoding.
//
// Every message is one CBOR map in one binary websocket frame: {"t": kind,
// ...fields}. Unknown fields are ignored and messages of an unknown kind are
// skipped, so hosts of different versions can be linked. A frame that is not
// CBOR, lacks a field or is larger than `kMaxFrameBytes` yields a `FrameError`,
// and the link that received it is closed.
//
// Example:
//   const std::string bytes = EncodeFrame(Leaving{self.incarnation});
//   BOOST_LEAF_AUTO(message, DecodeFrame(bytes));
//   if (message) std::visit(handler, *message);
//
// Thread safety: value types and pure functions.
#ifndef HEATHERLATCH_PEER_MESSAGES_H_
#define HEATHERLATCH_PEER_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "heatherlatch/admission/crash_suspects.h"
#include "heatherlatch/at_most_once/execution_log.h"
#include "heatherlatch/base/outcome.h"
#include "heatherlatch/base/result.h"
#include "heatherlatch/configuration/configuration_state.h"
#include "heatherlatch/membership/membership.h"
#include "heatherlatch/placement/group_scheduler.h"

namespace heatherlatch {

inline constexpr int kPeerProtocolVersion = 1;
inline constexpr std::size_t kMaxFrameBytes = std::size_t{4} * 1024 * 1024;

// Matches a response to its request on one link; unique among the requests of
// the sender.
using CallId = std::uint64_t;

// First message on a link, in both directions: a fresh random value that the
// proof in the peer's `Hello` must cover.
struct Challenge {
  int protocol_version = kPeerProtocolVersion;
  std::string nonce;
};

// Second message on a link, in both directions.
struct Hello {
  int protocol_version = kPeerProtocolVersion;
  HostDescription from;
  std::string key_proof;  // See peer_key.h.
};

// Load of a group that the sender owns.
struct GroupLoadReport {
  GroupId group;
  GroupLoad load;
};

struct Heartbeat {
  // Omitted from the frame if the host name is empty. The transport omits it
  // where the sending host describes itself, and restores it on receipt.
  HostDescription from;
  std::uint64_t sequence = 0;  // Echoed in the ack.
  Revision revision = 0;       // Of the configuration in force at the sender.
  std::vector<GroupLoadReport> groups;
};

struct HeartbeatAck {
  std::uint64_t sequence = 0;
  Revision revision = 0;
  std::uint64_t supported_ring = 0;  // See key_ring.h; 0 for none.
};

// The sender is stopping; it sends no more requests and grants no more slots.
struct Leaving {
  HostIncarnation from;
};

struct ConfigurationRequest {
  Revision newer_than = 0;
};

struct ConfigurationOffer {
  ConfigurationDocument document;
};

// Requests a slot from the owner of a group.
struct AcquireSlot {
  CallId call = 0;
  GroupId group;
  OrganisationName organisation;
  int weight = 1;
  Duration time_left{};  // Until the deadline of the request.
  std::vector<BackendServerName> excluded;
  bool isolated = false;
};

struct CancelAcquire {
  CallId call = 0;
};

struct AcquireGranted {
  CallId call = 0;
  GrantId grant = 0;
  BackendServerName server;
  Endpoint endpoint;
  Duration lease_left{};
  GroupLoad load;
};

struct AcquireRefused {
  CallId call = 0;
  NotRunReason reason = NotRunReason::kQueueFull;
  // Whether the refusing host is, by its own view, not the owner of the group.
  bool not_owner = false;
  GroupLoad load;
};

struct ReleaseSlot {
  GroupId group;
  GrantId grant = 0;
  CallReport report;
};

// Forwards a request that must be executed at most once to the host that may
// execute it.
struct ForwardRequest {
  CallId call = 0;
  RequestKey key;
  OrganisationName organisation;
  std::string method;
  std::string target;  // Path and query.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  Duration time_left{};
};

// Response to a `ForwardRequest`.
struct ForwardResponse {
  CallId call = 0;
  Outcome outcome = Unknown{UnknownReason::kResponseLost};
  // The complete response, if the outcome is `Ran` and the response is stored.
  std::shared_ptr<const StoredResponse> response;
};

// Records of callers' keys that a stopping host sends to the next owners.
struct KeyHandover {
  HostIncarnation from;
  std::vector<KeyRecord> records;
  bool last = false;  // No further records follow, and `from` has stopped.
};

struct KeyHandoverAck {
  HostIncarnation from;
};

// Reports a crash suspect to a peer.
struct CrashSuspectReport {
  SuspectNotice notice;
};

using PeerMessage =
    std::variant<Challenge, Hello, Heartbeat, HeartbeatAck, Leaving,
                 ConfigurationRequest, ConfigurationOffer, AcquireSlot,
                 CancelAcquire, AcquireGranted, AcquireRefused, ReleaseSlot,
                 ForwardRequest, ForwardResponse, KeyHandover, KeyHandoverAck,
                 CrashSuspectReport>;

enum class FrameProblem { kTooLarge, kNotCbor, kMissingField, kBadField };
struct FrameError {
  FrameProblem problem = FrameProblem::kNotCbor;
  std::string kind;   // Kind of the message, if it could be read.
  std::string field;  // Path of the missing or invalid field, if any.
};

// @return the CBOR bytes of a message
std::string EncodeFrame(const PeerMessage& message);

// @param bytes  the payload of one frame
// @return the message; std::nullopt if its kind is unknown; or FrameError
Result<std::optional<PeerMessage>> DecodeFrame(std::string_view bytes);

// @return one sentence with the kind, the field and the problem
std::string ToString(const FrameError& error);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PEER_MESSAGES_H_
