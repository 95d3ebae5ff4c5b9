#include "heatherlatch/relay/peer_messages.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "heatherlatch/testing/value_of.h"

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using testing::ValueOf;

TEST_CASE("a request and a response are decoded as they were encoded") {
  const SuspectNotice suspect{~0ULL, ServiceName("tally"), 2, milliseconds(40)};
  const FeedRequest request{
      {"10.0.0.1", 8544},
      77,
      milliseconds(600),
      {suspect},
      true,
      {BackendServerName("i-1"), BackendServerName("i-2")}};
  const auto decoded_request = ValueOf(DecodeFeedRequest(Encode(request)));
  REQUIRE(decoded_request);
  CHECK(decoded_request->requester == request.requester);
  CHECK(decoded_request->after_revision == 77);
  CHECK(decoded_request->wait == milliseconds(600));
  CHECK(decoded_request->cold_servers == request.cold_servers);
  CHECK(decoded_request->wants_all_suspects);
  CHECK_FALSE(ValueOf(DecodeFeedRequest(Encode(FeedRequest{{"10.0.0.1", 1}})))
                  ->wants_all_suspects);
  CHECK_FALSE(decoded_request->isolated_run);
  CHECK_FALSE(decoded_request->ended_run);
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
  response.permitted_servers = {BackendServerName("i-2")};
  response.hosts = {{"10.0.0.2", 8544}, {"10.0.0.3", 8545}};
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
  CHECK(decoded_response->permitted_servers == response.permitted_servers);
  CHECK(decoded_response->hosts == response.hosts);
  response.hosts.assign(kMaxHostsInResponse + 1, {"10.0.0.2", 8544});
  const auto with_many = ValueOf(DecodeFeedResponse(Encode(response)));
  REQUIRE(with_many);
  CHECK(with_many->hosts.size() == kMaxHostsInResponse);
  response.hosts = {{"no address", 8544}, {"10.0.0.2", 8544}};
  const auto with_odd = ValueOf(DecodeFeedResponse(Encode(response)));
  REQUIRE(with_odd);
  CHECK(with_odd->hosts == std::vector<Endpoint>{{"10.0.0.2", 8544}});
}

TEST_CASE("messages about isolated runs are decoded as they were encoded") {
  const ContentDigest digest = ~ContentDigest{0};
  FeedRequest request;
  request.requester = {"10.0.0.1", 8544};
  request.isolated_run = IsolatedRunAsk{digest, milliseconds(120)};
  request.ended_run = IsolatedRunReport{digest, IsolatedRunEnd::kCleared};
  const auto asked = ValueOf(DecodeFeedRequest(Encode(request)));
  REQUIRE(asked);
  CHECK(asked->isolated_run->digest == digest);
  CHECK(asked->isolated_run->age == milliseconds(120));
  CHECK(asked->ended_run->digest == digest);
  CHECK(asked->ended_run->end == IsolatedRunEnd::kCleared);

  FeedResponse response;
  CHECK_FALSE(ValueOf(DecodeFeedResponse(Encode(response)))->isolated_run);
  response.isolated_run = IsolatedRunAnswer::kCleared;
  CHECK(ValueOf(DecodeFeedResponse(Encode(response)))->isolated_run ==
        IsolatedRunAnswer::kCleared);
}

TEST_CASE("tokens of bounds are decoded as they were encoded") {
  const BudgetKey shops{BudgetKind::kAllotment, "shops"};
  const BudgetKey server{BudgetKind::kColdStart, "i-1"};
  FeedRequest request;
  request.requester = {"10.0.0.1", 8544};
  request.budget_asks = {{shops, 12}, {server, 1}};
  const auto asked = ValueOf(DecodeFeedRequest(Encode(request)));
  REQUIRE(asked);
  REQUIRE(asked->budget_asks.size() == 2);
  CHECK(asked->budget_asks[0].key == shops);
  CHECK(asked->budget_asks[0].wanted == 12);
  CHECK(asked->budget_asks[1].key == server);

  FeedResponse response;
  response.budget_grants = {{shops, 7, std::chrono::microseconds(1200)},
                            {server, 0, Duration::max()}};
  const auto granted = ValueOf(DecodeFeedResponse(Encode(response)));
  REQUIRE(granted);
  REQUIRE(granted->budget_grants.size() == 2);
  CHECK(granted->budget_grants[0].key == shops);
  CHECK(granted->budget_grants[0].granted == 7);
  CHECK(granted->budget_grants[0].until_next == milliseconds(2));
  CHECK(granted->budget_grants[1].until_next == std::chrono::hours(24));
}

