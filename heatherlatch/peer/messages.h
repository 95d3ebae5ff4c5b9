// The messages between entry hosts, as types.
//
// Every message is one CBOR map in one binary websocket frame: {"t": kind,
// ...fields}. An unknown field is ignored and an unknown kind is skipped, so a
// newer peer does no harm. A frame that is not CBOR, lacks a field or is larger
// than `kMaxFrameBytes` is a `FrameError`, and the link it came on is closed.
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
#include "heatherlatch/configuration/configuration_keeper.h"
#include "heatherlatch/membership/membership.h"
#include "heatherlatch/placement/group_scheduler.h"

namespace heatherlatch {

inline constexpr int kPeerProtocolVersion = 1;
inline constexpr std::size_t kMaxFrameBytes = std::size_t{4} * 1024 * 1024;

// Matches an answer to its question on one link; unique for the asker.
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
struct GroupReport {
  GroupId group;
  GroupLoad load;
};

struct Heartbeat {
  // Left out of the frame where the host name is empty. The transport leaves
  // out a sender that is the host itself and puts it back on the other side.
  HostDescription from;
  std::uint64_t sequence = 0;  // Echoed by the answer.
  Revision revision = 0;       // Of the configuration in force at the sender.
  std::vector<GroupReport> groups;
};

struct HeartbeatAck {
  std::uint64_t sequence = 0;
  Revision revision = 0;
  std::uint64_t supported_ring = 0;  // See key_ring.h; 0 for none.
};

// The sender stops; it sends no more requests and grants no more slots.
struct Leaving {
  HostIncarnation from;
};

struct ConfigurationRequest {
  Revision newer_than = 0;
};

struct ConfigurationOffer {
  ConfigurationDocument document;
};

// Asks the owner of a group for a slot.
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
  bool not_owner = false;  // The receiver does not take itself as the owner.
  GroupLoad load;
};

struct ReleaseSlot {
  GroupId group;
  GrantId grant = 0;
  CallReport report;
};

// Sends a request that must not run twice to the host that may run it.
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

// How the host that was asked answered a forwarded request.
struct ForwardReply {
  CallId call = 0;
  Outcome outcome = Unknown{UnknownReason::kAnswerLost};
  // The whole answer where the outcome is `Ran` and the answer is kept.
  std::shared_ptr<const StoredAnswer> answer;
};

// Records of callers' keys, from a host that is stopping to the next owners.
struct KeyHandOver {
  HostIncarnation from;
  std::vector<KeyRecord> records;
  bool last = false;  // No further records follow, and `from` has stopped.
};

struct KeyHandOverAck {
  HostIncarnation from;
};

struct SuspectShared {
  SuspectNotice notice;
};

using PeerMessage =
    std::variant<Challenge, Hello, Heartbeat, HeartbeatAck, Leaving,
                 ConfigurationRequest, ConfigurationOffer, AcquireSlot,
                 CancelAcquire, AcquireGranted, AcquireRefused, ReleaseSlot,
                 ForwardRequest, ForwardReply, KeyHandOver, KeyHandOverAck,
                 SuspectShared>;

enum class FrameProblem { kTooLarge, kNotCbor, kMissingField, kBadField };
struct FrameError {
  FrameProblem problem = FrameProblem::kNotCbor;
  std::string kind;   // Kind of the message, where it could be read.
  std::string field;  // Field that is wrong, where one is.
};

// @return the CBOR bytes of a message
std::string EncodeFrame(const PeerMessage& message);

// @param bytes  the payload of one frame
// @return the message; none where its kind is unknown; or FrameError
Result<std::optional<PeerMessage>> DecodeFrame(std::string_view bytes);

// @return one sentence that names the kind, the field and what is wrong
std::string ToString(const FrameError& error);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PEER_MESSAGES_H_
