// A request that crashes the workers that run it comes again, at any host. The
// trouble, by the second argument:
//   restart  single host processes are killed and started again
//   split    the configuration splits the route of the request
//   cut      the three readers of the store are cut off from the other hosts
#include <array>
#include <random>
#include <thread>

#include "review/lab-2/lab.h"

namespace heatherlatch::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 4;
constexpr std::size_t kHostsWithCut = 12;
constexpr std::size_t kReaders = 3;
constexpr std::size_t kWorkersOfService = 8;
constexpr std::array<const char*, 3> kServices = {"katalog-svc", "tally-svc",
                                                  "ledger-svc"};
constexpr char kCrashingTarget[] = "/crashes/7";
constexpr milliseconds kStableWindow(4000);
constexpr int kCrashesBefore = 3;   // The rule counts from the third crash.
constexpr int kAllowedRetries = 3;  // After it.
constexpr double kCutS = 12;
constexpr seconds kWorkerRestart(3);
// Three heartbeats of silence, after which the store drops an entry.
constexpr milliseconds kEntryLifetime(4500);

// An arrival of the crashing request at a worker.
struct Arrival {
  Clock::time_point at;
  std::size_t host = 0;  // That sent it.
};

class Scenario {
 public:
  Scenario(const std::string& path, std::string trouble)
      : record_(path),
        trouble_(std::move(trouble)),
        hosts_(trouble_ == "cut" ? kHostsWithCut : kHosts),
        deployment_(hosts_, kReaders) {}

  int Run() {
    for (const char* service : kServices) {
      for (std::size_t i = 0; i < kWorkersOfService; ++i) AddWorker(service);
    }
    if (!deployment_.Start(workers_)) return kCouldNotRun;
    std::thread maintenance([this] { MaintainWorkers(); });
    std::thread traffic([this] { SendTraffic(); });
    std::this_thread::sleep_for(seconds(3));
    if (trouble_ == "cut") {
      CutReaders();
    } else {
      CrashThree();
      trouble_ == "split" ? SplitRoute() : RestartHosts();
    }
    stopped_ = true;
    traffic.join();
    maintenance.join();
    return Judge();
  }

 private:
  void CrashThree() {
    for (std::size_t i = 0; i < kHosts; ++i) SendCrashing(i);
    for (std::size_t i = 0; i < kHosts; ++i) SendCrashing(i);
    std::this_thread::sleep_for(seconds(5));
  }

