#include "heatherlatch/admission/crash_suspects.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const ServiceName kService("ledger");
constexpr ContentDigest kCrashing = 1;
constexpr ContentDigest kHarmless = 2;

// Makes a content a suspect by a crash on a shared server.
void CrashWith(CrashSuspects& suspects, ContentDigest digest, TimePoint now) {
  suspects.Admit(digest, now);
  suspects.OnEnd(kService, digest, /*server_lost=*/true, now);
}

TEST_CASE("a suspect that no other host knows of is refused") {
  CrashSuspects suspects((CrashSuspectsOptions()));
  const TimePoint now{std::chrono::hours(1)};
  suspects.SetShared(kCrashing, false);
  CHECK_FALSE(suspects.IsUnshared(kCrashing, now));
  CrashWith(suspects, kCrashing, now);
  suspects.SetShared(kCrashing, false);
  CHECK(suspects.IsUnshared(kCrashing, now));
  CHECK(suspects.Admit(kCrashing, now) == SuspectVerdict::kRefuse);
  suspects.SetShared(kCrashing, true);
  CHECK(suspects.Admit(kCrashing, now) == SuspectVerdict::kIsolate);
}

// Guards against a count for each service: a content whose route is split or
// moved crashed as many servers of each.
TEST_CASE("crashes of a content count whatever the service") {
  CrashSuspects suspects((CrashSuspectsOptions()));
  const TimePoint now{std::chrono::hours(1)};
  CrashWith(suspects, kCrashing, now);
  REQUIRE(suspects.Admit(kCrashing, now) == SuspectVerdict::kIsolate);
  suspects.OnEnd(ServiceName("tally"), kCrashing, /*server_lost=*/true, now);
  CHECK(suspects.Admit(kCrashing, now) == SuspectVerdict::kRefuse);
}

// A request running on a server: the host that admitted it, and its content.
struct Run {
  std::size_t host = 0;
  ContentDigest digest = 0;
};

// Model of hosts that send contents to servers and share suspects after a
// delay. One content crashes each server that runs it.
class Hosts {
 public:
  Hosts(std::size_t hosts, Duration sharing_delay)
      : hosts_(hosts, CrashSuspects(CrashSuspectsOptions())),
        sharing_delay_(sharing_delay) {}

  void Step(int operation, int host_choice, int amount) {
    const std::size_t host = host_choice % hosts_.size();
    if (operation == 0) now_ += milliseconds(amount);
    if (operation == 1) Send(host, kCrashing, amount);
    if (operation == 2) Send(host, kHarmless + amount % 4, amount);
    if (operation == 3) EndRun(amount);
    Share();
  }

  int server_crashes() const { return server_crashes_; }
  // Crashes by requests admitted before the notice of the preceding crash could
  // have arrived.
  int crashes_within_delay() const { return crashes_within_delay_; }

 private:
  struct Notice {
    TimePoint at;
    SuspectNotice notice;
  };

  // Runs a content on one of three shared servers, or on an idle one if it is
  // isolated.
  void Send(std::size_t host, ContentDigest digest, int server_choice) {
    const SuspectVerdict verdict = hosts_[host].Admit(digest, now_);
    if (digest != kCrashing) RC_ASSERT(verdict != SuspectVerdict::kRefuse);
    if (verdict == SuspectVerdict::kRefuse) return;
    if (verdict == SuspectVerdict::kWait) return;
    const int shared_server = server_choice % 3;
    const bool isolated = verdict == SuspectVerdict::kIsolate;
    const int server = isolated ? ++last_idle_server_ : shared_server;
    servers_[server].push_back({host, digest});
    if (digest != kCrashing) return;
    if (admitted_at_ && now_ < shared_at_) is_within_delay_ = true;
    admitted_at_ = now_;
    crashed_server_ = server;
    CrashServer();
  }

  // Ends one request of a harmless content with a response.
  void EndRun(int choice) {
    if (servers_.empty()) return;
    auto it =
        std::next(servers_.begin(), choice % static_cast<int>(servers_.size()));
    const Run run = it->second.back();
    it->second.pop_back();
    if (it->second.empty()) servers_.erase(it);
    hosts_[run.host].OnEnd(kService, run.digest, false, now_);
  }

  // Crashes the server that runs the crashing content, with all its requests.
  void CrashServer() {
    if (!crashed_server_) return;
    ++server_crashes_;
    if (is_within_delay_) ++crashes_within_delay_;
    is_within_delay_ = false;
    shared_at_ = now_ + sharing_delay_;
    const std::vector<Run> runs = servers_[*crashed_server_];
    servers_.erase(*crashed_server_);
    crashed_server_.reset();
    for (const Run& run : runs) {
      const SuspectNotice notice =
          hosts_[run.host].OnEnd(kService, run.digest, true, now_);
      if (notice.crashes > 0) notices_.push_back({shared_at_, notice});
    }
  }

