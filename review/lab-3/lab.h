// Stand-ins for the cases of this review: a backend server of the users'
// platform, and the hosts of a small deployment as separate processes.
//
// Example:
//   Lab lab(folder, 3);
//   Server server(&lab, {"i-1", "ledger-svc", "utara-a"}, work);
//   lab.StartHosts();
//   lab.Send(0, "POST", "/post/1", "id-1", "body");
//
// Thread safety: every method may be called from any thread, except those that
// start or stop hosts.
#ifndef REVIEW_LAB_3_LAB_H_
#define REVIEW_LAB_3_LAB_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "heatherlatch/backend/testing/raw_server.h"
#include "heatherlatch/base/endpoint.h"
#include "platform/testing/platform_store.h"
#include "tests/harness/child_process.h"

namespace heatherlatch::review {

enum ExitCode : int { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

// @return whether the case is to run with its disruption
bool HasTrouble();

void Sleep(double seconds);

struct Answer {
  int status = 0;  // 0: the connection ended without a complete answer.
  bool is_signed = false;
};

class Lab {
 public:
  // @param folder  of the case; the record is written there
  // @param hosts   the first three of them read the store
  Lab(const std::string& folder, std::size_t hosts);
  ~Lab();

  // Starts all hosts and waits until each is ready and in touch.
  void StartHosts();
  // Sends SIGTERM to a host.
  void Terminate(std::size_t host);
  // Stops a host for a while, as a machine that freezes and wakes again.
  void Freeze(std::size_t host, double seconds);
  // Publishes a configuration of the data folder.
  void Publish(const std::string& file);
  // @return the head of a request, with its empty line
  static std::string Head(const std::string& method, const std::string& path,
                          const std::string& id, int deadline_ms,
                          const std::string& more_fields);
  Endpoint callers(std::size_t host) const { return {hosts_[host]->ip, 8548}; }
  // Sends one request over a new connection and waits for its answer.
  Answer Send(std::size_t host, const std::string& method,
              const std::string& path, const std::string& id,
              const std::string& body, int deadline_ms);
  // @return whether the balancer gives the host new connections
  bool IsInRotation(std::size_t host) const;

  // @return seconds since the start of the case
  double Now() const;
  void Record(const std::string& line);

  testing::PlatformStore& store() { return store_; }
  std::size_t size() const { return hosts_.size(); }

 private:
  struct Host {
    std::string ip;
    std::string settings;
    std::string zone;
    std::unique_ptr<testing::ChildProcess> process;
    std::atomic<int> misses{0};
  };

  void WriteSettings(std::size_t host) const;
  void Start(std::size_t host);
  bool IsReady(std::size_t host) const;
  void Balance();

  const std::chrono::steady_clock::time_point began_at_;
  std::string temporary_;
  std::mutex record_mutex_;
  std::ofstream record_;
  testing::PlatformStore store_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::atomic<bool> stopping_{false};
  std::thread balancer_;
};

struct ServerOptions {
  std::string id;
  std::string service;
  std::string zone;
  int slots = 3;
};

struct ServerRequest {
  std::string head;
  std::string id;
  std::string path;
  std::size_t length = 0;  // Of the body, which was not read yet.
};

// A backend server. Runs as many requests at a time as it has slots, and lets a
// few more wait.
class Server {
 public:
  // Runs one request: reads its body, works, and responds.
  using Work =
      std::function<void(Server&, RawConnection&, const ServerRequest&)>;

  // Starts the server and registers it in the store.
  Server(Lab* lab, ServerOptions options, Work work);

  const ServerOptions& options() const { return options_; }
  // Sends a complete and signed response.
  void Respond(const RawConnection& connection, const ServerRequest& request,
               const std::string& status, const std::string& body);

 private:
  // Writes the entry of the server.
  void Beat();
  void Serve(RawConnection& connection);
  void RespondToProbe(const RawConnection& connection);
  // @return whether the request may run; it has a slot then
  bool TakeSlot();
  void FreeSlot();
  std::string StatusFields();

  Lab* const lab_;
  const ServerOptions options_;
  const Work work_;
  const std::int64_t born_ms_;
  std::mutex mutex_;
  std::condition_variable freed_;
  int running_ = 0;
  int waiting_ = 0;
  std::unique_ptr<RawServer> server_;  // Last: its threads use the others.
};

}  // namespace heatherlatch::review

#endif  // REVIEW_LAB_3_LAB_H_