TEST_CASE("tokens beyond the bounds of a message are refused") {
  const auto is_decoded = [](const std::vector<BudgetAsk>& asks) {
    FeedRequest request;
    request.requester = {"10.0.0.1", 8544};
    request.budget_asks = asks;
    return ValueOf(DecodeFeedRequest(Encode(request))).has_value();
  };
  const auto ask = [](std::size_t subject_bytes, int wanted) {
    return BudgetAsk{{BudgetKind::kRetry, std::string(subject_bytes, 's')},
                     wanted};
  };
  CHECK(is_decoded(std::vector<BudgetAsk>(kMaxBudgetAsks, ask(256, 10'000))));
  CHECK_FALSE(
      is_decoded(std::vector<BudgetAsk>(kMaxBudgetAsks + 1, ask(1, 1))));
  CHECK_FALSE(is_decoded({ask(kMaxBudgetSubjectBytes + 1, 1)}));
  CHECK_FALSE(is_decoded({ask(1, kMaxBudgetTokens + 1)}));
  CHECK_FALSE(is_decoded({ask(1, -1)}));
  CHECK_FALSE(is_decoded({{{static_cast<BudgetKind>(7), "x"}, 1}}));
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

TEST_CASE("a message that is nested too deeply is refused") {
  // Each byte opens an array of one element.
  const std::string deep(4'000'000, '\x81');
  CHECK_FALSE(ValueOf(DecodeFeedRequest(deep)));
  CHECK_FALSE(ValueOf(DecodeFeedResponse(deep)));
}

TEST_CASE("an item of a response that cannot be read is left out alone") {
  using Json = nlohmann::json;
  const auto response = [](const Json& odd) {
    const Json message = {
        {"rev", 9},      {"whole", true},
        {"age", 0},      {"hops", 0},
        {"away", false}, {"items", Json::array({odd, Json({"b", 9}), odd})}};
    const std::vector<std::uint8_t> bytes = Json::to_cbor(message);
    return ValueOf(DecodeFeedResponse(std::string(bytes.begin(), bytes.end())));
  };
  for (const Json& odd :
       {Json(), Json(7), Json::array(), Json({"a"}), Json({7, 3}),
        Json({"a", "3"}), Json({"a", -3}), Json({"a", 1e300}),
        Json({"a", 18446744073709551615U}), Json({"a", 3, "text"})}) {
    const auto decoded = response(odd);
    REQUIRE(decoded);
    CHECK(decoded->unreadable_items == 2);
    REQUIRE(decoded->page.items.size() == 1);
    CHECK(decoded->page.items[0].key == "b");
  }
}

TEST_CASE("numbers of a message that are out of range are refused") {
  using Json = nlohmann::json;
  const auto response = [](const char* field, const Json& value) {
    Json message = {{"rev", 9},  {"whole", true}, {"age", 0},
                    {"hops", 0}, {"away", false}, {"items", Json::array()}};
    message[field] = value;
    const std::vector<std::uint8_t> bytes = Json::to_cbor(message);
    return ValueOf(DecodeFeedResponse(std::string(bytes.begin(), bytes.end())))
        .has_value();
  };
  CHECK(response("age", 5));
  for (const char* field : {"rev", "age", "hops"}) {
    for (const Json& value : {Json(-1), Json(1e300), Json("1"), Json(),
                              Json(18446744073709551615U)}) {
      CHECK_FALSE(response(field, value));
    }
  }
}

}  // namespace
}  // namespace heatherlatch
