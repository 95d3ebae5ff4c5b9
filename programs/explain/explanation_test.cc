#include "programs/explain/explanation.h"

#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

constexpr char kLog[] = R"(
  0.1 host-1 {"at_ms":1000,"event":"configuration","version":4,"before":0}
  2.0 host-1 {"at_ms":20000,"event":"placed","request":"a","server":"i-1","waited_ms":2.5}
not a line of the log
  2.1 host-1 {"at_ms":20100,"event":"no-answer","request":"a","server":"i-1","problem":"read: End of file"}
  2.1 host-1 {"at_ms":20101,"event":"ended","request":"a","outcome":"unknown","reason":"answer-lost","status":502,"total_ms":103}
  2.2 host-1 {"at_ms":20200,"event":"server-gone","server":"i-1","revision":7}
  2.2 host-1 {"at_ms":20200,"event":"server-gone","server":"i-9","revision":8}
  2.2 host-2 {"at_ms":20200,"event":"server-gone","server":"i-1","revision":7}
  3.0 host-2 {"at_ms":30000,"event":"ended","request":"b","outcome":"refused","reason":"queue-full","status":503,"total_ms":640}
  3.0 host-2 {"at_ms":30000,"event":"ended","request":"f","outcome":"refused","reason":"suspected-of-crashing-servers","status":503,"total_ms":1}
  3.0 host-2 {"at_ms":30000,"event":"ended","request":"g","outcome":"refused","reason":"no-route","status":404,"total_ms":1,"authority":"shop.example","target":"/b/","configuration":4,"age_ms":310.5,"source":"10.0.0.1:80","hops":1}
  3.0 host-2 {"at_ms":30000,"event":"ended","request":"h","outcome":"refused","reason":"no-route","status":404,"total_ms":1,"authority":"shop.example","target":"/b/","configuration":4}
  3.0 host-2 {"at_ms":30000,"event":"ended","request":"i","outcome":"refused","reason":"configuration-unavailable","status":503,"total_ms":1,"authority":"shop.example","target":"/b/","configuration":0}
  3.0 host-2 {"at_ms":30000,"event":"caller-gone","request":"c","waited_ms":5}
  3.0 host-2 {"at_ms":30000,"event":"ended","request":"d","outcome":"answered","reason":"i-2","status":504,"total_ms":2000}
  3.0 host-2 {"at_ms":30000,"event":"placed","request":"e","server":"i-2"}
  3.0 host-2 {"at_ms":31000,"event":"ended","request":"e","outcome":"unknown","reason":"deadline-exceeded","status":504,"total_ms":1500}
  3.1 host-2 {"at_ms":32000,"event":"placed","request":"k","server":"i-3"}
  3.1 host-2 {"at_ms":32001,"event":"response-cut","request":"k","source":"i-3","bound":"budget","held_bytes":50000000}
  3.1 host-2 {"at_ms":32001,"event":"no-answer","request":"k","server":"i-3","problem":"the response exceeds the bound of its budget"}
  3.1 host-2 {"at_ms":32002,"event":"ended","request":"k","outcome":"unknown","reason":"answer-lost","status":502,"total_ms":90}
  3.1 host-2 {"at_ms":33000,"event":"ended","request":"l","outcome":"refused","reason":"out-of-memory","status":503,"total_ms":0}
)";

std::string CauseOf(const std::string& request) {
  return Explain(request, ReadLines(kLog, "log")).cause;
}

TEST_CASE("an incomplete response is explained by the loss of its server") {
  const Explanation explanation = Explain("a", ReadLines(kLog, "log"));
  CHECK(explanation.lines.size() == 3);
  CHECK(explanation.cause ==
        "It may have run: server i-1 sent no complete response (read: End "
        "of file).");
  REQUIRE(explanation.context.size() == 1);
  CHECK(explanation.context[0].source == "host-1");
  CHECK(explanation.context[0].fields.at("server") == "i-1");
}

TEST_CASE("the cause names the reason for each kind of end") {
  CHECK(CauseOf("b") ==
        "Refused after 640 ms, not run: no server that it may use had room in "
        "time.");
  CHECK(CauseOf("f") ==
        "Refused after 1 ms, not run: servers crashed while they ran this "
        "content.");
  CHECK(CauseOf("c") == "The caller disconnected before the response.");
  CHECK(CauseOf("d") ==
        "Server i-2 answered it with status 504 after 2000 ms.");
  CHECK(CauseOf("e") ==
        "It may have run: server i-2 had not answered after 1500 ms "
        "(deadline-exceeded).");
  CHECK(CauseOf("k") ==
        "It may have run: server i-3 sent a body for which the host had no "
        "memory left, and the host cut the response.");
  CHECK(CauseOf("l") ==
        "Refused after 0 ms, not run: the host had no memory left for its "
        "response.");
  CHECK(CauseOf("x") == "No log line has this request id.");
}

TEST_CASE("a refusal by the configuration is explained by its confirmation") {
  CHECK(CauseOf("g") ==
        "Refused after 1 ms, not run: the configuration of the host has no "
        "route for it. Requested: shop.example /b/. The host held "
        "configuration 4, confirmed 310.5 ms earlier through peer 10.0.0.1:80 "
        "(hops: 1).");
  CHECK(CauseOf("h") ==
        "Refused after 1 ms, not run: the configuration of the host has no "
        "route for it. Requested: shop.example /b/. The host held "
        "configuration 4, which the store had not confirmed since the host's "
        "start or its last suspension.");
  CHECK(CauseOf("i") ==
        "Refused after 1 ms, not run: the host knew no configuration that the "
        "store had confirmed. Requested: shop.example /b/. The host had no "
        "configuration.");
}

TEST_CASE("the printed explanation ends with the cause") {
  const std::string text = ToString(Explain("a", ReadLines(kLog, "log")));
  CHECK(text.find("host-1 {") == 0);
  CHECK(text.find("Changes recorded by its hosts around the request:\n") !=
        std::string::npos);
  CHECK(text.substr(text.rfind('\n', text.size() - 2) + 1)
            .rfind("It may have run", 0) == 0);
}

}  // namespace
}  // namespace heatherlatch