  int Crashes() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<int>(arrivals_.size());
  }

  // The hosts that are not cut off get the request, one after the other.
  void CutReaders() {
    const double began = record_.Now();
    if (IsTroubled()) {
      record_.Line("the readers are cut off from the other hosts");
      deployment_.CutReaders(true);
    }
    std::this_thread::sleep_for(milliseconds(500));
    std::size_t next = kReaders;
    while (next < hosts_ && Crashes() < kCrashesBefore) SendCrashing(next++);
    std::this_thread::sleep_for(kStableWindow + milliseconds(300));
    while (next < hosts_ && record_.Now() - began < kCutS) SendCrashing(next++);
    deployment_.CutReaders(false);
    record_.Line("the cut ends");
    std::this_thread::sleep_for(seconds(2));
  }

  void RestartHosts() {
    for (std::size_t i = 1; i < kHosts; ++i) {
      if (IsTroubled()) Restart(i);
      // So that the host is in touch again.
      std::this_thread::sleep_for(kStableWindow + seconds(2));
      for (int k = 0; k < 3; ++k) SendCrashing(i);
      for (std::size_t j = 0; j < kHosts; ++j) SendCrashing(j);
      std::this_thread::sleep_for(seconds(2));
    }
  }

  void SplitRoute() {
    if (IsTroubled()) {
      record_.Line("configuration r9 splits the route");
      deployment_.PublishRoutes("r9", ReadData("split.json"));
    }
    std::this_thread::sleep_for(seconds(5));
    for (int k = 0; k < 30; ++k) {
      SendCrashing(k % kHosts);
      std::this_thread::sleep_for(milliseconds(500));
    }
  }

  void AddWorker(const std::string& service) {
    Worker::Options options;
    options.service = service;
    options.choose = [](const ServerRequest& request) {
      return request.target == kCrashingTarget ? Worker::Outcome::kCrash
                                               : Worker::Outcome::kAnswer;
    };
    options.on_run = [this](const Worker& worker,
                            const ServerRequest& request) {
      if (request.target != kCrashingTarget) return;
      const std::lock_guard<std::mutex> lock(mutex_);
      arrivals_.push_back({Clock::now(), sender_});
      record_.Line("run " + request.id + " at " + worker.name() + " of " +
                   worker.service() + ", which crashes");
    };
    workers_.push_back(std::make_unique<Worker>(options));
  }

  // Starts a worker again some seconds after its crash, with a new name and
  // address, and drops the entry of the crashed one.
  void MaintainWorkers() {
    struct Crashed {
      std::string name;
      std::string service;
      Clock::time_point at;
      bool replaced = false;
      bool dropped = false;
    };
    std::vector<Crashed> crashed;
    std::vector<bool> known(1000, false);
    while (!stopped_) {
      std::this_thread::sleep_for(milliseconds(20));
      for (std::size_t i = 0; i < workers_.size(); ++i) {
        if (known[i] || !workers_[i]->is_crashed()) continue;
        known[i] = true;
        crashed.push_back(
            {workers_[i]->name(), workers_[i]->service(), Clock::now()});
      }
      for (Crashed& one : crashed) {
        if (!one.replaced && Clock::now() - one.at > kWorkerRestart) {
          one.replaced = true;
          AddWorker(one.service);
          workers_.back()->Publish(deployment_.store());
        }
        if (!one.dropped && Clock::now() - one.at > kEntryLifetime) {
          one.dropped = true;
          deployment_.store()->Remove("servers/" + one.name);
        }
      }
    }
  }

  void SendTraffic() {
    std::mt19937 random(1);
    while (!stopped_) {
      const std::string id = RandomId();
      HostProcess& host = deployment_.host(random() % hosts_);
      const Answer answer =
          CallOnce(host.caller_port(),
                   RequestHead("GET", "pull.example", "/" + id, id, 3000, ""),
                   seconds(3));
      ++statuses_[answer.status == 200 ? 0 : 1];
      std::this_thread::sleep_for(milliseconds(30));
    }
    record_.Line("other requests: " + std::to_string(statuses_[0]) +
                 " served, " + std::to_string(statuses_[1]) + " not");
  }

  void SendCrashing(std::size_t index) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      sender_ = index;
    }
    HostProcess& host = deployment_.host(index);
    const std::string id = RandomId();
    record_.Line("sent " + id + " (crashing) to " + host.name());
    const Answer answer = CallOnce(
        host.caller_port(),
        RequestHead("GET", "pull.example", kCrashingTarget, id, 3000, ""),
        seconds(3));
    record_.Line("answered " + id + " " + std::to_string(answer.status));
    std::this_thread::sleep_for(milliseconds(500));
  }

  void Restart(std::size_t index) {
    HostProcess& host = deployment_.host(index);
    record_.Line("kill " + host.name());
    host.Kill();
    std::this_thread::sleep_for(seconds(1));
    host.Start();
    record_.Line("start " + host.name());
    host.WaitUntilReady();
  }

  int Judge() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (arrivals_.size() < kCrashesBefore) return kCouldNotRun;
    const auto from = arrivals_[kCrashesBefore - 1].at + kStableWindow;
    int counted = 0;
    for (const Arrival& arrival : arrivals_) {
      const auto started = deployment_.host(arrival.host).started_at();
      const bool in_touch = arrival.at - started > kStableWindow;
      if (arrival.at > from && in_touch) ++counted;
    }
    record_.Line(std::to_string(arrivals_.size()) + " workers crashed, " +
                 std::to_string(counted) +
                 " of them through hosts in touch, later than the stable "
                 "window after the third; allowed are " +
                 std::to_string(kAllowedRetries));
    return counted > kAllowedRetries ? kBroken : kHeld;
  }

  Record record_;
  const std::string trouble_;
  const std::size_t hosts_;
  Deployment deployment_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::size_t sender_ = 0;
  int statuses_[2] = {0, 0};
  std::atomic<bool> stopped_{false};
};

}  // namespace
}  // namespace heatherlatch::review

int main(int argc, char** argv) {
  if (argc != 3) return heatherlatch::review::kCouldNotRun;
  heatherlatch::review::Scenario scenario(argv[1], argv[2]);
  return scenario.Run();
}
