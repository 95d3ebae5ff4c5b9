#include "heatherlatch/peer/messages.h"

#include <catch2/catch.hpp>
#include <functional>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <random>

#include "heatherlatch/peer/message_generators_test.h"

namespace heatherlatch {
namespace {

// This JSON type keeps the order of fields.
using Json = nlohmann::ordered_json;

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
      [&] { FAIL("DecodeFrame failed without a FrameError"); });
  return outcome;
}

std::string EncodeChanged(const PeerMessage& message,
                          const std::function<void(Json*)>& change) {
  Json object = Json::from_cbor(EncodeFrame(message));
  change(&object);
  std::string bytes;
  Json::to_cbor(object, bytes);
  return bytes;
}

TEST_CASE("a decoded message equals the encoded one") {
  rc::prop("decode(encode(message)) == message",
           [](const PeerMessage& message) {
             const DecodeOutcome outcome = Decode(EncodeFrame(message));
             RC_ASSERT(outcome.message.has_value());
             RC_ASSERT(outcome.message->index() == message.index());
             // The encoding covers every field, so equal bytes mean equal
             // messages.
             RC_ASSERT(EncodeFrame(*outcome.message) == EncodeFrame(message));
           });
}

TEST_CASE("unknown fields are ignored and unknown kinds are skipped") {
  rc::prop("an unknown field is ignored", [](const PeerMessage& message) {
    const std::string bytes = EncodeChanged(message, [](Json* object) {
      (*object)["newer"] = Json::array({1, 2});
    });
    const DecodeOutcome outcome = Decode(bytes);
    RC_ASSERT(outcome.message.has_value());
    RC_ASSERT(EncodeFrame(*outcome.message) == EncodeFrame(message));
  });
  rc::prop("an unknown kind is skipped", [](const PeerMessage& message) {
    const std::string bytes =
        EncodeChanged(message, [](Json* object) { (*object)["t"] = "Newer"; });
    const DecodeOutcome outcome = Decode(bytes);
    RC_ASSERT(!outcome.message.has_value());
    RC_ASSERT(!outcome.error.has_value());
  });
}

bool HasConsistentError(const DecodeOutcome& outcome) {
  if (!outcome.error) return true;
  const bool field_expected =
      outcome.error->problem == FrameProblem::kMissingField ||
      outcome.error->problem == FrameProblem::kBadField;
  return field_expected == !outcome.error->field.empty();
}

// Overwrites some bytes, and truncates or extends the frame.
std::string Mutated(std::string bytes, std::mt19937* random) {
  const auto below = [&](std::size_t end) { return (*random)() % end; };
  for (std::size_t i = below(4); i > 0 && !bytes.empty(); --i) {
    bytes[below(bytes.size())] = static_cast<char>((*random)());
  }
  const std::size_t change = below(4);
  if (change == 0) bytes.resize(below(bytes.size() + 1));
  if (change == 1) bytes.insert(below(bytes.size() + 1), below(9), '\x9f');
  return bytes;
}

TEST_CASE("a truncated frame is not CBOR", "[promise-05]") {
  rc::prop("every proper prefix fails", [](const PeerMessage& message) {
    const std::string bytes = EncodeFrame(message);
    const auto size = *rc::gen::inRange<std::size_t>(0, bytes.size());
    const DecodeOutcome outcome = Decode(bytes.substr(0, size));
    RC_ASSERT(outcome.error.has_value());
    RC_ASSERT(outcome.error->problem == FrameProblem::kNotCbor);
  });
}

TEST_CASE("the error names the field that is missing or invalid") {
  rc::prop("one field changed", [](const PeerMessage& message) {
    std::string kind;
    std::string field;
    const bool remove = *rc::gen::arbitrary<bool>();
    const std::string bytes = EncodeChanged(message, [&](Json* object) {
      kind = (*object)["t"];
      auto entry = object->begin();
      std::advance(entry, *rc::gen::inRange<std::size_t>(1, object->size()));
      field = entry.key();
      if (remove) {
        object->erase(field);
      } else {
        *entry = nullptr;
      }
    });
    const DecodeOutcome outcome = Decode(bytes);
    if (remove && !outcome.error) return;  // An optional field.
    RC_ASSERT(outcome.error.has_value());
    RC_ASSERT(outcome.error->problem ==
              (remove ? FrameProblem::kMissingField : FrameProblem::kBadField));
    RC_ASSERT(outcome.error->kind == kind);
    RC_ASSERT(outcome.error->field == field);
  });
}

TEST_CASE("the error names a nested field by its path") {
  const std::string bytes = EncodeChanged(
      AcquireSlot{}, [](Json* object) { (*object)["group"].erase(1); });
  const DecodeOutcome outcome = Decode(bytes);
  REQUIRE(outcome.error.has_value());
  CHECK(outcome.error->field == "group.zone");
  CHECK(ToString(*outcome.error) ==
        "field \"group.zone\" in frame of kind \"AcquireSlot\" is missing");
}

TEST_CASE("numbers outside the range of their field are errors") {
  const auto decode_with_field = [](const char* field, const Json& value) {
    return Decode(EncodeChanged(
        AcquireSlot{}, [&](Json* object) { (*object)[field] = value; }));
  };
  CHECK(decode_with_field("weight", 1LL << 40).error.has_value());
  CHECK(decode_with_field("call", -1).error.has_value());
  CHECK(decode_with_field("left_us", std::numeric_limits<std::int64_t>::max())
            .error.has_value());
  CHECK(decode_with_field("left_us", -5).message.has_value());
}

TEST_CASE("frames above the limits of size, nesting and tokens are refused") {
  const std::string too_deep(kMaxFrameBytes, '\x81');
  const std::string too_many_tokens = std::string("\x9a\x00\x3f\xff\xfb", 5) +
                                      std::string(kMaxFrameBytes - 5, '\x80');
  const std::string huge_declared_length("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff",
                                         9);
  for (const std::string& bytes :
       {too_deep, too_many_tokens, huge_declared_length}) {
    const DecodeOutcome outcome = Decode(bytes);
    REQUIRE(outcome.error.has_value());
    CHECK(outcome.error->problem == FrameProblem::kNotCbor);
  }
  const DecodeOutcome outcome = Decode(std::string(kMaxFrameBytes + 1, 'x'));
  REQUIRE(outcome.error.has_value());
  CHECK(outcome.error->problem == FrameProblem::kTooLarge);
}

// Run as the test `peer_fuzz`; the seeds are fixed.
TEST_CASE("mutated frames never crash the decoder", "[.][fuzz]") {
  constexpr int kSeeds = 3000;
  constexpr int kMutations = 60;
  const auto messages = rc::gen::arbitrary<PeerMessage>();
  int errors = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    const std::string bytes =
        EncodeFrame(messages(rc::Random(seed), seed % 100).value());
    std::mt19937 random(seed);
    for (int i = 0; i < kMutations; ++i) {
      const DecodeOutcome outcome = Decode(Mutated(bytes, &random));
      REQUIRE(HasConsistentError(outcome));
      if (outcome.message) EncodeFrame(*outcome.message);
      if (outcome.error) ++errors;
    }
  }
  CHECK(errors > kSeeds);
}

}  // namespace
}  // namespace heatherlatch
