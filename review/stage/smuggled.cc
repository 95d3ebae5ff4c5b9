// Case: the body of a request holds the text of another one.
#include <cstdio>
#include <set>
#include <string>
#include <vector>

#include "platform/names.h"
#include "review/stage/stage.h"

namespace stage {
namespace {

namespace wire = heatherlatch::wire;

constexpr int kRequests = 5;
constexpr int kTimeBudget = 4000;
constexpr double kTimeToRun = 2000;

std::string Chunked(const std::string& body) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
  return size + body + "\r\n0\r\n\r\n";
}

}  // namespace

int PlaySmuggled(const Setup& setup) {
  // The threads of the stand-ins use these until the process ends.
  Record& record = *new Record(setup.record);
  Store& store = *new Store;
  PublishConfig(setup, &store);
  Worker& worker = *new Worker(
      &store, &record,
      {"i-ledger-1", "ledger", "east-a", ReadText(setup.data + "/entry.json")});
  worker.Beat();
  const Deployment deployment(setup, &record, &store, {"east-a"});
  SleepUntil(Now() + kStableWindow + 500);

  std::set<std::string> sent;
  for (int i = 0; i < kRequests; ++i) {
    const std::string number = std::to_string(i);
    // A body is any bytes. This one reads like a request to the worker.
    const std::string inner = RequestHead("POST", "post.example", "/post/inner",
                                          "inner-" + number, kTimeBudget) +
                              wire::kExpectedServerField + ": " +
                              worker.name() +
                              "\r\nContent-Length: 7\r\n\r\ncount=9";
    const std::string id = "outer-" + number;
    const std::string coding =
        std::string(setup.trouble ? "Transfer-Encoding: identity\r\n" : "") +
        "Transfer-Encoding: chunked\r\n";
    const auto connection =
        Connection::To(deployment.hosts()[0]->caller_port());
    connection->SetReadTimeout(kTimeBudget);
    sent.insert(id);
    connection->Write(
        RequestHead("POST", "post.example", "/post/x", id, kTimeBudget) +
        coding + "\r\n" + Chunked(inner));
    std::string head;
    const bool is_answered = connection->ReadHead(&head);
    record.Line("consumer sent " + id + " and got " +
                (is_answered ? std::to_string(StatusOf(head)) : "no answer"));
  }
  SleepUntil(Now() + kTimeToRun);

  int foreign = 0;
  std::set<std::string> run;
  for (const Arrival& arrival : worker.arrivals()) {
    run.insert(arrival.id);
    if (sent.count(arrival.id) > 0) continue;
    ++foreign;
    record.Line("the worker ran " + arrival.method + " " + arrival.id +
                ", which no consumer sent as a request");
  }
  record.Line(std::to_string(run.size()) + " requests were run, " +
              std::to_string(foreign) + " of them from inside another one");
  if (foreign > 0) return 1;
  // A host may also refuse such a request, but not the usual one.
  return setup.trouble || run.size() == sent.size() ? 0 : 2;
}

}  // namespace stage