  void Share() {
    for (const Notice& notice : notices_) {
      if (notice.at > now_) continue;
      SuspectNotice aged = notice.notice;
      aged.age = sharing_delay_;
      for (CrashSuspects& host : hosts_) host.Merge(aged, now_);
    }
    const auto delivered = [this](const Notice& notice) {
      return notice.at <= now_;
    };
    notices_.erase(std::remove_if(notices_.begin(), notices_.end(), delivered),
                   notices_.end());
  }

  std::vector<CrashSuspects> hosts_;
  Duration sharing_delay_;
  TimePoint now_{minutes(10)};
  TimePoint shared_at_{};
  std::map<int, std::vector<Run>> servers_;
  std::vector<Notice> notices_;
  std::optional<TimePoint> admitted_at_;
  std::optional<int> crashed_server_;
  int last_idle_server_ = 100;
  int server_crashes_ = 0;
  int crashes_within_delay_ = 0;
  bool is_within_delay_ = false;
};

using Steps = std::vector<std::tuple<int, int, int>>;

Steps DrawSteps() {
  return *rc::gen::scale(
      3.0, rc::gen::container<Steps>(rc::gen::tuple(rc::gen::inRange(0, 4),
                                                    rc::gen::inRange(0, 5),
                                                    rc::gen::inRange(0, 200))));
}

TEST_CASE("a content that crashes its servers is refused after two crashes") {
  CHECK(rc::check(
      "two servers crash, plus one for each run within the delay", [] {
        Hosts hosts(5, milliseconds(*rc::gen::inRange(0, 200)));
        // 300 steps of at most 200 ms are within the retention period of
        // 5 minutes.
        for (const auto& [operation, host, amount] : DrawSteps()) {
          hosts.Step(operation, host, amount);
        }
        RC_ASSERT(hosts.server_crashes() <= 2 + hosts.crashes_within_delay());
      }));
}

TEST_CASE("a harmless content is cleared by its first isolated response") {
  const TimePoint now{minutes(10)};
  CrashSuspects suspects{CrashSuspectsOptions()};
  CrashWith(suspects, kHarmless, now);
  CHECK(suspects.Admit(kHarmless, now) == SuspectVerdict::kIsolate);
  CHECK(suspects.Admit(kHarmless, now) == SuspectVerdict::kWait);
  suspects.OnEnd(kService, kHarmless, false, now);
  CHECK(suspects.Admit(kHarmless, now) == SuspectVerdict::kClear);
  CHECK(suspects.size() == 0);
}

TEST_CASE("a run without a response does not clear a suspect") {
  const TimePoint now{minutes(10)};
  CrashSuspects suspects{CrashSuspectsOptions()};
  CrashWith(suspects, kCrashing, now);
  REQUIRE(suspects.Admit(kCrashing, now) == SuspectVerdict::kIsolate);
  suspects.OnInconclusiveEnd(kCrashing);
  REQUIRE(suspects.Admit(kCrashing, now) == SuspectVerdict::kIsolate);
  CHECK(suspects.OnEnd(kService, kCrashing, true, now).crashes == 2);
  CHECK(suspects.Admit(kCrashing, now) == SuspectVerdict::kRefuse);
}

TEST_CASE("a suspect waits for its requests that ran at the first crash") {
  const TimePoint now{minutes(10)};
  CrashSuspects suspects{CrashSuspectsOptions()};
  suspects.Admit(kHarmless, now);
  suspects.Admit(kHarmless, now);
  suspects.OnEnd(kService, kHarmless, true, now);
  CHECK(suspects.Admit(kHarmless, now) == SuspectVerdict::kWait);
  // Two shared servers crashed, which does not count towards refusal.
  suspects.OnEnd(kService, kHarmless, true, now);
  CHECK(suspects.Admit(kHarmless, now) == SuspectVerdict::kIsolate);
}

TEST_CASE("a suspect is removed after the retention period") {
  const TimePoint now{minutes(10)};
  CrashSuspects suspects{CrashSuspectsOptions()};
  CrashWith(suspects, kCrashing, now);
  const TimePoint end = now + CrashSuspectsOptions().retention;
  suspects.Expire(end - milliseconds(1));
  CHECK(suspects.size() == 1);
  suspects.Expire(end);
  CHECK(suspects.size() == 0);
  suspects.Merge({kCrashing, kService, 2, CrashSuspectsOptions().retention},
                 end);
  CHECK(suspects.size() == 0);
}

TEST_CASE("a full table keeps the content with the most crashes") {
  TimePoint now{minutes(10)};
  CrashSuspectsOptions options;
  options.max_suspects = 3;
  CrashSuspects suspects(options);
  suspects.Merge({kCrashing, kService, 2, seconds(1)}, now);
  for (ContentDigest digest = 10; digest < 30; ++digest) {
    now += milliseconds(1);
    CrashWith(suspects, digest, now);
    REQUIRE(suspects.size() <= options.max_suspects);
  }
  CHECK(suspects.Admit(kCrashing, now) == SuspectVerdict::kRefuse);
  CHECK(suspects.Admit(29, now) == SuspectVerdict::kIsolate);
  CHECK(suspects.Admit(10, now) == SuspectVerdict::kClear);
}

}  // namespace
}  // namespace heatherlatch
