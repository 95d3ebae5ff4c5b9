// A small deployment on loopback addresses: the host processes of the deploy
// file, and stand-ins of the platform, of backend servers and of callers.
//
// Thread safety: every method may be called from any thread, unless it says
// otherwise.
#ifndef REVIEW_LAB_2_LAB_H_
#define REVIEW_LAB_2_LAB_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "heatherlatch/backend/testing/raw_server.h"
#include "platform/testing/platform_store.h"

namespace heatherlatch::review {

using Clock = std::chrono::steady_clock;

// Where the route "catalogue-pull" goes at first.
inline constexpr char kOneService[] = R"("service": "katalog-svc")";

// What a script returns, see the issue.
enum ExitCode : int { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

// Writes lines with the seconds since the start to the record of a case.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);
  // @return seconds since the start
  double Now() const;

 private:
  const Clock::time_point start_ = Clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

// @return the content of a file in the folder `data`
std::string ReadData(const std::string& name);

// @return the text with every "@NAME@" replaced
std::string Fill(
    std::string text,
    const std::vector<std::pair<std::string, std::string>>& values);

// @return whether the script is to disturb the deployment
bool IsTroubled();

std::string RandomId();

// One request as a server received it.
struct ServerRequest {
  std::string method;
  std::string target;
  std::string id;
  std::size_t body_bytes = 0;
};

// A backend server: three slots, a health path that reports its load, and 421
// for a request that names another server. All other behaviour is a script.
class Worker {
 public:
  // What becomes of a request that got a slot.
  enum class Outcome {
    kAnswer,  // Works, and responds with 200.
    kFail,    // Works, and responds with 500.
    kHang,    // Never responds; drops the request when its connection ends.
    kCrash,   // The process ends.
  };
  struct Options {
    std::string service;
    std::chrono::milliseconds work{120};
    double spread = 0.3;  // Standard deviation of the work, as a share of it.
    // Chooses the outcome of a request.
    std::function<Outcome(const ServerRequest&)> choose;
    // Called when a request begins to run.
    std::function<void(const Worker&, const ServerRequest&)> on_run;
  };

  explicit Worker(Options options);

  // Publishes the entry of the server.
  void Publish(testing::PlatformStore* store) const;
  void Crash();

  const std::string& name() const { return name_; }
  const std::string& service() const { return options_.service; }
  bool is_crashed() const { return crashed_; }

 private:
  void Serve(RawConnection& connection);
  void Run(RawConnection& connection, const ServerRequest& request);
  std::string LoadField() const;
  std::chrono::milliseconds DrawWork();

  const Options options_;
  const std::string name_;
  std::atomic<int> running_{0};
  std::atomic<bool> crashed_{false};
  std::unique_ptr<RawServer> server_;
};

// A process of the deploy file's command with its own settings file.
class HostProcess {
 public:
  // @param folder  for the settings and the log
  HostProcess(std::string name, std::string folder);
  ~HostProcess();

  // @param seeds  peer endpoints of the store readers
  void Configure(const Endpoint& store, const std::vector<std::string>& seeds);
  // Starts the process. Must not be called while it runs.
  void Start();
  // Kills the process, if it runs, and waits for its end.
  void Kill();
  // @return whether it became ready within ten seconds
  bool WaitUntilReady() const;

  const std::string& name() const { return name_; }
  std::uint16_t caller_port() const { return ports_[0]; }
  std::uint16_t peer_port() const { return ports_[2]; }
  std::string peer_endpoint() const;
  pid_t pid() const { return pid_; }
  // @return resident anonymous memory in bytes; 0 if the process does not run
  std::uint64_t AnonymousBytes() const;
  // @return when the process was started last
  Clock::time_point started_at() const { return started_at_; }

 private:
  std::string name_;
  std::string folder_;
  std::vector<std::uint16_t> ports_;  // Callers, readiness, peers, metrics.
  std::string settings_;              // Without `first_start`.
  bool started_before_ = false;
  std::atomic<pid_t> pid_{0};
  std::atomic<Clock::time_point> started_at_{Clock::time_point()};
};

// A response as a caller read it.
struct Answer {
  unsigned status = 0;  // 0: the connection ended, or the time was over.
  std::string id;
  std::size_t body_bytes = 0;
  bool closes = false;
  // Bytes that are no response, read where one was due.
  std::string stray;
};

// A connection of a caller. Not thread-safe.
class Caller {
 public:
  explicit Caller(std::uint16_t port);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  bool is_open() const { return socket_ >= 0; }
  bool Send(const std::string& bytes);
  // @param is_head  whether the response has no body
  Answer Read(bool is_head, std::chrono::milliseconds timeout);
  // @return the bytes of one response with a length; empty if none came in time
  std::string ReadBytes(std::chrono::milliseconds timeout);

 private:
  bool Fill(Clock::time_point deadline);

  int socket_ = -1;
  std::string buffer_;
};

// @return a request without a body
std::string RequestHead(const std::string& method, const std::string& authority,
                        const std::string& target, const std::string& id,
                        int time_budget_ms, const std::string& more_fields);

// Sends a request on a new connection and waits for the answer.
Answer CallOnce(std::uint16_t port, const std::string& request,
                std::chrono::milliseconds timeout);

// Forwards the bytes of connections to an endpoint on loopback, until it is
// cut: then nothing passes, and connections stay open in silence.
class Path {
 public:
  explicit Path(std::uint16_t target);

  void SetCut(bool is_cut) { cut_ = is_cut; }
  std::string endpoint() const { return ToString(server_->endpoint()); }

 private:
  void Forward(RawConnection& connection);

  const std::uint16_t target_;
  std::atomic<bool> cut_{false};
  std::unique_ptr<RawServer> server_;
};

// The store, hosts and a temporary folder; ends all processes when destroyed.
class Deployment {
 public:
  // @param readers  hosts that read the store, the first ones; the others reach
  //                 them by paths that can be cut
  Deployment(std::size_t hosts, std::size_t readers);
  ~Deployment();

  // Publishes the routes and the workers, and starts all hosts.
  // @return whether all hosts became ready
  bool Start(const std::vector<std::unique_ptr<Worker>>& workers);

  // Cuts the readers off from all other hosts, or ends the cut.
  void CutReaders(bool is_cut);

  // Publishes a version of the routes.
  // @param version   such as "r7"
  // @param services  a member of the route "catalogue-pull": where it goes
  void PublishRoutes(const std::string& version, const std::string& services);

  testing::PlatformStore* store() { return &store_; }
  HostProcess& host(std::size_t index) { return *hosts_[index]; }
  std::size_t size() const { return hosts_.size(); }

 private:
  std::string folder_;
  testing::PlatformStore store_;
  std::vector<std::unique_ptr<Path>> paths_;  // To the readers.
  std::vector<std::unique_ptr<HostProcess>> hosts_;
};

}  // namespace heatherlatch::review

#endif  // REVIEW_LAB_2_LAB_H_
