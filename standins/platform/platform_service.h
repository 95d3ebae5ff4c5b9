// A stand-in for the platform: the configuration service and the host list.
//
// It implements the platform's part of docs/INTERFACES.md and refuses reads
// above a rate with status 429. `SetFault` makes it unavailable, stale or slow,
// or delays the host list. docs/STAND-INS.md describes the control calls under
// /standin.
//
// Example:
//   PlatformService platform({endpoint});
//   platform.Publish(yaml);
//   if (!platform.Start()) return 1;
//
// Thread safety: every method but `Start` may be called from any thread.
#ifndef STANDINS_PLATFORM_PLATFORM_SERVICE_H_
#define STANDINS_PLATFORM_PLATFORM_SERVICE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/time.h"
#include "standins/common/http_server.h"

namespace heatherlatch::standins {

struct PlatformServiceOptions {
  Endpoint listen;
  std::uint64_t first_revision = 1;
  int reads_per_second = 2000;
  int max_connections = 512;
};

// Injected faults of the service.
struct PlatformFault {
  bool down = false;        // Closes the connection of each read.
  bool black_hole = false;  // Holds each read without a response.
  std::optional<std::uint64_t> stale_revision;  // Newest revision to serve.
  Duration delay{};                             // Added to each response.
  Duration list_lag{};  // Serves the host list as it was this long ago.
};

// Counts of reads since the start.
struct PlatformCalls {
  std::uint64_t configuration_reads = 0;
  std::uint64_t list_reads = 0;
  std::uint64_t refused = 0;
  int waiting = 0;  // Configuration watches in progress.
  int reads_in_last_second = 0;
  int most_reads_in_a_second = 0;
};

class PlatformService {
 public:
  explicit PlatformService(PlatformServiceOptions options);

  // @return whether the service listens now
  bool Start();

  // Publishes a configuration document under the next revision.
  // @return the revision
  std::uint64_t Publish(std::string yaml);

  // Publishes the newest document again with a zone in or out of service.
  // @return the new revision, or std::nullopt if the newest document does not
  //     contain the zone
  std::optional<std::uint64_t> PublishZone(const std::string& zone,
                                           bool in_service);

  // Replaces the JSON text that GET /v1/hosts returns.
  void SetHostList(std::string json);

  void SetFault(const PlatformFault& fault);
  PlatformCalls Calls() const;

 private:
  struct PublishedList {
    TimePoint since;
    std::string json;
  };

  HttpResponse Handle(const HttpRequest& request);
  HttpResponse HandleRead(const HttpRequest& request);
  HttpResponse WatchConfiguration(const HttpRequest& request);
  HttpResponse ReadList();
  HttpResponse HandleControl(const HttpRequest& request);
  HttpResponse HandleFault(const HttpRequest& request);
  HttpResponse HandleZone(const HttpRequest& request);
  HttpResponse CallsResponse() const;

  // Counts a read against the rate limit.
  // @return false if the read must be refused
  bool AdmitRead(bool configuration, TimePoint now);
  std::optional<HttpResponse> NewestAfter(std::uint64_t revision) const;
  PlatformFault Fault() const;

  const PlatformServiceOptions options_;
  mutable std::mutex mutex_;
  std::map<std::uint64_t, std::string> documents_;
  std::deque<PublishedList> lists_;
  PlatformFault fault_;
  PlatformCalls calls_;
  std::deque<TimePoint> recent_reads_;
  HttpServer server_;  // Last: it stops before other members are destroyed.
};

}  // namespace heatherlatch::standins

#endif  // STANDINS_PLATFORM_PLATFORM_SERVICE_H_
