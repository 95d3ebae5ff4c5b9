#include "heatherlatch/at_most_once/request_key.h"

#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

const HostIncarnation kIssuer{HostName("entry-1.r#2"), 0xabc};

std::string ErrorOf(const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(ParseTicket(text));
        return std::string();
      },
      [](const RequestKeyError& error) { return ToString(error); },
      []() { return std::string("untyped"); });
}

TEST_CASE("tickets survive a round trip") {
  const Ticket ticket{kIssuer, 18446744073709551615U};
  const Result<Ticket> parsed = ParseTicket(ToString(ticket));
  REQUIRE(parsed);
  CHECK(parsed.value() == ticket);
}

TEST_CASE("a text that is not a ticket is refused") {
  for (const char* text :
       {"", "entry-1", "entry-1#0000000000000abc", "#0000000000000abc.1",
        "entry-1#abc.1", "entry-1#0000000000000ABC.1",
        "entry-1#0000000000000abc.01", "entry-1#0000000000000abc.",
        "entry-1#0000000000000abc.18446744073709551616",
        "entry-1#0000000000000abc.1 "}) {
    CAPTURE(text);
    CHECK(ErrorOf(text).find("is not of the form") != std::string::npos);
  }
}

TEST_CASE("callers' keys have a length limit") {
  const OrganisationName shop("shop");
  CHECK(MakeCallerKey(shop, std::string(kMaxCallerKeyBytes, 'k')));
  CHECK_FALSE(MakeCallerKey(shop, std::string(kMaxCallerKeyBytes + 1, 'k')));
  CHECK_FALSE(MakeCallerKey(shop, ""));
}

TEST_CASE("keys of different organisations have different texts") {
  const RequestKey one = CallerKey{OrganisationName("a:b"), "c"};
  const RequestKey other = CallerKey{OrganisationName("a"), "b:c"};
  CHECK(ToString(one) != ToString(other));
}

}  // namespace
}  // namespace heatherlatch
