// Stand-ins of the platform's store, of workers and of consumers, and the host
// processes that a case starts. All of them use loopback addresses and the real
// clock.
//
// Example:
//   Record record("record.txt");
//   Store store;
//   store.Put("key", "value");
//   Host host("1", settings);
//   host.WaitUntilReady();
#ifndef REVIEW_STAGE_STAGE_H_
#define REVIEW_STAGE_STAGE_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace stage {

// @return milliseconds since the program began
double Now();
void SleepUntil(double at_ms);

// A text with `{{name}}` in places that are filled in.
std::string Fill(std::string text,
                 const std::map<std::string, std::string>& values);
std::string ReadText(const std::string& path);

// Lines with their times, in the order in which they are written.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// One TCP connection with blocking calls.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  // @return a connection to a port of 127.0.0.1; not open if there is none
  static std::unique_ptr<Connection> To(std::uint16_t port);

  bool is_open() const { return descriptor_ >= 0; }
  void SetReadTimeout(int milliseconds) const;
  // Reads a head, up to and with its empty line.
  bool ReadHead(std::string* head);
  bool ReadBytes(std::size_t count, std::string* bytes);
  bool Write(const std::string& bytes) const;
  // Ends both directions, also for a thread that reads.
  void Cut() const;
  void Close();

 private:
  bool Fetch();

  int descriptor_;
  std::string buffer_;
};

// @return the value of a field of a head, or an empty text
std::string FieldOf(const std::string& head, const std::string& name);
// @return the status of a response head; 0 if it is none
int StatusOf(const std::string& head);
std::string MethodOf(const std::string& head);
std::string TargetOf(const std::string& head);

// Accepts connections at a free port of 127.0.0.1, each in a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;

  // @param window_bytes  of the receive buffers; 0: as the system has it
  explicit Listener(Handler handler, int window_bytes = 0);
  std::uint16_t port() const { return port_; }
  // Stops listening and ends all connections, as a process that ends.
  void End();

 private:
  void Accept();

  Handler handler_;
  int descriptor_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> ended_{false};
  std::mutex mutex_;
  std::vector<Connection*> open_;
};

// @return a port of 127.0.0.1 that is free now
std::uint16_t FreePort();

// The platform's store: lists and watches.
class Store {
 public:
  Store();
  std::uint16_t port() const { return listener_.port(); }

  // Stores a value. An item changes only if `essence` does, which leaves out
  // what alone is no change.
  // @return the revision of the item
  std::uint64_t Put(const std::string& key, const std::string& value,
                    const std::string& essence);
  void Remove(const std::string& key);
  // @return when a watch first asked for what follows `revision`, for each port
  //     that asked: its host has then taken the change of that revision
  std::vector<double> TakenAt(std::uint64_t revision);

 private:
  struct Item {
    std::string value;
    std::string essence;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Event {
    std::uint64_t revision;
    std::string json;
  };
  struct Taken {
    const Connection* by;
    std::uint64_t revision;
    double at;
  };

  void Serve(Connection& connection);
  std::string List();
  std::string Watch(std::uint64_t after, int wait_ms);
  void NoteTaken(const Connection& connection, std::uint64_t revision);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::vector<Taken> taken_;
  std::uint64_t revision_ = 100;
  Listener listener_;
};

// A request as a worker received it.
struct Arrival {
  double at;
  std::string id;
  std::string method;
};

// A worker: runs requests one by one on each connection, and tells the store of
// itself.
class Worker {
 public:
  struct Options {
    std::string name;
    std::string service;
    std::string zone;
    std::string entry;  // Template of its entry in the store.
    int slots = 3;
    int work_ms = 100;
    // Begins to work before it has read a long body, and reads on later.
    bool reads_late = false;
  };

  Worker(Store* store, Record* record, Options options);

  const std::string& name() const { return options_.name; }
  std::string key() const;
  // Writes its entry, as in each beat.
  // @return the revision of the entry
  std::uint64_t Beat();
  // Makes the next entry, with the next sequence number, but does not write it.
  // @return the value and its essence
  std::pair<std::string, std::string> NextEntry();
  void SetState(const std::string& state);
  // Ends as a process that exits.
  void End() { listener_.End(); }
  std::vector<Arrival> arrivals();

 private:
  void Serve(Connection& connection);
  // @param unread  bytes of the body that it reads after its work
  // @return whether the connection can be used on
  bool Run(Connection& connection, const std::string& head, std::size_t unread);
  std::string LoadFields();

  Store* store_;
  Record* record_;
  const Options options_;
  const std::string born_;
  std::mutex mutex_;
  std::string state_ = "ready";
  int sequence_ = 0;
  int running_ = 0;
  std::vector<Arrival> arrivals_;
  Listener listener_;
};

// A host process, started with the command of the deploy file.
class Host {
 public:
  // @param settings  template of its settings
  // @param values    further values for the template
  Host(const std::string& name, const std::string& program,
       const std::string& settings, const std::string& folder,
       std::map<std::string, std::string> values,
       const std::map<std::string, std::uint16_t>& ports);
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  ~Host();

  std::uint16_t caller_port() const { return caller_port_; }
  bool IsReady() const;
  bool WaitUntilReady(double until_ms) const;
  void Signal(int signal) const;
  // Stops it, with a kill if it takes too long.
  void End();

 private:
  pid_t process_ = -1;
  std::uint16_t caller_port_ = 0;
  std::uint16_t readiness_port_ = 0;
};

// @return the head of a consumer's request, without its empty line
std::string RequestHead(const std::string& method, const std::string& authority,
                        const std::string& target, const std::string& id,
                        int budget_ms);

// What a consumer got for one request.
struct Answer {
  int status = 0;  // 0: none.
  bool is_signed = false;
  std::string body;
};

// One consumer with a kept connection to a host.
class Consumer {
 public:
  explicit Consumer(std::uint16_t port) : port_(port) {}
  Answer Send(const std::string& method, const std::string& authority,
              const std::string& target, const std::string& id, int budget_ms);

 private:
  const std::uint16_t port_;
  std::unique_ptr<Connection> connection_;
};

// Actions at set times, one after the other.
class Schedule {
 public:
  void At(double at_ms, std::function<void()> action);
  void Every(double from_ms, double until_ms, double interval_ms,
             const std::function<void()>& action);
  // Runs all actions, also those that are added meanwhile.
  void Run();

 private:
  std::multimap<double, std::function<void()>> actions_;
};

// What a case is started with.
struct Setup {
  std::string program;  // Of the host.
  std::string folder;   // For settings and logs of the hosts.
  std::string data;     // Templates.
  std::string record;
  bool trouble = true;
};

// Bounds of the pages, in milliseconds.
inline constexpr double kStableWindow = 4000;
inline constexpr double kDrain = 2500;
inline constexpr double kHeartbeat = 1500;

// Publishes the configuration of the folder of templates.
void PublishConfig(const Setup& setup, Store* store);

// One host in each zone; all of them are seeds. The region of a zone is what
// stands before the dash in its name.
class Deployment {
 public:
  // Throws std::runtime_error if a host does not become ready.
  Deployment(const Setup& setup, Record* record, Store* store,
             const std::vector<std::string>& zones);
  const std::vector<std::unique_ptr<Host>>& hosts() const { return hosts_; }

 private:
  std::vector<std::unique_ptr<Host>> hosts_;
};

// The cases. Each returns 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
int PlaySmuggled(const Setup& setup);
int PlayLateWrite(const Setup& setup);
int PlayLateReader(const Setup& setup);

}  // namespace stage

#endif  // REVIEW_STAGE_STAGE_H_
