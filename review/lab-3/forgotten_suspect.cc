#include <algorithm>
#include <iostream>
#include <list>
#include <string>

#include "review/lab-3/cases.h"
#include "review/lab-3/lab.h"

namespace heatherlatch::review {
namespace {

constexpr char kCrashingPath[] = "/post/crashing-claim";
constexpr double kDownSeconds = 3;
constexpr double kExpirySeconds = 4.5;  // Three intervals of silence.
constexpr int kColdMilliseconds = 3000;
constexpr double kStableWindowSeconds = 4;
constexpr double kWorkSeconds = 0.16;
constexpr int kServers = 6;
constexpr int kCallers = 4;
constexpr double kCallerPauseSeconds = 0.2;
constexpr int kDeadlineMs = 4000;
constexpr int kCrashesUntilBound = 3;
constexpr int kMaxRetries = 3;  // That may reach servers after the bound.
constexpr std::size_t kHosts = 3;
constexpr std::size_t kRestarted = 2;

// Servers of one service, of which each that begins to run the crashing request
// ends and comes back after some seconds as a new one.
class CrashingService {
 public:
  explicit CrashingService(Lab* lab) : lab_(lab) {
    for (int i = 0; i < kServers; ++i) Add(0);
  }

  ~CrashingService() {
    for (std::thread& thread : returns_) thread.join();
  }

  // @return how often the crashing request began to run
  int crashes() const { return crashes_; }
  // @return the other requests that were running on a server that crashed
  int lost() const { return lost_; }

 private:
  void Add(int cold_ms) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int number = ++started_;
    servers_.push_back(std::make_unique<Server>(
        lab_,
        ServerOptions{"i-" + std::to_string(number), "ledger-svc",
                      number % 2 == 0 ? "utara-a" : "utara-b", 3, cold_ms},
        [this](Server& server, RawConnection& connection,
               const ServerRequest& request) {
          Run(server, connection, request);
        }));
  }

  void Run(Server& server, RawConnection& connection,
           const ServerRequest& request) {
    connection.ReadBytes(request.length);
    if (request.path == kCrashingPath) {
      ++crashes_;
      lab_->Record("server " + server.options().id + " begins to run " +
                   request.id + " and crashes: crash " +
                   std::to_string(crashes_));
      server.Crash();
      const std::lock_guard<std::mutex> lock(mutex_);
      returns_.emplace_back([this, &server] { ReplaceCrashed(server); });
      return;
    }
    Sleep(kWorkSeconds);
    if (server.crashed()) {
      ++lost_;
      lab_->Record("server " + server.options().id + " crashed while it ran " +
                   request.id);
      return;
    }
    server.Respond(connection, request, "200 OK", "counted");
  }

  void ReplaceCrashed(Server& server) {
    Sleep(kDownSeconds);
    Add(kColdMilliseconds);
    Sleep(kExpirySeconds - kDownSeconds);
    server.Expire();
  }

  Lab* const lab_;
  std::mutex mutex_;
  int started_ = 0;
  std::atomic<int> crashes_{0};
  std::atomic<int> lost_{0};
  std::list<std::thread> returns_;
  std::list<std::unique_ptr<Server>> servers_;
};

class Case {
 public:
  explicit Case(const std::string& folder)
      : lab_(folder, kHosts), service_(&lab_) {}

  int Run() {
    lab_.StartHosts();
    std::list<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i] { SendClaims(i); });
    }
    for (int i = 0; i < kCrashesUntilBound; ++i) {
      SendCrashing(static_cast<std::size_t>(i) % kHosts);
      Sleep(kDownSeconds + 1);
    }
    Sleep(kStableWindowSeconds);
    const int before = service_.crashes();
    for (std::size_t host = 0; host < kHosts; ++host) SendCrashing(host);
    for (std::size_t host = 0; host < kRestarted; ++host) {
      if (HasTrouble()) {
        lab_.Terminate(host);
        lab_.Restart(host);
      }
      lab_.WaitUntilInTouch(host);
      for (int i = 0; i < kCrashesUntilBound; ++i) {
        SendCrashing(host);
        Sleep(2);
      }
    }
    stopping_ = true;
    for (std::thread& caller : callers) caller.join();
    return Judge(before);
  }

 private:
  void SendCrashing(std::size_t host) {
    const std::string id = "crashing-" + std::to_string(++sent_);
    const Answer answer =
        lab_.Send(host, "POST", kCrashingPath, id, "claim 7", kDeadlineMs);
    lab_.Record("the caller sends " + id + " to host " + std::to_string(host) +
                " and gets " + std::to_string(answer.status));
  }

  void SendClaims(int caller) {
    for (int i = 0; !stopping_; ++i) {
      const std::string id =
          "claim-" + std::to_string(caller) + "-" + std::to_string(i);
      const Answer answer = lab_.Send(lab_.PickHost(), "POST", "/post/" + id,
                                      id, "one", kDeadlineMs);
      ++claims_;
      if (answer.status != 200) {
        lab_.Record(id + " gets " + std::to_string(answer.status));
      }
      Sleep(kCallerPauseSeconds);
    }
  }

  int Judge(int crashes_before) {
    const int retries = service_.crashes() - crashes_before;
    lab_.Record(
        "claims sent: " + std::to_string(claims_) +
        ", lost with a crashed server: " + std::to_string(service_.lost()));
    lab_.Record(
        "crashes until the bound: " + std::to_string(crashes_before) +
        "; later retries that reached servers: " + std::to_string(retries) +
        ", allowed: " + std::to_string(kMaxRetries));
    if (crashes_before < kCrashesUntilBound) return kCouldNotRun;
    return retries > kMaxRetries ? kBroken : kHeld;
  }

  Lab lab_;
  CrashingService service_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> claims_{0};
  int sent_ = 0;
};

}  // namespace

int RunForgottenSuspect(const std::string& folder) {
  return Case(folder).Run();
}

}  // namespace heatherlatch::review
