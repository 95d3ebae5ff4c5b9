// Callers that keep their connections ask with HEAD and GET in turn, while some
// workers leave a part of their requests without an answer.
#include <random>
#include <thread>

#include "review/lab-2/lab.h"

namespace heatherlatch::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 2;
constexpr std::size_t kWorkers = 20;
constexpr double kShareOfWorkers = 0.15;
constexpr double kShareOfRequests = 0.4;
constexpr int kCallers = 30;
constexpr double kTroubleFromS = 3;
constexpr double kTroubleForS = 6.5;
constexpr double kEndS = 13;

class Scenario {
 public:
  explicit Scenario(const std::string& path)
      : record_(path), deployment_(kHosts, kHosts) {}

  int Run() {
    for (std::size_t i = 0; i < kWorkers; ++i) {
      Worker::Options options;
      options.service = "tally-svc";
      const bool is_hit = static_cast<double>(i) < kShareOfWorkers * kWorkers;
      options.choose = [this, is_hit](const ServerRequest&) {
        return is_hit && Hangs() ? Worker::Outcome::kHang
                                 : Worker::Outcome::kAnswer;
      };
      options.on_run = [this](const Worker& worker,
                              const ServerRequest& request) {
        record_.Line("run " + request.id + " at " + worker.name());
      };
      workers_.push_back(std::make_unique<Worker>(options));
    }
    if (!deployment_.Start(workers_)) return kCouldNotRun;
    began_ = record_.Now();
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i] {
        while (Elapsed() < kEndS) UseConnection(i % kHosts);
      });
    }
    for (std::thread& caller : callers) caller.join();
    record_.Line(std::to_string(answers_) + " answers, " +
                 std::to_string(strays_) +
                 " times bytes that are no answer in their place");
    if (answers_ == 0) return kCouldNotRun;
    return strays_ > 0 ? kBroken : kHeld;
  }

 private:
  double Elapsed() const { return record_.Now() - began_; }

  bool Hangs() {
    thread_local std::mt19937 random{std::random_device{}()};
    const double now = Elapsed();
    return IsTroubled() && now >= kTroubleFromS &&
           now < kTroubleFromS + kTroubleForS &&
           std::uniform_real_distribution<double>(0, 1)(random) <
               kShareOfRequests;
  }

  // Sends requests on one connection until it ends.
  void UseConnection(std::size_t host) {
    Caller caller(deployment_.host(host).caller_port());
    bool is_head = true;
    while (caller.is_open() && Elapsed() < kEndS) {
      const std::string method = is_head ? "HEAD" : "GET";
      const std::string id = RandomId();
      record_.Line("sent " + id + " " + method);
      if (!caller.Send(
              RequestHead(method, "read.example", "/" + id, id, 3000, ""))) {
        return;
      }
      const Answer answer = caller.Read(is_head, seconds(3));
      if (!answer.stray.empty()) {
        ++strays_;
        std::string text = answer.stray;
        for (char& c : text) {
          if (c == '\r' || c == '\n') c = ' ';
        }
        record_.Line("answered " + id + " with bytes that are no answer: \"" +
                     text + "\"");
        return;
      }
      record_.Line("answered " + id + " " + std::to_string(answer.status));
      if (answer.status == 0 || answer.closes) return;
      ++answers_;
      if (answer.id != id) {
        ++strays_;
        record_.Line("the answer to " + id + " is that to " + answer.id);
        return;
      }
      is_head = !is_head;
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  Record record_;
  Deployment deployment_;
  std::vector<std::unique_ptr<Worker>> workers_;
  double began_ = 0;
  std::atomic<int> answers_{0};
  std::atomic<int> strays_{0};
};

}  // namespace
}  // namespace heatherlatch::review

int main(int argc, char** argv) {
  if (argc != 2) return heatherlatch::review::kCouldNotRun;
  heatherlatch::review::Scenario scenario(argv[1]);
  return scenario.Run();
}
