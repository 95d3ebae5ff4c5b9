#include <list>
#include <map>
#include <random>
#include <string>

#include "review/lab-3/cases.h"
#include "review/lab-3/lab.h"

namespace heatherlatch::review {
namespace {

constexpr std::size_t kHosts = 2;
constexpr int kReadServers = 30;
constexpr int kPullServers = 4;
constexpr double kReadSeconds = 0.12;
constexpr double kPullSeconds = 0.096;
constexpr int kReaders = 108;  // Callers of the added route.
constexpr int kPullers = 6;    // Callers of a first route.
constexpr double kPauseSeconds = 0.22;
constexpr int kDeadlineMs = 3000;
constexpr double kFreezeSeconds = 3.5;
constexpr double kBetweenSeconds = 6;
constexpr double kRecoverySeconds = 15;  // After the last wake.
constexpr double kSteadySeconds = 15;
constexpr int kMinRequests = 20;
constexpr double kMinPart = 0.25;

struct Count {
  int sent = 0;
  int served = 0;
};

class Case {
 public:
  explicit Case(const std::string& folder) : lab_(folder, kHosts) {
    for (int i = 1; i <= kReadServers + kPullServers; ++i) {
      const bool reads = i <= kReadServers;
      servers_.push_back(std::make_unique<Server>(
          &lab_,
          ServerOptions{"i-" + std::to_string(i),
                        reads ? "tally-svc" : "katalog-svc",
                        i % 2 == 0 ? "utara-a" : "utara-b"},
          [reads](Server& server, RawConnection& connection,
                  const ServerRequest& request) {
            Sleep(reads ? kReadSeconds : kPullSeconds);
            server.Respond(connection, request, "200 OK", "whole");
          }));
    }
  }

  int Run() {
    lab_.StartHosts();
    lab_.Publish("config-with-read.json");
    lab_.Record("the configuration r7 adds a route");
    Sleep(3);
    std::list<std::thread> callers;
    for (int i = 0; i < kReaders; ++i) {
      callers.emplace_back([this, i] { Call("/read/", i, &added_); });
    }
    for (int i = 0; i < kPullers; ++i) {
      callers.emplace_back([this, i] { Call("/pull/", i, &first_); });
    }
    for (std::size_t host = 0; host < kHosts; ++host) {
      Sleep(kBetweenSeconds);
      if (HasTrouble()) {
        lab_.Freeze(host, kFreezeSeconds);
      } else {
        Sleep(kFreezeSeconds);
      }
    }
    Sleep(kRecoverySeconds);
    lab_.Record("the steady state is counted from here on");
    is_steady_ = true;
    Sleep(kSteadySeconds);
    stopping_ = true;
    for (std::thread& caller : callers) caller.join();
    return Judge();
  }

 private:
  void Call(const std::string& prefix, int caller, Count* count) {
    Sleep(kPauseSeconds * caller / kReaders);
    for (int i = 0; !stopping_; ++i) {
      const std::string id =
          "request-" + std::to_string(caller) + "-" + std::to_string(i);
      const std::size_t host = static_cast<std::size_t>(caller) % kHosts;
      const bool counts = is_steady_;
      const Answer answer = lab_.Send(lab_.IsInRotation(host) ? host : 1 - host,
                                      "GET", prefix + id, id, "", kDeadlineMs);
      Note(prefix, answer, counts ? count : nullptr);
      Sleep(kPauseSeconds);
    }
  }

  // @param count  of the steady state; nullptr: not in it
  void Note(const std::string& prefix, const Answer& answer, Count* count) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++answers_[prefix][static_cast<int>(lab_.Now()) / 5 * 5][answer.status];
    if (count == nullptr) return;
    ++count->sent;
    if (answer.status == 200 && answer.is_signed) ++count->served;
  }

  int Judge() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [prefix, times] : answers_) {
      for (const auto& [second, statuses] : times) {
        std::string line =
            prefix + " from " + std::to_string(second) + " s, for 5 s:";
        for (const auto& [status, count] : statuses) {
          line += " " + std::to_string(status) + ": " + std::to_string(count);
        }
        lab_.Record(line);
      }
    }
    const double added = Share(added_);
    const double first = Share(first_);
    lab_.Record(
        "in the steady state, the added route: " +
        std::to_string(added_.served) + " of " + std::to_string(added_.sent) +
        " requests served; a first route: " + std::to_string(first_.served) +
        " of " + std::to_string(first_.sent));
    if (added_.sent < kMinRequests) return kCouldNotRun;
    return added < kMinPart * first ? kBroken : kHeld;
  }

  static double Share(const Count& count) {
    return count.sent == 0 ? 0 : static_cast<double>(count.served) / count.sent;
  }

  Lab lab_;
  std::mutex mutex_;
  Count added_;
  Count first_;
  // By path prefix, time and status.
  std::map<std::string, std::map<int, std::map<int, int>>> answers_;
  std::atomic<bool> is_steady_{false};
  std::atomic<bool> stopping_{false};
  std::list<std::unique_ptr<Server>> servers_;
};

}  // namespace

int RunFrozenHost(const std::string& folder) { return Case(folder).Run(); }

}  // namespace heatherlatch::review
