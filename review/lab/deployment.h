// A small deployment on loopback: heatherlatch-host processes, and stand-ins of
// the platform's store, of workers and of consumers.
//
// The stand-ins do what ../given/kit/more/system/PROTOCOL.md says. The names of
// the wire come from platform/names.h and from the files in review/lab/wire.
#ifndef REVIEW_LAB_DEPLOYMENT_H_
#define REVIEW_LAB_DEPLOYMENT_H_

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "review/lab/net.h"

namespace review {

// Writes what was sent, answered and run, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void Write(const std::string& line);
  Clock::time_point start() const { return start_; }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

// The platform's store, with one address for each host, so that one host can be
// partitioned from it. It answers lists and watches.
class Store {
 public:
  // @return the port at which a further host reaches the store
  std::uint16_t AddHost();

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Partitions the host with this port from the store, silently: no call is
  // answered. Afterwards, calls that were made meanwhile stay unanswered.
  void Cut(std::uint16_t port, bool is_cut);

 private:
  struct Event {
    std::uint64_t revision = 0;
    std::string json;
  };

  void Serve(const std::shared_ptr<Connection>& connection, std::uint16_t port);
  std::string Answer(const std::string& target);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::string> items_;
  std::vector<Event> events_;
  std::set<std::uint16_t> cut_;
  std::vector<std::unique_ptr<Listener>> listeners_;
};

struct WorkerOptions {
  std::string id;
  std::string zone = "north-a";
  int slots = 3;
  milliseconds work{50};
  std::size_t body_bytes = 100;
  // A request whose path contains this crashes the worker; empty: none does.
  std::string crashing_path;
};

class Worker {
 public:
  struct Arrival {
    Clock::time_point at;
    std::string request_id;
    bool ran = false;
  };

  Worker(WorkerOptions options, Record* record);

  const std::string& id() const { return options_.id; }
  // @param state  "ready" or "draining"
  // @return the entry under which the worker registers itself
  std::string Entry(const std::string& state) const;
  std::string Key() const;
  // Its status check fails from now on; it serves on.
  void Leave();
  std::vector<Arrival> Arrivals() const;

 private:
  void Serve(const std::shared_ptr<Connection>& connection);
  // @return whether the connection is kept
  bool ServeRequest(Connection* connection, const Message& request);
  bool ServeHealth(Connection* connection);
  void Crash();
  std::string Load() const;

  WorkerOptions options_;
  Record* record_;
  mutable std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::set<std::shared_ptr<Connection>> connections_;
  int running_ = 0;
  bool leaving_ = false;
  bool down_ = false;
  std::unique_ptr<Listener> listener_;
};

// One process of the role of the deploy file.
class Host {
 public:
  Host(std::string name, std::string zone, Store* store);
  ~Host();

  std::string peer_endpoint() const { return LoopbackEndpoint(peers_); }
  std::uint16_t caller_port() const { return callers_; }
  std::uint16_t store_port() const { return store_port_; }

  // @param seeds  the control addresses that the settings name
  void Start(const std::vector<std::string>& seeds);
  // @return whether it answered its readiness check in time
  bool WaitUntilReady() const;
  void Signal(int signal) const;
  // @return the process's exit status as of waitpid; nothing while it runs
  std::optional<int> ExitStatus();

 private:
  std::string name_;
  std::string zone_;
  std::uint16_t callers_;
  std::uint16_t readiness_;
  std::uint16_t peers_;
  std::uint16_t metrics_;
  std::uint16_t store_port_;
  pid_t pid_ = 0;
  std::optional<int> exit_status_;
};

struct RouteOptions {
  std::string name;
  std::string kind = "safe";
  int timeout_ms = 2000;
  int target_ms = 400;
};

// Publishes a configuration as the operator does.
void Publish(Store* store, int version,
             const std::vector<RouteOptions>& routes);

// One attempt of a consumer.
struct Attempt {
  std::string method = "GET";
  std::string route;
  std::string id;
  std::string path = "/a/x";
  int deadline_ms = 4000;
};

std::string ToRequest(const Attempt& attempt);
// @return the status of the answer, or 0 if there was none
int Call(const Host& host, const Attempt& attempt);

}  // namespace review

#endif  // REVIEW_LAB_DEPLOYMENT_H_
