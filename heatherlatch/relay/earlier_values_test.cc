#include "heatherlatch/relay/earlier_values.h"

#include <catch2/catch.hpp>
#include <string>

#include "heatherlatch/relay/value_delta.h"

namespace heatherlatch {
namespace {

constexpr std::size_t kMaxSize = 8u << 20;

PublishedItem Table(std::uint64_t revision) {
  std::string value;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    value += "{" + std::to_string(i * i * 7919 % 65537) + "}";
  }
  return {"table", value + std::to_string(revision), revision, false};
}

TEST_CASE("a difference is made from the value that the receiver holds") {
  EarlierValues earlier;
  earlier.Keep(Table(5));
  earlier.Keep(Table(6));
  const ItemDelta& delta = earlier.DeltaOf(Table(7), 6);
  CHECK(delta.base_revision == 6);
  CHECK(delta.revision == 7);
  CHECK(delta.bytes.size() < 100);
  CHECK(ApplyDelta(Table(6).value, delta.bytes, kMaxSize) == Table(7).value);
}

TEST_CASE("a value that is not kept is replaced by the whole newest one") {
  EarlierValues earlier;
  for (std::uint64_t revision = 5; revision < 9; ++revision) {
    earlier.Keep(Table(revision));
  }
  for (const std::uint64_t held : {0u, 5u, 6u}) {
    const ItemDelta& delta = earlier.DeltaOf(Table(9), held);
    CHECK(delta.base_revision == 0);
    CHECK(ApplyDelta("", delta.bytes, kMaxSize) == Table(9).value);
  }
  CHECK(earlier.DeltaOf(Table(9), 7).base_revision == 7);
}

TEST_CASE("a difference of an earlier revision is not sent again") {
  EarlierValues earlier;
  earlier.Keep(Table(5));
  CHECK(earlier.DeltaOf(Table(6), 5).revision == 6);
  CHECK(earlier.DeltaOf(Table(7), 5).revision == 7);
}

TEST_CASE("kept values are bounded, and small ones are not kept") {
  EarlierValues earlier;
  earlier.Keep({"small", "value", 5, false});
  CHECK(earlier.DeltaOf({"small", "value 2", 6, false}, 5).base_revision == 0);
  const std::string large(kMaxEarlierBytes / 2, 'x');
  for (const char* key : {"a", "b", "c"}) earlier.Keep({key, large, 5, false});
  CHECK(earlier.DeltaOf({"a", large + "}", 6, false}, 5).base_revision == 0);
  CHECK(earlier.DeltaOf({"c", large + "}", 6, false}, 5).base_revision == 5);
}

}  // namespace
}  // namespace heatherlatch
