#include "heatherlatch/relay/peer_messages.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "heatherlatch/testing/value_of.h"

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using testing::ValueOf;

TEST_CASE("a request and a response are decoded as they were encoded") {
  const SuspectNotice suspect{~0ULL, ServiceName("tally"), 2, milliseconds(40)};
  const FeedRequest request{
      {"10.0.0.1", 8544}, 77, milliseconds(600), {suspect}};
  const auto decoded_request = ValueOf(DecodeFeedRequest(Encode(request)));
  REQUIRE(decoded_request);
  CHECK(decoded_request->requester == request.requester);
  CHECK(decoded_request->after_revision == 77);
  CHECK(decoded_request->wait == milliseconds(600));
  REQUIRE(decoded_request->suspects.size() == 1);
  CHECK(decoded_request->suspects[0].digest == suspect.digest);
  CHECK(decoded_request->suspects[0].service == suspect.service);
  CHECK(decoded_request->suspects[0].crashes == 2);
  CHECK(decoded_request->suspects[0].age == milliseconds(40));

  FeedResponse response;
  response.page = {
      true,
      90,
      {{"a", std::string("\0\xff", 2), 80, false}, {"b", "", 90, true}}};
  response.age = milliseconds(120);
  response.hops = 1;
  response.store_was_unavailable = true;
  response.suspects = {suspect, suspect};
  const auto decoded_response = ValueOf(DecodeFeedResponse(Encode(response)));
  REQUIRE(decoded_response);
  CHECK(decoded_response->page.is_complete);
  CHECK(decoded_response->page.revision == 90);
  REQUIRE(decoded_response->page.items.size() == 2);
  CHECK(decoded_response->page.items[0].value == std::string("\0\xff", 2));
  CHECK(decoded_response->page.items[1].is_deleted);
  CHECK(decoded_response->age == milliseconds(120));
  CHECK(decoded_response->hops == 1);
  CHECK(decoded_response->store_was_unavailable);
  CHECK(decoded_response->suspects.size() == 2);
}

TEST_CASE("bytes that are no message are rejected with an error") {
  CHECK(rc::check("any bytes are decoded or rejected", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    ValueOf(DecodeFeedRequest(bytes));
    ValueOf(DecodeFeedResponse(bytes));
  }));
  const std::string complete = Encode(FeedResponse{});
  CHECK_FALSE(
      ValueOf(DecodeFeedResponse(complete.substr(0, complete.size() - 1))));
  CHECK_FALSE(ValueOf(DecodeFeedRequest(complete)));
}

}  // namespace
}  // namespace heatherlatch
