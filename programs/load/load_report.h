// Collects the results of requests and prints them as a table or as JSON.
//
// Thread safety: none; each worker has its own report, which are merged.
#ifndef PROGRAMS_LOAD_LOAD_REPORT_H_
#define PROGRAMS_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "heatherlatch/base/time.h"

namespace heatherlatch::load {

// How one request ended, after its resends.
struct RequestResult {
  std::string kind;
  // The header Heatherlatch-Outcome and, where it is not "ran", its reason;
  // "answered" or "not-run" for a response without that header; "failed-..."
  // without a response.
  std::string outcome;
  Duration latency{};  // From the intended start.
  Duration due{};      // Intended start, from the start of the run.
  bool good = false;   // The request ran and its response is complete.
};

// Latencies of one kind and outcome.
struct LatencyRow {
  std::string kind;
  std::string outcome;
  std::size_t count = 0;
  Duration p50{};
  Duration p99{};
  Duration p999{};
  Duration max{};
};

// What happened to the requests that were due within one second.
struct SecondRow {
  int second = 0;
  std::size_t good = 0;
  std::size_t other = 0;
  Duration p99{};  // Of the good ones.
};

class LoadReport {
 public:
  void Add(const RequestResult& result);
  void AddLateness(Duration lateness) { lateness_.push_back(lateness); }
  void CountResend() { ++resends_; }
  void CountReplay() { ++replays_; }
  void CountNotSent() { ++not_sent_; }

  // Adds all results of `other` to this report.
  void Merge(LoadReport other);

  std::vector<LatencyRow> Rows() const;
  std::vector<SecondRow> Seconds() const;
  std::size_t total() const;
  std::size_t good() const;

  // @param length  duration of the run, for the rate
  void PrintTable(std::ostream& out, Duration length) const;
  void PrintJson(std::ostream& out, Duration length) const;

 private:
  struct Second {
    std::vector<Duration> good;
    std::size_t other = 0;
  };

  std::map<std::pair<std::string, std::string>, std::vector<Duration>> rows_;
  std::map<int, Second> seconds_;
  std::vector<Duration> lateness_;  // Actual minus intended start.
  std::uint64_t resends_ = 0;
  std::uint64_t replays_ = 0;
  std::uint64_t not_sent_ = 0;  // Not sent: too many in progress.
};

// @param fraction  from 0 to 1
// @return the smallest value with at least `fraction` of the values at or
//     below it; 0 for no values
Duration Percentile(std::vector<Duration> values, double fraction);

}  // namespace heatherlatch::load

#endif  // PROGRAMS_LOAD_LOAD_REPORT_H_
