#include "heatherlatch/routing/request_target.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

void CheckTarget(std::string_view target, const std::string& authority,
                 const std::string& origin_form) {
  const auto absolute = ParseAbsoluteTarget(target);
  REQUIRE(absolute);
  CHECK(absolute->authority == authority);
  CHECK(absolute->origin_form == origin_form);
}

TEST_CASE("an absolute-form target is split into authority, path and query") {
  CheckTarget("http://a.example/p/x?y=1", "a.example", "/p/x?y=1");
  CheckTarget("HTTPS://a.example:8443/", "a.example:8443", "/");
  CheckTarget("http://a.example", "a.example", "/");
  CheckTarget("http://a.example?y=/p", "a.example", "/?y=/p");
  CheckTarget("http://[::1]:80/p", "[::1]:80", "/p");
}

TEST_CASE("targets in other forms are not taken for absolute ones") {
  for (const std::string_view target :
       {"/", "/http://a.example/", "*", "a.example:443", "http:/a/", "http",
        ""}) {
    CHECK_FALSE(ParseAbsoluteTarget(target));
  }
}

TEST_CASE("the path and query of an absolute-form target stay as they are") {
  CHECK(rc::check("origin form is what follows the authority", [] {
    const auto path = "/" + *rc::gen::container<std::string>(
                                rc::gen::inRange<char>('!', '\x7f'));
    const auto absolute = ParseAbsoluteTarget("http://a.example" + path);
    RC_ASSERT(absolute.has_value());
    RC_ASSERT(absolute->authority == "a.example");
    RC_ASSERT(absolute->origin_form == path);
  }));
}

}  // namespace
}  // namespace heatherlatch
