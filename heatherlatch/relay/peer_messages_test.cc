#include "heatherlatch/relay/peer_messages.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "heatherlatch/testing/value_of.h"

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using testing::ValueOf;

TEST_CASE("a question and an answer are read as they were written") {
  const SuspectNotice suspect{~0ULL, ServiceName("tally"), 2, milliseconds(40)};
  const FeedQuestion question{
      {"10.0.0.1", 8544}, 77, milliseconds(600), {suspect}};
  const auto read = ValueOf(DecodeFeedQuestion(Encode(question)));
  REQUIRE(read);
  CHECK(read->asker == question.asker);
  CHECK(read->after == 77);
  CHECK(read->wait == milliseconds(600));
  REQUIRE(read->suspects.size() == 1);
  CHECK(read->suspects[0].digest == suspect.digest);
  CHECK(read->suspects[0].service == suspect.service);
  CHECK(read->suspects[0].crashes == 2);
  CHECK(read->suspects[0].age == milliseconds(40));

  FeedAnswer answer;
  answer.page = {
      true,
      90,
      {{"a", std::string("\0\xff", 2), 80, false}, {"b", "", 90, true}}};
  answer.age = milliseconds(120);
  answer.hops = 1;
  answer.store_was_away = true;
  answer.suspects = {suspect, suspect};
  const auto back = ValueOf(DecodeFeedAnswer(Encode(answer)));
  REQUIRE(back);
  CHECK(back->page.is_whole);
  CHECK(back->page.revision == 90);
  REQUIRE(back->page.items.size() == 2);
  CHECK(back->page.items[0].value == std::string("\0\xff", 2));
  CHECK(back->page.items[1].gone);
  CHECK(back->age == milliseconds(120));
  CHECK(back->hops == 1);
  CHECK(back->store_was_away);
  CHECK(back->suspects.size() == 2);
}

TEST_CASE("bytes that are no message give an error and nothing else") {
  CHECK(rc::check("any bytes are read or refused", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    ValueOf(DecodeFeedQuestion(bytes));
    ValueOf(DecodeFeedAnswer(bytes));
  }));
  const std::string whole = Encode(FeedAnswer{});
  CHECK_FALSE(ValueOf(DecodeFeedAnswer(whole.substr(0, whole.size() - 1))));
  CHECK_FALSE(ValueOf(DecodeFeedQuestion(whole)));
}

}  // namespace
}  // namespace heatherlatch
