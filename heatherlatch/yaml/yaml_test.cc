#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "heatherlatch/yaml/closest_name.h"
#include "heatherlatch/yaml/document.h"
#include "heatherlatch/yaml/units.h"

namespace heatherlatch {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_CASE("durations are read with their unit") {
  CHECK(ParseDuration("250ms") == milliseconds(250));
  CHECK(ParseDuration("2s") == seconds(2));
  CHECK(ParseDuration("1m") == minutes(1));
  CHECK(ParseDuration("3h") == hours(3));
  for (const std::string text :
       {"", "5", "ms", "1.5s", "-1s", " 1s", "1 s", "1d", "1S",
        "99999999999999999999h", "9999999999999999h"}) {
    INFO(text);
    CHECK_FALSE(ParseDuration(text));
  }
}

TEST_CASE("sizes are read with their unit") {
  CHECK(ParseSize("10B") == 10U);
  CHECK(ParseSize("64KB") == 65536U);
  CHECK(ParseSize("2MB") == 2097152U);
  CHECK_FALSE(ParseSize("64"));
  CHECK_FALSE(ParseSize("64kb"));
  CHECK_FALSE(ParseSize("99999999999999999MB"));
}

TEST_CASE("formatting and parsing a quantity returns the same value") {
  rc::prop("durations and sizes", [](std::uint32_t count) {
    const Duration duration = milliseconds(count);
    RC_ASSERT(ParseDuration(FormatDuration(duration)) == duration);
    RC_ASSERT(ParseSize(FormatSize(count)) == std::uint64_t{count});
  });
}

TEST_CASE("the edit distance is symmetric and bounded") {
  rc::prop("any two texts", [](const std::string& a, const std::string& b) {
    const std::size_t distance = EditDistance(a, b);
    RC_ASSERT(distance == EditDistance(b, a));
    RC_ASSERT((distance == 0) == (a == b));
    RC_ASSERT(distance <= std::max(a.size(), b.size()));
  });
}

TEST_CASE("a similar name is suggested, a dissimilar one is not") {
  const std::vector<std::string> names = {"reads", "writes", "tally-reads"};
  CHECK(DidYouMean("raeds", names) == "did you mean \"reads\"?");
  CHECK(DidYouMean("tally_reads", names) == "did you mean \"tally-reads\"?");
  CHECK(DidYouMean("cash", names).empty());
  CHECK(DidYouMean("", names).empty());
  CHECK(DidYouMean(std::string(200, 'x'), names).empty());
}

TEST_CASE("any text is loaded or rejected, also if deeply nested") {
  std::vector<Finding> findings;
  CHECK_FALSE(LoadDocument("a: " + std::string(100000, '['), &findings));
  CHECK(findings.size() == 1);
  rc::prop("any bytes", [](const std::string& text) {
    std::vector<Finding> found;
    const auto document = LoadDocument(text, &found);
    RC_ASSERT(document.has_value() == found.empty());
  });
}

}  // namespace
}  // namespace heatherlatch
