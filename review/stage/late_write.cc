// Case: the store carries out a write of a worker late, after the worker has
// said that it leaves.
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "review/stage/stage.h"

namespace stage {
namespace {

// Bounds of the pages, in milliseconds.
constexpr double kLatestLateWrite = 6000;  // "done 1 to 6 s later"

constexpr double kLostAfterReady = 6000;
// Of the lost write, the steps that follow.
constexpr double kLeaves = kStableWindow + 150;
constexpr double kCarriedOut = kLatestLateWrite - 100;
constexpr double kEnds = kLeaves + 4400;
constexpr double kEndOfCase = kEnds + 500;

void Consume(Record* record, const Host& host, const std::string& name,
             bool is_read, double until) {
  Consumer consumer(host.caller_port());
  for (int i = 0; Now() < until; ++i) {
    const std::string id = name + "-" + std::to_string(i);
    char sent_at[32];
    std::snprintf(sent_at, sizeof(sent_at), "%.1f", Now());
    const Answer answer =
        is_read ? consumer.Send("GET", "read.example", "/read/x", id, 3000)
                : consumer.Send("POST", "post.example", "/post/x", id, 4000);
    record->Line("consumer sent " + id + " at " + sent_at + ", got " +
                 std::to_string(answer.status) +
                 (answer.is_signed ? " signed" : ""));
    SleepUntil(Now() + 20);
  }
}

int CountLate(Record* record, Worker* worker, double confirmed_at) {
  int late = 0;
  for (const Arrival& arrival : worker->arrivals()) {
    const double after = arrival.at - confirmed_at;
    if (after <= kDrain) continue;
    ++late;
    record->Line("LATE: " + arrival.method + " " + arrival.id + " reached " +
                 worker->name() + " " + std::to_string(after) +
                 " ms after the confirmation");
  }
  return late;
}

}  // namespace

int PlayLateWrite(const Setup& setup) {
  // The threads of the stand-ins use these until the process ends.
  Record& record = *new Record(setup.record);
  Store& store = *new Store;
  PublishConfig(setup, &store);
  const std::string entry = ReadText(setup.data + "/entry.json");
  std::vector<Worker*> workers;
  for (const std::string service : {"tally", "ledger"}) {
    for (const std::string zone : {"east-a", "west-a"}) {
      workers.push_back(
          new Worker(&store, &record,
                     {"i-" + service + "-" + zone, service, zone, entry}));
      workers.back()->Beat();
    }
  }
  Worker* const leaver = workers[2];  // Of the ledger, in the east.
  const Deployment deployment(setup, &record, &store, {"east-a", "west-a"});

  Schedule schedule;
  const double ready_at = Now();
  const double lost_at = ready_at + kLostAfterReady;
  const double end = lost_at + kEndOfCase;
  double confirmed_at = 0;
  std::uint64_t confirmed_in = 0;
  for (Worker* const worker : workers) {
    schedule.Every(ready_at, worker == leaver ? lost_at - 1 : end, kHeartbeat,
                   [worker] { worker->Beat(); });
  }
  std::pair<std::string, std::string> lost;
  schedule.At(lost_at, [&] {
    lost = leaver->NextEntry();
    if (!setup.trouble) {
      store.Put(leaver->key(), lost.first, lost.second);
      return;
    }
    record.Line("a beat of " + leaver->name() +
                " gets no answer and is not done yet: " + lost.first);
    schedule.At(lost_at + kCarriedOut, [&] {
      const auto revision = store.Put(leaver->key(), lost.first, lost.second);
      record.Line("the store carries that beat out, in revision " +
                  std::to_string(revision));
    });
  });
  schedule.Every(lost_at + kHeartbeat, lost_at + kLeaves, kHeartbeat,
                 [&] { leaver->Beat(); });
  schedule.At(lost_at + kLeaves, [&] {
    leaver->SetState("draining");
    confirmed_in = leaver->Beat();
    confirmed_at = Now();
    record.Line("the store confirms that " + leaver->name() +
                " is draining, in revision " + std::to_string(confirmed_in));
  });
  schedule.Every(lost_at + kLeaves + kHeartbeat, lost_at + kEnds, kHeartbeat,
                 [&] {
                   const auto revision = leaver->Beat();
                   record.Line("a beat of " + leaver->name() +
                               " says that it is draining, in revision " +
                               std::to_string(revision));
                 });
  schedule.At(lost_at + kEnds, [&] {
    leaver->End();
    store.Remove(leaver->key());
    record.Line(leaver->name() + " ends");
  });

  std::vector<std::thread> consumers;
  for (const auto& host : deployment.hosts()) {
    for (int i = 0; i < 4; ++i) {
      consumers.emplace_back(Consume, &record, std::cref(*host),
                             "c" + std::to_string(consumers.size()), i % 2 == 0,
                             end);
    }
  }
  schedule.Run();
  for (std::thread& consumer : consumers) consumer.join();

  for (const double at : store.TakenAt(confirmed_in)) {
    record.Line("a host asked for what follows that revision at " +
                std::to_string(at));
  }
  const int late = CountLate(&record, leaver, confirmed_at);
  record.Line("requests that came later than drainMs: " + std::to_string(late));
  return late > 0 ? 1 : 0;
}

}  // namespace stage
