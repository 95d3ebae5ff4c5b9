// The fields of every message and of the structs inside messages.
//
// One list of fields serves the encoder and the decoder, so the two cannot
// differ. A visitor offers:
//   Required(name, field)                  always present
//   Optional(name, field, default_value)   omitted if equal to the default
//   Bytes(name, field)                     a byte string, always present
// For compatibility between versions, new fields are added as `Optional`, and
// the meaning of a field does not change. Enumerations are encoded as their
// number, so new values are only appended.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_PEER_INTERNAL_MESSAGE_FIELDS_H_
#define HEATHERLATCH_PEER_INTERNAL_MESSAGE_FIELDS_H_

#include <type_traits>

#include "heatherlatch/peer/messages.h"

namespace heatherlatch::peer_internal {

// `Fields<T>::Visit(visitor, object)` passes each field of `object`, which may
// be const, to the visitor. Messages also have `kKind`, their kind on the wire.
//
// A struct whose `Fields` derive from `Positional` is encoded as an array of
// its fields in their order, all present, which saves the names in small
// structs that are sent often. A field may be appended as `Optional`.
template <typename T>
struct Fields;

struct Positional {};

template <typename T>
inline constexpr bool kIsPositional = std::is_base_of_v<Positional, Fields<T>>;

// The highest valid value of an enumeration; the decoder rejects higher ones.
template <typename T>
struct LastValue;
template <>
struct LastValue<NotRunReason> {
  static constexpr auto kValue = NotRunReason::kCallerDisconnected;
};
template <>
struct LastValue<UnknownReason> {
  static constexpr auto kValue = UnknownReason::kStillRunning;
};
template <>
struct LastValue<CallOutcome> {
  static constexpr auto kValue = CallOutcome::kNotUsed;
};

template <>
struct Fields<HostIncarnation> : Positional {
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("host", object.host);
    visit.Required("nonce", object.nonce);
  }
};

template <>
struct Fields<Endpoint> : Positional {
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("ip", object.address);
    visit.Required("port", object.port);
  }
};

template <>
struct Fields<HostDescription> {
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("incarnation", object.incarnation);
    visit.Required("region", object.region);
    visit.Required("zone", object.zone);
    visit.Required("caller_endpoint", object.caller_endpoint);
    visit.Required("peer_endpoint", object.peer_endpoint);
  }
};

template <>
struct Fields<GroupId> : Positional {
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("service", object.service);
    visit.Required("zone", object.zone);
  }
};

template <>
struct Fields<GroupLoad> : Positional {
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Optional("usable", object.usable_slots, 0);
    visit.Optional("granted", object.granted, 0);
    visit.Optional("waiting", object.waiting, 0);
    visit.Optional("service_us", object.mean_slot_time, Duration::zero());
  }
};

template <>
struct Fields<GroupLoadReport> : Positional {
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("group", object.group);
    visit.Required("load", object.load);
  }
};

template <>
struct Fields<ConfigurationDocument> {
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("revision", object.revision);
    visit.Bytes("yaml", object.yaml);
  }
};

template <>
struct Fields<CallReport> {
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("end", object.end);
    visit.Optional("service_us", object.service_time, Duration::zero());
    visit.Optional("boot", object.boot_id, std::nullopt);
    visit.Optional("in_flight", object.reported_in_flight, std::nullopt);
    visit.Optional("cold", object.cold, false);
  }
};

template <>
struct Fields<Ticket> {
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("issuer", object.issuer);
    visit.Required("sequence", object.sequence);
  }
};

template <>
struct Fields<CallerKey> {
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("organisation", object.organisation);
    visit.Bytes("key", object.key);
  }
};

template <>
struct Fields<StoredResponse> {
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("status", object.status);
    visit.Required("headers", object.headers);
    visit.Bytes("body", object.body);
  }
};

template <>
struct Fields<KeyRecord> {
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("key", object.key);
    visit.Required("digest", object.digest);
    visit.Required("may_have_run", object.may_have_run);
    visit.Required("age_us", object.age);
    visit.Optional("answer", object.response, nullptr);
  }
};

template <>
struct Fields<SuspectNotice> {
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("digest", object.digest);
    visit.Required("service", object.service);
    visit.Required("crashes", object.crashes);
    visit.Required("age_us", object.age);
  }
};

