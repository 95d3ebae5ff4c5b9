#include "heatherlatch/relay/peer_messages.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

template <typename T>
std::optional<T> Read(Result<T> result) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<T>> {
        BOOST_LEAF_AUTO(value, std::move(result));
        return std::make_optional(value);
      },
      [] { return std::optional<T>(); });
}

TEST_CASE("a question and an answer are read as they were written") {
  const FeedQuestion question{{"10.0.0.1", 8544}, 77, milliseconds(600)};
  const auto read = Read(DecodeFeedQuestion(Encode(question)));
  REQUIRE(read);
  CHECK(read->asker == question.asker);
  CHECK(read->after == 77);
  CHECK(read->wait == milliseconds(600));

  FeedAnswer answer;
  answer.page = {
      true,
      90,
      {{"a", std::string("\0\xff", 2), 80, false}, {"b", "", 90, true}}};
  answer.age = milliseconds(120);
  answer.hops = 1;
  answer.store_was_away = true;
  const auto back = Read(DecodeFeedAnswer(Encode(answer)));
  REQUIRE(back);
  CHECK(back->page.is_whole);
  CHECK(back->page.revision == 90);
  REQUIRE(back->page.items.size() == 2);
  CHECK(back->page.items[0].value == std::string("\0\xff", 2));
  CHECK(back->page.items[1].gone);
  CHECK(back->age == milliseconds(120));
  CHECK(back->hops == 1);
  CHECK(back->store_was_away);
}

TEST_CASE("bytes that are no message give an error and nothing else") {
  CHECK(rc::check("any bytes are read or refused", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    Read(DecodeFeedQuestion(bytes));
    Read(DecodeFeedAnswer(bytes));
  }));
  const std::string whole = Encode(FeedAnswer{});
  CHECK_FALSE(Read(DecodeFeedAnswer(whole.substr(0, whole.size() - 1))));
  CHECK_FALSE(Read(DecodeFeedQuestion(whole)));
}

}  // namespace
}  // namespace heatherlatch
