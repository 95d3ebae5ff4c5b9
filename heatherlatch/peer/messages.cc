#include "heatherlatch/peer/messages.h"

#include <unordered_map>

#include "heatherlatch/peer/internal/cbor.h"
#include "heatherlatch/peer/internal/frame_decoder.h"
#include "heatherlatch/peer/internal/frame_encoder.h"

namespace heatherlatch {
namespace {

using peer_internal::FieldFault;
using peer_internal::Fields;
using peer_internal::FrameDecoder;
using peer_internal::FrameEncoder;
using peer_internal::TokenList;
using peer_internal::TokenType;

constexpr const char* kKindField = "t";

// Initial capacity; most messages fit without reallocation.
constexpr std::size_t kTypicalFrameBytes = 256;

struct Decoded {
  PeerMessage message;
  std::optional<FieldFault> fault;
};
using DecodeFunction = Decoded (*)(TokenList* tokens);
using DecodeTable = std::unordered_map<std::string, DecodeFunction>;

template <typename Message>
Decoded DecodeAs(TokenList* tokens) {
  Message message;
  std::optional<FieldFault> fault = FrameDecoder(tokens, 0).Read(&message);
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
      return "is larger than the frame size limit";
    case FrameProblem::kNotCbor:
      return "is not a CBOR map";
    case FrameProblem::kMissingField:
      return "is missing";
    case FrameProblem::kBadField:
      return "has the wrong type or is out of range";
  }
  return "is invalid";
}

}  // namespace

std::string EncodeFrame(const PeerMessage& message) {
  std::string bytes;
  bytes.reserve(kTypicalFrameBytes);
  FrameEncoder encoder(&bytes);
  std::visit([&](const auto& kind) { encoder.WriteMessage(kKindField, kind); },
             message);
  return bytes;
}

Result<std::optional<PeerMessage>> DecodeFrame(std::string_view bytes) {
  if (bytes.size() > kMaxFrameBytes) {
    return Fail(FrameError{FrameProblem::kTooLarge, "", ""});
  }
  std::optional<TokenList> tokens = TokenList::Parse(bytes);
  if (!tokens || (*tokens)[0].type != TokenType::kObject) {
    return Fail(FrameError{FrameProblem::kNotCbor, "", ""});
  }
  const auto kind = FrameDecoder(&*tokens, 0).Find(kKindField);
  if (!kind) {
    return Fail(FrameError{FrameProblem::kMissingField, "", kKindField});
  }
  if ((*tokens)[*kind].type != TokenType::kText) {
    return Fail(FrameError{FrameProblem::kBadField, "", kKindField});
  }
  const DecodeTable& table = DecodeTableOfAllKinds();
  const auto entry = table.find((*tokens)[*kind].text);
  if (entry == table.end()) return std::optional<PeerMessage>();
  Decoded decoded = entry->second(&*tokens);
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
