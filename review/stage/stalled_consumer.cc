// Case: consumers that have sent several requests pause in reading the answers,
// within their time budget.
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform/names.h"
#include "review/stage/stage.h"

namespace stage {
namespace {

// Time budget of `pitch-lookup`, in milliseconds, and the pause within it.
constexpr int kTimeBudget = 5000;
constexpr double kPause = 3000;
// "more than three times"
constexpr int kMostWithoutAnswer = 3;

constexpr int kConsumers = 6;
constexpr int kRequestsOfEach = 4;
constexpr std::size_t kAnswerBytes = 150'000;
constexpr int kWindowBytes = 32'768;

struct Outcome {
  int answered = 0;    // With a complete and signed answer.
  int unanswered = 0;  // Without the head of an answer.
  bool was_closed = false;
  double took = 0;
};

Outcome Consume(Record* record, std::uint16_t port, const std::string& name,
                bool pauses) {
  const auto connection = Connection::To(port, kWindowBytes);
  connection->SetReadTimeout(kTimeBudget);
  const double sent_at = Now();
  std::string requests;
  for (int i = 0; i < kRequestsOfEach; ++i) {
    requests += RequestHead("GET", "read.example", "/read/x",
                            name + "-" + std::to_string(i), kTimeBudget) +
                "\r\n";
  }
  connection->Write(requests);
  Outcome outcome;
  std::string head;
  std::string body;
  for (int i = 0; i < kRequestsOfEach; ++i) {
    const std::string id = name + "-" + std::to_string(i);
    if (!connection->ReadHead(&head)) {
      outcome.was_closed = true;
      ++outcome.unanswered;
      record->Line("consumer " + id + ": no answer, the connection ended");
      continue;
    }
    if (i == 0 && pauses) SleepUntil(Now() + kPause);
    const std::size_t size =
        std::strtoull(FieldOf(head, "Content-Length").c_str(), nullptr, 10);
    const bool is_whole = connection->ReadBytes(size, &body);
    outcome.was_closed |= !is_whole;
    outcome.answered +=
        is_whole && StatusOf(head) == 200 &&
        !FieldOf(head, heatherlatch::wire::kSignatureField).empty();
    record->Line("consumer " + id + ": status " +
                 std::to_string(StatusOf(head)) + ", body " +
                 (is_whole ? "whole" : "cut off"));
  }
  outcome.took = Now() - sent_at;
  return outcome;
}

}  // namespace

int PlayStalledConsumer(const Setup& setup) {
  // The threads of the stand-ins use these until the process ends.
  Record& record = *new Record(setup.record);
  Store& store = *new Store;
  PublishConfig(setup, &store);
  std::vector<Worker*> workers;
  for (const std::string number : {"1", "2", "3", "4"}) {
    Worker::Options options{"i-tally-" + number, "tally", "east-a",
                            ReadText(setup.data + "/entry.json")};
    options.body_bytes = kAnswerBytes;
    workers.push_back(new Worker(&store, &record, options));
    workers.back()->Beat();
  }
  const Deployment deployment(setup, &record, &store, {"east-a"});
  SleepUntil(Now() + kStableWindow + 500);

  std::vector<Outcome> outcomes(kConsumers);
  std::vector<std::thread> consumers;
  for (int i = 0; i < kConsumers; ++i) {
    consumers.emplace_back([&, i] {
      outcomes[static_cast<std::size_t>(i)] =
          Consume(&record, deployment.hosts()[0]->caller_port(),
                  "c" + std::to_string(i), setup.trouble);
    });
  }
  for (std::thread& consumer : consumers) consumer.join();

  int run = 0;
  for (Worker* worker : workers) {
    run += static_cast<int>(worker->arrivals().size());
  }
  int without_answer = 0;
  for (const Outcome& outcome : outcomes) {
    record.Line("a consumer got " + std::to_string(outcome.answered) + " of " +
                std::to_string(kRequestsOfEach) + " answers in " +
                std::to_string(outcome.took) + " ms" +
                (outcome.was_closed ? "; its connection was ended" : ""));
    if (outcome.was_closed && outcome.took < kTimeBudget) {
      without_answer += outcome.unanswered;
    }
  }
  record.Line("workers ran " + std::to_string(run) + " requests, " +
              std::to_string(without_answer) +
              " were passed on and not answered");
  if (run < kConsumers * kRequestsOfEach) return 2;
  return without_answer > kMostWithoutAnswer ? 1 : 0;
}

}  // namespace stage
