#include "heatherlatch/objects/check.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

namespace heatherlatch {
namespace {

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(HEATHERLATCH_EXAMPLES) + "/" + name);
  REQUIRE(file);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("the examples pass the check") {
  for (const std::string name : {"cooperative.yaml", "qalaa.yaml"}) {
    const auto result = ReadObjectSet(ReadExample(name), 7);
    if (const auto* findings = std::get_if<std::vector<Finding>>(&result)) {
      for (const Finding& finding : *findings) UNSCOPED_INFO(ToString(finding));
    }
    REQUIRE(std::holds_alternative<std::shared_ptr<const ObjectSet>>(result));
    CHECK(std::get<0>(result)->revision == 7);
  }
}

}  // namespace
}  // namespace heatherlatch
