// Some workers fail a part of their requests after the work, while their health
// check is good. Counts the workers that run one request.
#include <map>
#include <random>
#include <set>
#include <thread>

#include "review/lab-2/lab.h"

namespace heatherlatch::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWorkers = 12;        // Of the service at the site.
constexpr std::size_t kFailingWorkers = 2;  // A share of 0.15, rounded.
constexpr double kShareOfFailures = 0.4;
constexpr double kRequestsPerSecond = 110;
constexpr double kTroubleFromS = 4;
constexpr double kEndS = 45;
constexpr std::size_t kMaxAttempts = 2;  // Of the route.
constexpr int kAllowedRequests = 3;      // With more attempts.

class Scenario {
 public:
  explicit Scenario(const std::string& path)
      : record_(path), deployment_(1, 1) {}

  int Run() {
    for (std::size_t i = 0; i < kWorkers; ++i) {
      Worker::Options options;
      options.service = "katalog-svc";
      options.work = milliseconds(96);
      options.choose = [this, i](const ServerRequest&) {
        return i < kFailingWorkers && Fails() ? Worker::Outcome::kFail
                                              : Worker::Outcome::kAnswer;
      };
      options.on_run = [this](const Worker& worker,
                              const ServerRequest& request) {
        record_.Line("run " + request.id + " at " + worker.name());
        const std::lock_guard<std::mutex> lock(mutex_);
        runs_[request.id].insert(worker.name());
      };
      workers_.push_back(std::make_unique<Worker>(options));
    }
    if (!deployment_.Start(workers_)) return kCouldNotRun;
    began_ = record_.Now();
    std::vector<std::thread> callers;
    std::mt19937 random{std::random_device{}()};
    std::exponential_distribution<double> pause(kRequestsPerSecond);
    while (record_.Now() - began_ < kEndS) {
      callers.emplace_back([this] { Get(); });
      std::this_thread::sleep_for(std::chrono::duration<double>(pause(random)));
    }
    for (std::thread& caller : callers) caller.join();
    return Judge();
  }

 private:
  bool Fails() {
    thread_local std::mt19937 random{std::random_device{}()};
    return IsTroubled() && record_.Now() - began_ >= kTroubleFromS &&
           std::uniform_real_distribution<double>(0, 1)(random) <
               kShareOfFailures;
  }

  void Get() {
    const std::string id = RandomId();
    record_.Line("sent " + id);
    const Answer answer = CallOnce(
        deployment_.host(0).caller_port(),
        RequestHead("GET", "pull.example", "/" + id, id, 3000, ""), seconds(3));
    record_.Line("answered " + id + " " + std::to_string(answer.status));
  }

  int Judge() {
    const std::lock_guard<std::mutex> lock(mutex_);
    int beyond = 0;
    for (const auto& [id, workers] : runs_) {
      if (workers.size() <= kMaxAttempts) continue;
      ++beyond;
      record_.Line(id + " ran at " + std::to_string(workers.size()) +
                   " workers");
    }
    record_.Line(std::to_string(beyond) + " of " +
                 std::to_string(runs_.size()) +
                 " requests ran at more workers than their route allows; the "
                 "rule allows " +
                 std::to_string(kAllowedRequests));
    if (runs_.empty()) return kCouldNotRun;
    return beyond > kAllowedRequests ? kBroken : kHeld;
  }

  Record record_;
  Deployment deployment_;
  std::vector<std::unique_ptr<Worker>> workers_;
  double began_ = 0;
  std::mutex mutex_;
  std::map<std::string, std::set<std::string>> runs_;  // Workers, by request.
};

}  // namespace
}  // namespace heatherlatch::review

int main(int argc, char** argv) {
  if (argc != 2) return heatherlatch::review::kCouldNotRun;
  heatherlatch::review::Scenario scenario(argv[1]);
  return scenario.Run();
}
