// Many callers at once post large bodies in chunks. The platform ends a process
// that exceeds its memory limit, and starts it again.
#include <iostream>
#include <thread>

#include "review/lab-2/lab.h"

namespace heatherlatch::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 2;
constexpr std::size_t kWorkers = 13;  // Of the service at the site.
// 260 MB at the site, taken as 2^20 bytes each.
constexpr std::uint64_t kMemoryLimit = 260ull << 20;
// A third of the limit on a body that is in force.
constexpr std::size_t kBodyBytes = 20'000'000;
constexpr std::size_t kChunkBytes = 64 * 1024;
// Callers of one host at a time as usual, and 1.7 times as many.
constexpr int kUsualCallers = 6;
constexpr int kCallersInBurst = 10;
constexpr int kTimeBudgetMs = 4000;
constexpr int kEndsOfOneHost = 3;  // By which the rule is broken.
constexpr double kLongestRunS = 95;

std::string ChunkedBody() {
  std::string body;
  body.reserve(kBodyBytes + kBodyBytes / 1000);
  for (std::size_t left = kBodyBytes; left > 0;) {
    const std::size_t size = std::min(left, kChunkBytes);
    char line[32];
    std::snprintf(line, sizeof(line), "%zx\r\n", size);
    body += line + std::string(size, 'x') + "\r\n";
    left -= size;
  }
  return body + "0\r\n\r\n";
}

// The platform's watch over the memory of one host.
class MemoryGuard {
 public:
  MemoryGuard(HostProcess* host, Record* record)
      : host_(host), record_(record), thread_([this] { Run(); }) {}
  ~MemoryGuard() {
    stopped_ = true;
    thread_.join();
  }

  int ends() const { return ends_; }
  std::uint64_t most() const { return most_; }

 private:
  void Run() {
    while (!stopped_) {
      std::this_thread::sleep_for(milliseconds(2));
      const std::uint64_t bytes = host_->AnonymousBytes();
      if (bytes > most_) most_ = bytes;
      if (bytes <= kMemoryLimit) continue;
      ++ends_;
      record_->Line("platform ends " + host_->name() + ", which holds " +
                    std::to_string(bytes) + " of " +
                    std::to_string(kMemoryLimit) + " bytes");
      host_->Kill();
      std::this_thread::sleep_for(seconds(1));
      if (stopped_) return;
      host_->Start();
      record_->Line("platform starts " + host_->name());
    }
  }

  HostProcess* host_;
  Record* record_;
  std::atomic<int> ends_{0};
  std::atomic<std::uint64_t> most_{0};
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

void Post(HostProcess* host, const std::string& body, Record* record) {
  const std::string id = RandomId();
  record->Line("sent " + id + " to " + host->name());
  Caller caller(host->caller_port());
  caller.Send(RequestHead("POST", "post.example", "/" + id, id, kTimeBudgetMs,
                          "Transfer-Encoding: chunked\r\n") +
              body);
  const Answer answer = caller.Read(false, milliseconds(kTimeBudgetMs));
  record->Line("answered " + id + " " + std::to_string(answer.status));
}

int Run(const std::string& path) {
  Record record(path);
  Deployment deployment(kHosts, kHosts);
  std::vector<std::unique_ptr<Worker>> workers;
  for (std::size_t i = 0; i < kWorkers; ++i) {
    Worker::Options options;
    options.service = "ledger-svc";
    options.work = milliseconds(160);
    options.on_run = [&record](const Worker& worker,
                               const ServerRequest& request) {
      record.Line("run " + request.id + " at " + worker.name() + " with " +
                  std::to_string(request.body_bytes) + " bytes");
    };
    workers.push_back(std::make_unique<Worker>(options));
  }
  if (!deployment.Start(workers)) return kCouldNotRun;
  const std::string body = ChunkedBody();
  const int callers = IsTroubled() ? kCallersInBurst : kUsualCallers;
  std::vector<std::unique_ptr<MemoryGuard>> guards;
  for (std::size_t i = 0; i < kHosts; ++i) {
    guards.push_back(
        std::make_unique<MemoryGuard>(&deployment.host(i), &record));
  }
  const auto all_ended = [&] {
    return std::all_of(guards.begin(), guards.end(), [](const auto& guard) {
      return guard->ends() >= kEndsOfOneHost;
    });
  };
  while (record.Now() < kLongestRunS && !all_ended()) {
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < kHosts; ++i) {
      HostProcess* host = &deployment.host(i);
      if (!host->WaitUntilReady()) continue;
      for (int j = 0; j < callers; ++j) {
        threads.emplace_back([&, host] { Post(host, body, &record); });
      }
    }
    for (std::thread& thread : threads) thread.join();
    std::this_thread::sleep_for(milliseconds(200));
  }
  for (std::size_t i = 0; i < kHosts; ++i) {
    record.Line(deployment.host(i).name() + " was ended " +
                std::to_string(guards[i]->ends()) + " times and held " +
                std::to_string(guards[i]->most()) + " bytes at most");
  }
  const bool broken = all_ended();
  guards.clear();
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace heatherlatch::review

int main(int argc, char** argv) {
  if (argc != 2) return heatherlatch::review::kCouldNotRun;
  return heatherlatch::review::Run(argv[1]);
}
