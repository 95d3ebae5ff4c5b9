#include <algorithm>
#include <cstdio>
#include <list>
#include <random>
#include <set>
#include <string>

#include "platform/testing/raw_caller.h"
#include "review/lab-3/cases.h"
#include "review/lab-3/lab.h"

namespace heatherlatch::review {
namespace {

constexpr std::size_t kHosts = 2;
constexpr int kServers = 8;
constexpr double kWorkSeconds = 0.16;
constexpr double kSeconds = 85;
constexpr double kCalmSeconds = 3;  // Before the second host leaves.
constexpr int kDeadlineMs = 4000;
constexpr int kCallers = 24;  // With kept connections and small bodies.
constexpr double kPauseSeconds = 0.3;
constexpr int kUploaders = 7;  // For each host.
constexpr std::size_t kMinBytes = 6'000'000;
constexpr std::size_t kMaxBytes = 32'000'000;  // The limit is 67'108'864.
constexpr std::size_t kChunkBytes = 32'768;
// What the link of a machine carries, 1,000 Mbit/s, shared by its uploads.
constexpr double kLinkBytesPerSecond = 125'000'000;
constexpr double kBytesPerSecond = kLinkBytesPerSecond / (2 * kUploaders);
constexpr int kMaxClosed = 3;

class Case {
 public:
  explicit Case(const std::string& folder) : lab_(folder, kHosts) {
    for (int i = 1; i <= kServers; ++i) {
      servers_.push_back(std::make_unique<Server>(
          &lab_,
          ServerOptions{"i-" + std::to_string(i), "ledger-svc",
                        i % 2 == 0 ? "utara-a" : "utara-b"},
          [this](Server& server, RawConnection& connection,
                 const ServerRequest& request) {
            Work(server, connection, request);
          }));
    }
  }

  int Run() {
    lab_.StartHosts();
    std::list<std::thread> threads;
    for (int i = 0; i < kCallers; ++i) {
      threads.emplace_back([this, i] { KeepCounting(i); });
    }
    for (std::size_t host = 0; host < kHosts; ++host) {
      for (int i = 0; i < kUploaders; ++i) {
        threads.emplace_back([this, host, i] { KeepUploading(host, i); });
      }
    }
    Enforce(kCalmSeconds);
    if (HasTrouble()) lab_.Terminate(1);
    Enforce(kSeconds - kCalmSeconds);
    stopping_ = true;
    for (std::thread& thread : threads) thread.join();
    return Judge();
  }

 private:
  void Enforce(double seconds) {
    const double until = lab_.Now() + seconds;
    while (lab_.Now() < until) {
      lab_.EnforceMemory();
      Sleep(0.005);
    }
  }

  void Work(Server& server, RawConnection& connection,
            const ServerRequest& request) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ran_.insert(request.id);
    }
    for (std::size_t left = request.length; left > 0;) {
      const std::size_t size =
          connection.ReadBytes(std::min(left, kChunkBytes)).size();
      if (size == 0) return;
      left -= size;
    }
    Sleep(kWorkSeconds);
    server.Respond(connection, request, "200 OK", "counted");
  }

  // Sends small requests over kept connections.
  void KeepCounting(int caller) {
    for (int i = 0; !stopping_;) {
      testing::RawCaller connection(lab_.callers(Reachable(caller % kHosts)));
      for (bool is_kept = false; !stopping_; is_kept = true) {
        const std::string id =
            "count-" + std::to_string(caller) + "-" + std::to_string(++i);
        connection.Send(Lab::Head("POST", "/post/" + id, id, kDeadlineMs,
                                  "Content-Length: 3\r\n") +
                        "one");
        const testing::RawResponse response = connection.ReadResponse();
        ++counts_;
        if (response.status == 0) {
          NoteClosed(id, is_kept);
          break;
        }
        Sleep(kPauseSeconds);
      }
      Sleep(kPauseSeconds);
    }
  }

  void NoteClosed(const std::string& id, bool is_kept) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!is_kept || ran_.count(id) == 0) return;
    ++closed_;
    lab_.Record("the kept connection of " + id +
                ", which a server runs, ends without an answer");
  }

  void KeepUploading(std::size_t host, int uploader) {
    std::mt19937 random(static_cast<unsigned>(100 * host + uploader));
    for (int i = 0; !stopping_; ++i) {
      const std::string id = "large-" + std::to_string(host) + "-" +
                             std::to_string(uploader) + "-" + std::to_string(i);
      const std::size_t bytes = std::uniform_int_distribution<std::size_t>(
          kMinBytes, kMaxBytes)(random);
      const int status = Upload(Reachable(host), id, bytes);
      const std::lock_guard<std::mutex> lock(mutex_);
      ++uploads_[status];
    }
  }

  // @return the host of the caller's zone, or of the other one while that has
  //     none in rotation
  std::size_t Reachable(std::size_t host) const {
    return lab_.IsInRotation(host) ? host : 1 - host;
  }

  int Upload(std::size_t host, const std::string& id, std::size_t bytes) {
    testing::RawCaller connection(lab_.callers(host));
    connection.Send(Lab::Head("POST", "/post/" + id, id, kDeadlineMs,
                              "Transfer-Encoding: chunked\r\n"));
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", kChunkBytes);
    const std::string chunk = size + std::string(kChunkBytes, 'c') + "\r\n";
    const double began_at = lab_.Now();
    for (std::size_t sent = 0; sent < bytes; sent += kChunkBytes) {
      connection.Send(chunk);
      const double due = began_at + static_cast<double>(sent) / kBytesPerSecond;
      if (due > lab_.Now()) Sleep(due - lab_.Now());
    }
    connection.Send("0\r\n\r\n");
    return connection.ReadResponse().status;
  }

  int Judge() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [status, count] : uploads_) {
      lab_.Record("large uploads with status " + std::to_string(status) + ": " +
                  std::to_string(count));
    }
    for (std::size_t host = 0; host < kHosts; ++host) {
      lab_.Record("host " + std::to_string(host) + " was killed " +
                  std::to_string(lab_.memory_kills(host)) +
                  " times; it held at most " +
                  std::to_string(lab_.peak_kilobytes(host)) + " kB");
    }
    lab_.Record("small requests: " + std::to_string(counts_) +
                "; run by a server and closed without an answer on kept "
                "connections: " +
                std::to_string(closed_) +
                ", allowed: " + std::to_string(kMaxClosed));
    return closed_ > kMaxClosed ? kBroken : kHeld;
  }

  Lab lab_;
  std::mutex mutex_;
  std::set<std::string> ran_;
  std::map<int, int> uploads_;
  int closed_ = 0;
  std::atomic<int> counts_{0};
  std::atomic<bool> stopping_{false};
  std::list<std::unique_ptr<Server>> servers_;
};

}  // namespace

int RunLargeBodies(const std::string& folder) { return Case(folder).Run(); }

}  // namespace heatherlatch::review
