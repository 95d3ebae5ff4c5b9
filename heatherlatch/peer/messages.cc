#include "heatherlatch/peer/messages.h"

#include <unordered_map>

#include "heatherlatch/peer/internal/frame_decoder.h"
#include "heatherlatch/peer/internal/frame_encoder.h"
#include "heatherlatch/peer/internal/json.h"

namespace heatherlatch {
namespace {

using peer_internal::FieldFault;
using peer_internal::Fields;
using peer_internal::FrameDecoder;
using peer_internal::FrameEncoder;
using peer_internal::Json;
using peer_internal::ParseCbor;
using peer_internal::WriteCbor;

constexpr const char* kKindField = "t";

template <typename Message>
Json ToJson(const Message& message) {
  Json object = Json::object();
  object.get_ref<Json::object_t&>().reserve(10);
  object[kKindField] = Fields<Message>::kKind;
  FrameEncoder encoder(&object);
  Fields<Message>::Visit(encoder, message);
  return object;
}

struct Decoded {
  PeerMessage message;
  std::optional<FieldFault> fault;
};
using DecodeFunction = Decoded (*)(Json* object);
using DecodeTable = std::unordered_map<std::string, DecodeFunction>;

template <typename Message>
Decoded DecodeAs(Json* object) {
  Message message;
  FrameDecoder decoder;
  std::optional<FieldFault> fault = decoder.Read(object, &message);
  return {std::move(message), std::move(fault)};
}

template <typename... Messages>
DecodeTable MakeDecodeTable(const std::variant<Messages...>*) {
  return {{Fields<Messages>::kKind, &DecodeAs<Messages>}...};
}

const DecodeTable& DecodeTableOfAllKinds() {
  static const auto* const table =
      new DecodeTable(MakeDecodeTable(static_cast<PeerMessage*>(nullptr)));
  return *table;
}

std::string_view ToString(FrameProblem problem) {
  switch (problem) {
    case FrameProblem::kTooLarge:
      return "is larger than the limit";
    case FrameProblem::kNotCbor:
      return "is not a CBOR map";
    case FrameProblem::kMissingField:
      return "is missing";
    case FrameProblem::kBadField:
      return "has the wrong form";
  }
  return "is wrong";
}

}  // namespace

std::string EncodeFrame(const PeerMessage& message) {
  return std::visit([](const auto& kind) { return WriteCbor(ToJson(kind)); },
                    message);
}

Result<std::optional<PeerMessage>> DecodeFrame(std::string_view bytes) {
  if (bytes.size() > kMaxFrameBytes) {
    return Fail(FrameError{FrameProblem::kTooLarge, "", ""});
  }
  std::optional<Json> object = ParseCbor(bytes);
  if (!object || !object->is_object()) {
    return Fail(FrameError{FrameProblem::kNotCbor, "", ""});
  }
  const auto kind = object->find(kKindField);
  if (kind == object->end()) {
    return Fail(FrameError{FrameProblem::kMissingField, "", kKindField});
  }
  if (!kind->is_string()) {
    return Fail(FrameError{FrameProblem::kBadField, "", kKindField});
  }
  const auto& table = DecodeTableOfAllKinds();
  const auto entry = table.find(kind->get_ref<const std::string&>());
  if (entry == table.end()) return std::optional<PeerMessage>();
  Decoded decoded = entry->second(&*object);
  if (decoded.fault) {
    return Fail(FrameError{decoded.fault->problem, entry->first,
                           std::move(decoded.fault->path)});
  }
  return std::optional<PeerMessage>(std::move(decoded.message));
}

std::string ToString(const FrameError& error) {
  std::string text = "frame";
  if (!error.kind.empty()) text += " of kind \"" + error.kind + '"';
  if (!error.field.empty()) text = "field \"" + error.field + "\" in " + text;
  return text + ' ' + std::string(ToString(error.problem));
}

}  // namespace heatherlatch
