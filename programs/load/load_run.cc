#include "programs/load/load_run.h"

#include <curl/curl.h>

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace heatherlatch::load {
namespace {

constexpr std::chrono::milliseconds kPollInterval(20);
constexpr std::chrono::seconds kProgressInterval(1);
constexpr std::chrono::milliseconds kStartDelay(50);
constexpr long kActionTimeoutSeconds = 5;  // NOLINT(google-runtime-int)

std::size_t DiscardBody(char* /*data*/, std::size_t size, std::size_t count,
                        void* /*user*/) {
  return size * count;
}

bool PerformAction(const TimedAction& action) {
  CURL* easy = curl_easy_init();
  const std::string url = "http://" + ToString(action.target) + action.path;
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT, kActionTimeoutSeconds);
  curl_easy_setopt(easy, CURLOPT_FAILONERROR, 1L);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &DiscardBody);
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, action.body.c_str());
  curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(action.body.size()));
  const CURLcode code = curl_easy_perform(easy);
  curl_easy_cleanup(easy);
  return code == CURLE_OK;
}

std::vector<TimedAction> SortedByTime(std::vector<TimedAction> actions) {
  std::stable_sort(actions.begin(), actions.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  return actions;
}

}  // namespace

LoadResult RunLoad(const LoadProfile& profile, SharedProgress* progress,
                   const std::function<void()>& on_progress) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const TimePoint start = SteadyClock::now() + kStartDelay;
  std::vector<std::unique_ptr<LoadWorker>> workers;
  std::vector<std::thread> threads;
  std::atomic<int> running_workers{profile.threads};
  for (int worker_index = 0; worker_index < profile.threads; ++worker_index) {
    workers.push_back(
        std::make_unique<LoadWorker>(profile, worker_index, start, progress));
    threads.emplace_back([worker = workers.back().get(), &running_workers] {
      worker->Run();
      --running_workers;
    });
  }
  LoadResult result;
  const std::vector<TimedAction> actions = SortedByTime(profile.actions);
  auto next_action = actions.begin();
  TimePoint next_progress = start + kProgressInterval;
  while (running_workers > 0) {
    std::this_thread::sleep_for(kPollInterval);
    const TimePoint now = SteadyClock::now();
    while (next_action != actions.end() && start + next_action->at <= now) {
      if (!PerformAction(*next_action)) ++result.failed_actions;
      ++next_action;
    }
    if (now < next_progress) continue;
    next_progress = now + kProgressInterval;
    if (on_progress) on_progress();
  }
  for (std::thread& thread : threads) thread.join();
  for (const auto& worker : workers) result.report.Merge(worker->TakeReport());
  result.length = SteadyClock::now() - start;
  return result;
}

}  // namespace heatherlatch::load