template <>
struct Fields<Challenge> {
  static constexpr const char* kKind = "Challenge";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("version", object.protocol_version);
    visit.Bytes("nonce", object.nonce);
  }
};

template <>
struct Fields<Hello> {
  static constexpr const char* kKind = "Hello";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("version", object.protocol_version);
    visit.Required("from", object.from);
    visit.Bytes("proof", object.key_proof);
  }
};

template <>
struct Fields<Heartbeat> {
  static constexpr const char* kKind = "Heartbeat";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Optional("from", object.from, HostDescription{});
    visit.Required("sequence", object.sequence);
    visit.Optional("revision", object.revision, Revision{0});
    visit.Optional("groups", object.groups, {});
  }
};

template <>
struct Fields<HeartbeatAck> {
  static constexpr const char* kKind = "HeartbeatAck";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("sequence", object.sequence);
    visit.Optional("revision", object.revision, Revision{0});
    visit.Optional("ring", object.supported_ring, std::uint64_t{0});
  }
};

template <>
struct Fields<Leaving> {
  static constexpr const char* kKind = "Leaving";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("from", object.from);
  }
};

template <>
struct Fields<ConfigurationRequest> {
  static constexpr const char* kKind = "ConfigurationRequest";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("newer_than", object.newer_than);
  }
};

template <>
struct Fields<ConfigurationOffer> {
  static constexpr const char* kKind = "ConfigurationOffer";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("document", object.document);
  }
};

template <>
struct Fields<AcquireSlot> {
  static constexpr const char* kKind = "AcquireSlot";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("call", object.call);
    visit.Required("group", object.group);
    visit.Required("organisation", object.organisation);
    visit.Optional("weight", object.weight, 1);
    visit.Required("left_us", object.time_left);
    visit.Optional("excluded", object.excluded, {});
    visit.Optional("isolated", object.isolated, false);
  }
};

template <>
struct Fields<CancelAcquire> {
  static constexpr const char* kKind = "CancelAcquire";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("call", object.call);
  }
};

template <>
struct Fields<AcquireGranted> {
  static constexpr const char* kKind = "AcquireGranted";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("call", object.call);
    visit.Required("grant", object.grant);
    visit.Required("server", object.server);
    visit.Required("endpoint", object.endpoint);
    visit.Required("lease_us", object.lease_left);
    visit.Required("load", object.load);
  }
};

template <>
struct Fields<AcquireRefused> {
  static constexpr const char* kKind = "AcquireRefused";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("call", object.call);
    visit.Required("reason", object.reason);
    visit.Optional("not_owner", object.not_owner, false);
    visit.Required("load", object.load);
  }
};

template <>
struct Fields<ReleaseSlot> {
  static constexpr const char* kKind = "ReleaseSlot";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("group", object.group);
    visit.Required("grant", object.grant);
    visit.Required("report", object.report);
  }
};

template <>
struct Fields<ForwardRequest> {
  static constexpr const char* kKind = "ForwardRequest";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("call", object.call);
    visit.Required("key", object.key);
    visit.Required("organisation", object.organisation);
    visit.Bytes("method", object.method);
    visit.Bytes("target", object.target);
    visit.Required("headers", object.headers);
    visit.Bytes("body", object.body);
    visit.Required("left_us", object.time_left);
  }
};

template <>
struct Fields<ForwardResponse> {
  static constexpr const char* kKind = "ForwardReply";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("call", object.call);
    visit.Required("outcome", object.outcome);
    visit.Optional("answer", object.response, nullptr);
  }
};

template <>
struct Fields<KeyHandover> {
  static constexpr const char* kKind = "KeyHandOver";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("from", object.from);
    visit.Required("records", object.records);
    visit.Optional("last", object.last, false);
  }
};

template <>
struct Fields<KeyHandoverAck> {
  static constexpr const char* kKind = "KeyHandOverAck";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("from", object.from);
  }
};

template <>
struct Fields<CrashSuspectReport> {
  static constexpr const char* kKind = "SuspectShared";
  template <typename Visitor, typename Object>
  static void Visit(Visitor& visit, Object& object) {
    visit.Required("notice", object.notice);
  }
};

}  // namespace heatherlatch::peer_internal

#endif  // HEATHERLATCH_PEER_INTERNAL_MESSAGE_FIELDS_H_
