// Case: workers read the rest of a long body late, while the host that took the
// request stops.
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "platform/names.h"
#include "review/stage/stage.h"

namespace stage {
namespace {

constexpr double kGrace = 6000;
// A worker that is at work in the last sixth of the grace is an excuse.
constexpr double kLastSixth = kGrace * 5 / 6;

constexpr int kUploads = 6;
constexpr std::size_t kBodyBytes = 360'000;
constexpr int kTimeBudget = 8000;
constexpr int kWorkMilliseconds = 3500;
constexpr double kStopAfterSending = 300;

struct Outcome {
  int status = 0;  // 0: no answer.
  bool is_signed = false;
  double ended_at = 0;
};

Outcome Upload(std::uint16_t port, const std::string& id) {
  const auto connection = Connection::To(port);
  connection->SetReadTimeout(kTimeBudget);
  connection->Write(
      RequestHead("POST", "upload.example", "/upload/x", id, kTimeBudget) +
      "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
      std::string(kBodyBytes, 'u'));
  Outcome outcome;
  std::string head;
  if (connection->ReadHead(&head)) {
    outcome.status = StatusOf(head);
    outcome.is_signed =
        !FieldOf(head, heatherlatch::wire::kSignatureField).empty();
  }
  outcome.ended_at = Now();
  return outcome;
}

}  // namespace

int PlayLateReader(const Setup& setup) {
  // The threads of the stand-ins use these until the process ends.
  Record& record = *new Record(setup.record);
  Store& store = *new Store;
  PublishConfig(setup, &store);
  std::vector<Worker*> workers;
  for (int i = 0; i < kUploads; ++i) {
    Worker::Options options{"i-ledger-" + std::to_string(i), "ledger", "east-a",
                            ReadText(setup.data + "/entry.json")};
    options.work_ms = kWorkMilliseconds;
    options.reads_late = setup.trouble;
    workers.push_back(new Worker(&store, &record, options));
    workers.back()->Beat();
  }
  const Deployment deployment(setup, &record, &store, {"east-a"});
  SleepUntil(Now() + kStableWindow + 500);

  std::vector<Outcome> outcomes(kUploads);
  std::vector<std::thread> consumers;
  const double sent_at = Now();
  for (int i = 0; i < kUploads; ++i) {
    consumers.emplace_back([&, i] {
      outcomes[static_cast<std::size_t>(i)] = Upload(
          deployment.hosts()[0]->caller_port(), "upload-" + std::to_string(i));
    });
  }
  SleepUntil(sent_at + kStopAfterSending);
  const double stopped_at = Now();
  record.Line("the host gets SIGTERM");
  deployment.hosts()[0]->Signal(SIGTERM);
  for (std::thread& consumer : consumers) consumer.join();

  std::size_t run = 0;
  for (Worker* worker : workers) run += worker->arrivals().size();
  int broken_off = 0;
  for (const Outcome& outcome : outcomes) {
    const double after = outcome.ended_at - stopped_at;
    const bool is_lost = !outcome.is_signed && after < kLastSixth;
    broken_off += is_lost;
    record.Line(
        "an upload ended " + std::to_string(after) +
        " ms after the SIGTERM with " +
        (outcome.status == 0 ? "no answer" : std::to_string(outcome.status)) +
        (outcome.is_signed ? " of its worker" : " of the host"));
  }
  record.Line("workers began " + std::to_string(run) + " uploads, " +
              std::to_string(broken_off) + " were broken off at work");
  if (run < kUploads) return 2;
  return broken_off > 0 ? 1 : 0;
}

}  // namespace stage
