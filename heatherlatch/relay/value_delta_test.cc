#include "heatherlatch/relay/value_delta.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

namespace heatherlatch {
namespace {

constexpr std::size_t kMaxSize = 1 << 20;

// @return an entry of a table, different for each `number`
std::string Entry(unsigned number) {
  const std::string name = std::to_string(number * 2654435761u);
  return "\"r-" + name + R"(":{"host":"shop.example","prefix":"/)" + name +
         R"(/","kind":"safe","service":"tally","timeoutMs":5000})";
}

// @return a table of the entries from `first` on, each `step`th one
std::string Table(unsigned first, unsigned step, int entries) {
  std::string table = "{";
  for (int i = 0; i < entries; ++i) table += Entry(first += step) + ",";
  return table + "}";
}

std::string AnyTable() {
  return *rc::gen::container<std::string>(
      rc::gen::element('{', '}', ',', 'a', 'b', '\0', '\xff'));
}

TEST_CASE("a difference restores the value that it was made of") {
  CHECK(rc::check("any two values", [] {
    const std::string base = AnyTable();
    const std::string value = AnyTable();
    RC_ASSERT(ApplyDelta(base, MakeDelta(base, value), value.size()) == value);
  }));
}

// Guards against a table that grows at the cost of a whole table each time.
TEST_CASE("a difference costs what the base lacks, compressed") {
  const std::string base = Table(0, 2, 1400);
  std::string grown = Table(0, 1, 2800);
  CHECK(MakeDelta(base, grown).size() * 5 < grown.size());
  CHECK(MakeDelta("", base).size() * 4 < base.size());
  const std::string before = grown;
  grown.replace(grown.find("5000"), 4, "6000");
  CHECK(MakeDelta(before, grown).size() < 500);
  CHECK(ApplyDelta(before, MakeDelta(before, grown), kMaxSize) == grown);
}

// Guards against commands that are longer than the parts that they copy.
TEST_CASE("a value of many short parts is restored") {
  const std::string value(1000, '}');
  const std::string base = std::string(200, 'x') + "}}";
  CHECK(ApplyDelta(base, MakeDelta(base, value), value.size()) == value);
}

TEST_CASE("a difference is applied to no other value, and not when damaged") {
  const std::string base = Table(0, 1, 20);
  const std::string value = Table(3, 1, 25);
  const std::string delta = MakeDelta(base, value);
  CHECK_FALSE(ApplyDelta("", delta, kMaxSize));
  CHECK_FALSE(ApplyDelta(Table(1, 1, 20), delta, kMaxSize));
  CHECK_FALSE(ApplyDelta(base, delta, value.size() - 1));
  CHECK(rc::check("damaged bytes", [&] {
    std::string damaged = delta;
    const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
    damaged[at] =
        static_cast<char>(damaged[at] ^ *rc::gen::inRange<int>(1, 256));
    const auto restored = ApplyDelta(base, damaged, kMaxSize);
    RC_ASSERT(!restored || *restored == value);
  }));
  CHECK(rc::check("any bytes", [&] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(!ApplyDelta(base, bytes, kMaxSize));
    RC_ASSERT(!ApplyDelta(base, delta.substr(0, 9) + bytes, kMaxSize) ||
              delta.substr(9) == bytes);
  }));
}

}  // namespace
}  // namespace heatherlatch
