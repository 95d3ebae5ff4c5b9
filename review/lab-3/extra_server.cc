#include <algorithm>
#include <list>
#include <map>
#include <random>
#include <set>
#include <string>

#include "review/lab-3/cases.h"
#include "review/lab-3/lab.h"

namespace heatherlatch::review {
namespace {

constexpr int kServers = 16;
constexpr int kFailingServers = 2;     // Less than 0.15 of them.
constexpr double kFailingShare = 0.4;  // Of the requests of such a server.
constexpr double kMeanWorkMs = 96;
constexpr double kWorkSpread = 0.3;
constexpr std::size_t kBodyBytes = 30'000;
constexpr std::size_t kHosts = 2;
constexpr int kCallers = 60;
constexpr double kMeanPauseSeconds = 0.12;
constexpr double kSeconds = 30;
constexpr int kDeadlineMs = 3000;
constexpr std::size_t kMaxAttempts = 2;  // Of the route.
constexpr int kMaxRequestsBeyond = 3;

class Case {
 public:
  explicit Case(const std::string& folder) : lab_(folder, kHosts) {
    for (int i = 1; i <= kServers; ++i) {
      const bool fails = HasTrouble() && i <= kFailingServers;
      servers_.push_back(std::make_unique<Server>(
          &lab_,
          ServerOptions{"i-" + std::to_string(i), "katalog-svc",
                        i % 2 == 0 ? "utara-a" : "utara-b"},
          [this, fails](Server& server, RawConnection& connection,
                        const ServerRequest& request) {
            Work(server, connection, request, fails);
          }));
    }
  }

  int Run() {
    lab_.StartHosts();
    std::list<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i] { Pull(i); });
    }
    Sleep(kSeconds);
    stopping_ = true;
    for (std::thread& caller : callers) caller.join();
    return Judge();
  }

 private:
  double Random() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  double WorkSeconds() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::max(0.02, std::normal_distribution<double>(
                              kMeanWorkMs, kMeanWorkMs * kWorkSpread)(random_) /
                              1000);
  }

  void Work(Server& server, RawConnection& connection,
            const ServerRequest& request, bool fails) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      runs_[request.id].insert(server.options().id);
    }
    Sleep(WorkSeconds());
    if (fails && Random() < kFailingShare) {
      ++failures_;
      server.Respond(connection, request, "500 Internal Server Error", "");
    } else {
      server.Respond(connection, request, "200 OK",
                     std::string(kBodyBytes, 'k'));
    }
  }

  void Pull(int caller) {
    Sleep(Random() * kMeanPauseSeconds);
    for (int i = 0; !stopping_; ++i) {
      const std::string id =
          "pull-" + std::to_string(caller) + "-" + std::to_string(i);
      const Answer answer =
          lab_.Send(lab_.PickHost(), "GET", "/pull/" + id, id, "", kDeadlineMs);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++answers_[answer.status];
      }
      Sleep(2 * Random() * kMeanPauseSeconds);
    }
  }

  int Judge() {
    int beyond = 0;
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [id, servers] : runs_) {
      if (servers.size() <= kMaxAttempts) continue;
      ++beyond;
      std::string names;
      for (const std::string& name : servers) names += " " + name;
      lab_.Record("request " + id + " ran on" + names);
    }
    for (const auto& [status, count] : answers_) {
      lab_.Record("answers with status " + std::to_string(status) + ": " +
                  std::to_string(count));
    }
    lab_.Record("requests that ran: " + std::to_string(runs_.size()) +
                ", failed runs: " + std::to_string(failures_));
    lab_.Record(
        "requests that ran on more than 2 servers: " + std::to_string(beyond) +
        ", allowed: " + std::to_string(kMaxRequestsBeyond));
    return beyond > kMaxRequestsBeyond ? kBroken : kHeld;
  }

  Lab lab_;
  std::mutex mutex_;
  std::mt19937 random_{41};
  std::map<std::string, std::set<std::string>> runs_;
  std::map<int, int> answers_;
  std::atomic<int> failures_{0};
  std::atomic<bool> stopping_{false};
  std::list<std::unique_ptr<Server>> servers_;
};

}  // namespace

int RunExtraServer(const std::string& folder) { return Case(folder).Run(); }

}  // namespace heatherlatch::review
