// A stand-in for the platform: the configuration service and the host list.
//
// It serves the platform's part of docs/INTERFACES.md, refuses reads above a
// rate with status 429, and can be told to be down, stale, slow or lagging.
// docs/STAND-INS.md describes the control calls below /standin.
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

// What the service does wrong at the moment.
struct PlatformFault {
  bool down = false;        // Cuts the connection of each read.
  bool black_hole = false;  // Holds each read without an answer.
  std::optional<std::uint64_t> stale_revision;  // Serves this one at most.
  Duration delay{};                             // Added to each answer.
  Duration list_lag{};  // Age of the list that is served.
};

struct PlatformCalls {
  std::uint64_t configuration_reads = 0;
  std::uint64_t list_reads = 0;
  std::uint64_t refused = 0;
  int waiting = 0;  // Watches that wait now.
  int reads_in_last_second = 0;
  int most_reads_in_a_second = 0;
};

class PlatformService {
 public:
  explicit PlatformService(PlatformServiceOptions options);

  // @return whether the service listens now
  bool Start();

  // Publishes a document under the next revision.
  // @return the revision
  std::uint64_t Publish(std::string yaml);

  // Publishes the newest document again with a zone in or out of service.
  // @return the revision; none where no document has that zone
  std::optional<std::uint64_t> PublishZone(const std::string& zone,
                                           bool in_service);

  // Replaces the JSON text that GET /v1/hosts answers.
  void SetList(std::string json);

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
  HttpServer server_;  // Last, so that it stops before the state goes.
};

}  // namespace heatherlatch::standins

#endif  // STANDINS_PLATFORM_PLATFORM_SERVICE_H_
