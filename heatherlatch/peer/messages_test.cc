#include "heatherlatch/peer/messages.h"

#include <catch2/catch.hpp>

#include "heatherlatch/peer/internal/json.h"
#include "heatherlatch/peer/message_generators_test.h"

namespace heatherlatch {
namespace {

using peer_internal::Json;
using peer_internal::ParseCbor;
using peer_internal::WriteCbor;

struct DecodeOutcome {
  std::optional<PeerMessage> message;
  std::optional<FrameError> error;
};

DecodeOutcome Decode(std::string_view bytes) {
  DecodeOutcome outcome;
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(outcome.message, DecodeFrame(bytes));
        return {};
      },
      [&](const FrameError& error) { outcome.error = error; },
      [&] { FAIL("a failure without FrameError"); });
  return outcome;
}

std::string Changed(const PeerMessage& message,
                    const std::function<void(Json*)>& change) {
  Json object = *ParseCbor(EncodeFrame(message));
  change(&object);
  return WriteCbor(object);
}

TEST_CASE("every message survives its encoding") {
  rc::prop("decode(encode(message)) == message",
           [](const PeerMessage& message) {
             const DecodeOutcome outcome = Decode(EncodeFrame(message));
             RC_ASSERT(outcome.message.has_value());
             RC_ASSERT(outcome.message->index() == message.index());
             // The encoding shows every field, so equal bytes mean equal
             // messages.
             RC_ASSERT(EncodeFrame(*outcome.message) == EncodeFrame(message));
           });
}

TEST_CASE("fields and kinds of a newer version do no harm") {
  rc::prop("an unknown field is ignored", [](const PeerMessage& message) {
    const std::string bytes = Changed(message, [](Json* object) {
      (*object)["newer"] = Json::array({1, 2});
    });
    const DecodeOutcome outcome = Decode(bytes);
    RC_ASSERT(outcome.message.has_value());
    RC_ASSERT(EncodeFrame(*outcome.message) == EncodeFrame(message));
  });
  rc::prop("an unknown kind is skipped", [](const PeerMessage& message) {
    const std::string bytes =
        Changed(message, [](Json* object) { (*object)["t"] = "Newer"; });
    const DecodeOutcome outcome = Decode(bytes);
    RC_ASSERT(!outcome.message.has_value());
    RC_ASSERT(!outcome.error.has_value());
  });
}

}  // namespace
}  // namespace heatherlatch
