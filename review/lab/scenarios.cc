#include "review/lab/scenarios.h"

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>
#include <utility>

#include "platform/names.h"

namespace review {
namespace {

namespace wire = heatherlatch::wire;

using std::chrono::seconds;

constexpr milliseconds kAnswerTimeout{20000};
// configApplyMs of the sites is 2,500.
constexpr seconds kConfigurationApplied{4};

using Workers = std::vector<Worker*>;

// @return an object that is never destroyed, since threads of it run until the
//     process ends
template <typename T, typename... Arguments>
T* Forever(Arguments&&... arguments) {
  return new T(std::forward<Arguments>(arguments)...);
}

void Sleep(milliseconds duration) { std::this_thread::sleep_for(duration); }

void PublishWorkers(Store* store, const Workers& workers) {
  for (const Worker* worker : workers) {
    store->Put(worker->Key(), worker->Entry("ready"));
  }
}

bool StartAll(const std::vector<Host*>& hosts,
              const std::vector<std::string>& seeds) {
  for (Host* host : hosts) host->Start(seeds);
  return std::all_of(hosts.begin(), hosts.end(),
                     [](const Host* host) { return host->WaitUntilReady(); });
}

// Consumers that send their next request once the last one is answered.
class ClosedLoop {
 public:
  ClosedLoop(const Host* host, Attempt attempt, int consumers) {
    for (int i = 0; i < consumers; ++i) {
      threads_.emplace_back([this, host, attempt, i] {
        Attempt next = attempt;
        for (int n = 0; !stopped_; ++n) {
          next.id =
              attempt.id + "-" + std::to_string(i) + "-" + std::to_string(n);
          if (Call(*host, next) == 0) Sleep(milliseconds(100));
        }
      });
    }
  }
  ~ClosedLoop() {
    stopped_ = true;
    for (std::thread& thread : threads_) thread.join();
  }
  ClosedLoop(const ClosedLoop&) = delete;
  ClosedLoop& operator=(const ClosedLoop&) = delete;

 private:
  std::atomic<bool> stopped_{false};
  std::vector<std::thread> threads_;
};

// One request on a kept connection, and how it ended.
struct KeptRequest {
  std::shared_ptr<Connection> connection;
  std::string id;
  Clock::time_point sent_at;
  Clock::time_point ended_at;
  int status = 0;
};

bool Ran(const Workers& workers, const std::string& id) {
  for (const Worker* worker : workers) {
    for (const Worker::Arrival& arrival : worker->Arrivals()) {
      if (arrival.request_id == id && arrival.ran) return true;
    }
  }
  return false;
}

}  // namespace

std::optional<bool> PipelineRequests(bool trouble, Record* record) {
  constexpr int kPipelined = 12;
  Store& store = *Forever<Store>();
  Workers workers;
  for (const char* id : {"i-1", "i-2", "i-3", "i-4"}) {
    workers.push_back(Forever<Worker>(
        WorkerOptions{id, "north-a", 3, milliseconds(100)}, record));
  }
  PublishWorkers(&store, workers);
  Publish(&store, 1, {{"read", "safe"}, {"post", "unsafe"}});
  Host host("host-1", "north-a", &store);
  if (!StartAll({&host}, {host.peer_endpoint()})) return std::nullopt;
  const auto consumer = Connection::Open(host.caller_port());
  if (!consumer) return std::nullopt;
  consumer->SetReadTimeout(seconds(6));
  const auto read = [&](const std::string& id) {
    const auto answer = consumer->Read();
    const std::string answered =
        answer ? answer->Field(wire::kRequestIdField) : "none";
    const bool is_signed =
        answer && !answer->Field(wire::kSignatureField).empty();
    record->Write(id + " is answered " +
                  (answer ? answer->first_line : "not at all") + ", id " +
                  answered +
                  (is_signed ? ", with the signature of a worker" : ""));
    return answered == id;
  };
  std::string pipelined;
  for (int i = 0; i < kPipelined; ++i) {
    const std::string id = "get-" + std::to_string(i);
    pipelined += ToRequest({"GET", "read", id});
    if (trouble && i + 1 < kPipelined) continue;
    record->Write("sent the requests up to " + id);
    (void)consumer->Send(pipelined);
    pipelined.clear();
    for (int j = trouble ? 0 : i; j <= i; ++j) {
      if (!read("get-" + std::to_string(j))) return std::nullopt;
    }
  }
  record->Write("sent post-1");
  (void)consumer->Send(ToRequest({"POST", "post", "post-1"}));
  const bool own = read("post-1");
  record->Write(std::string("post-1 has ") +
                (Ran(workers, "post-1") ? "run" : "not run"));
  return !own;
}

std::optional<bool> PipelineBehindPost(bool trouble, Record* record) {
  constexpr int kPipelined = 9;
  constexpr std::size_t kLongHeaderBytes = 12000;
  Store& store = *Forever<Store>();
  Workers workers;
  for (const char* id : {"i-1", "i-2", "i-3", "i-4"}) {
    workers.push_back(Forever<Worker>(
        WorkerOptions{id, "north-a", 3, milliseconds(100)}, record));
  }
  PublishWorkers(&store, workers);
  Publish(&store, 1, {{"read", "safe"}, {"post", "unsafe"}});
  Host host("host-1", "north-a", &store);
  if (!StartAll({&host}, {host.peer_endpoint()})) return std::nullopt;
  const auto consumer = Connection::Open(host.caller_port());
  if (!consumer) return std::nullopt;
  consumer->SetReadTimeout(seconds(6));
  std::string first = ToRequest({"GET", "read", "long-header"});
  first.insert(first.size() - 2,
               "X-Note: " + std::string(kLongHeaderBytes, 'n') + "\r\n");
  (void)consumer->Send(first);
  if (!consumer->Read()) return std::nullopt;
  std::vector<std::string> requests = {ToRequest({"POST", "post", "post-1"})};
  for (int i = 0; i < kPipelined; ++i) {
    requests.push_back(ToRequest({"GET", "read", "get-" + std::to_string(i)}));
  }
  std::string at_once;
  for (const std::string& request : requests) {
    at_once += request;
    if (trouble) continue;
    (void)consumer->Send(request);
    if (!consumer->Read()) return std::nullopt;
  }
  if (trouble) (void)consumer->Send(at_once);
  for (std::size_t i = 0; trouble && i < requests.size(); ++i) {
    if (!consumer->Read()) return std::nullopt;
  }
  record->Write("post-1 and the safe requests behind it are answered");
  (void)consumer->Send(ToRequest({"GET", "read", "a-further-request"}));
  const auto answer = consumer->Read();
  record->Write("a-further-request is answered with the id " +
                (answer ? answer->Field(wire::kRequestIdField) : "(none)"));
  int runs = 0;
  for (const Worker* worker : workers) {
    for (const Worker::Arrival& arrival : worker->Arrivals()) {
      if (arrival.request_id == "post-1" && arrival.ran) ++runs;
    }
  }
  record->Write("post-1 ran " + std::to_string(runs) + " times");
  return runs > 1;
}

std::optional<bool> RefuseHead(bool trouble, Record* record) {
  Store& store = *Forever<Store>();
  Workers workers;
  workers.push_back(Forever<Worker>(WorkerOptions{"i-1"}, record));
  workers.push_back(Forever<Worker>(WorkerOptions{"i-2"}, record));
  PublishWorkers(&store, workers);
  Publish(&store, 1, {{"read"}, {"list"}});
  Host host("host-1", "north-a", &store);
  if (!StartAll({&host}, {host.peer_endpoint()})) return std::nullopt;
  const auto consumer = Connection::Open(host.caller_port());
  if (!consumer) return std::nullopt;
  consumer->SetReadTimeout(kAnswerTimeout);
  const auto head = [&](const std::string& id) {
    (void)consumer->Send(ToRequest({"HEAD", "list", id}));
    const auto answer = consumer->Read(true);
    record->Write("HEAD " + id + " is answered " +
                  (answer ? answer->first_line : "not at all"));
    return answer ? answer->Status() : 0;
  };
  if (head("before") != 200) return std::nullopt;
  if (trouble) {
    record->Write("the operator removes the route \"list\"");
    Publish(&store, 4, {{"read"}});
  }
  Sleep(kConfigurationApplied);
  if (head("after") != (trouble ? 404 : 200)) return std::nullopt;
  (void)consumer->Send(ToRequest({"GET", "read", "next"}));
  const std::string begin = consumer->ReadBytes(9);
  record->Write("the bytes after that answer begin with \"" + begin + "\"");
  return begin.rfind("HTTP/1.1 ", 0) != 0;
}

std::optional<bool> StopWhileWaiting(bool trouble, Record* record) {
  constexpr int kKeptConnections = 60;
  constexpr milliseconds kBetweenRequests{13};
  Store& store = *Forever<Store>();
  Workers workers;
  workers.push_back(Forever<Worker>(
      WorkerOptions{"i-1", "north-a", 2, milliseconds(600)}, record));
  PublishWorkers(&store, workers);
  Publish(&store, 1, {{"plan", "download", 15000, 2000}});
  Host stopped("host-1", "north-a", &store);
  Host other("host-2", "north-a", &store);
  if (!StartAll({&stopped, &other}, {other.peer_endpoint()})) {
    return std::nullopt;
  }
  std::vector<KeptRequest> requests(kKeptConnections);
  for (int i = 0; i < kKeptConnections; ++i) {
    KeptRequest& request = requests[static_cast<std::size_t>(i)];
    request.id = "kept-" + std::to_string(i);
    request.connection = Connection::Open(stopped.caller_port());
    if (!request.connection) return std::nullopt;
    request.connection->SetReadTimeout(kAnswerTimeout);
    (void)request.connection->Send(
        ToRequest({"GET", "plan", "first-" + std::to_string(i)}));
  }
  for (const KeptRequest& request : requests) {
    if (!request.connection->Read()) return std::nullopt;
  }
  const ClosedLoop load(&other, {"GET", "plan", "load", "/a/x", 15000}, 24);
  Sleep(seconds(4));
  const auto stopped_at = Clock::now();
  if (trouble) {
    record->Write("host-1 gets SIGTERM");
    stopped.Signal(SIGTERM);
  }
  Sleep(milliseconds(1700));
  std::vector<std::thread> readers;
  for (KeptRequest& request : requests) {
    request.sent_at = Clock::now();
    record->Write("sent " + request.id + " to host-1, " +
                  std::to_string(SecondsSince(stopped_at)) +
                  " s after the stop");
    (void)request.connection->Send(
        ToRequest({"GET", "plan", request.id, "/a/x", 15000}));
    readers.emplace_back([&request] {
      const auto answer = request.connection->Read();
      request.status = answer ? answer->Status() : 0;
      request.ended_at = Clock::now();
    });
    Sleep(kBetweenRequests);
  }
  for (std::thread& reader : readers) reader.join();
  int lost = 0;
  for (const KeptRequest& request : requests) {
    const double waited =
        std::chrono::duration<double>(request.ended_at - request.sent_at)
            .count();
    const bool is_lost =
        request.status == 0 && waited > 0.2 && !Ran(workers, request.id);
    if (is_lost) ++lost;
    record->Write(
        request.id + " ended after " + std::to_string(waited) + " s with " +
        (request.status == 0 ? "a closed connection"
                             : "status " + std::to_string(request.status)) +
        (Ran(workers, request.id) ? ", run" : ", not run"));
  }
  Sleep(milliseconds(300));
  const auto status = stopped.ExitStatus();
  record->Write("host-1 " +
                (status ? "ended with wait status " + std::to_string(*status)
                        : std::string("runs")));
  record->Write(std::to_string(lost) + " requests were read and lost");
  return lost > 0;
}

std::optional<bool> LeaveDuringCut(bool trouble, Record* record) {
  constexpr double kDrainSeconds = 2.5;
  Store& store = *Forever<Store>();
  Workers workers;
  workers.push_back(Forever<Worker>(
      WorkerOptions{"i-1", "north-a", 3, milliseconds(20)}, record));
  workers.push_back(Forever<Worker>(
      WorkerOptions{"i-2", "south-a", 3, milliseconds(20)}, record));
  workers.push_back(Forever<Worker>(
      WorkerOptions{"i-3", "south-a", 3, milliseconds(20)}, record));
  PublishWorkers(&store, workers);
  Publish(&store, 1, {{"read"}});
  Host seed("host-1", "north-a", &store);
  Host follower("host-2", "north-a", &store);
  if (!StartAll({&seed, &follower}, {seed.peer_endpoint()})) {
    return std::nullopt;
  }
  Sleep(seconds(5));
  const ClosedLoop load(&follower, {"GET", "read", "load"}, 4);
  Sleep(seconds(1));
  if (trouble) {
    record->Write("host-1 is partitioned from the store");
    store.Cut(seed.store_port(), true);
  }
  Sleep(milliseconds(300));
  workers[0]->Leave();
  const auto left_at = Clock::now();
  store.Remove(workers[0]->Key());
  record->Write("the store has removed the entry of i-1, which leaves");
  Sleep(milliseconds(5200));
  if (trouble) record->Write("host-1 reaches the store again");
  store.Cut(seed.store_port(), false);
  double last = 0;
  int late = 0;
  int before = 0;
  for (const Worker::Arrival& arrival : workers[0]->Arrivals()) {
    const double after =
        std::chrono::duration<double>(arrival.at - left_at).count();
    last = std::max(last, after);
    if (after > kDrainSeconds) ++late;
    if (after < 0) ++before;
  }
  record->Write("i-1 got " + std::to_string(before) +
                " requests before it left, the last one " +
                std::to_string(last) + " s after it, " + std::to_string(late) +
                " of them later than 2.5 s");
  if (before == 0) return std::nullopt;
  return late > 0;
}

std::optional<bool> PauseReading(bool trouble, Record* record) {
  constexpr int kConsumers = 5;
  constexpr int kAllowedCloses = 3;
  constexpr int kPipelined = 6;
  constexpr int kReceiveBytes = 16 * 1024;
  Store& store = *Forever<Store>();
  Workers workers;
  for (const char* id : {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"}) {
    workers.push_back(Forever<Worker>(
        WorkerOptions{id, "north-a", 5, milliseconds(100), 30000}, record));
  }
  PublishWorkers(&store, workers);
  Publish(&store, 1, {{"read", "safe", 8000, 800}});
  Host host("host-1", "north-a", &store);
  if (!StartAll({&host}, {host.peer_endpoint()})) return std::nullopt;
  std::vector<std::shared_ptr<Connection>> consumers;
  for (int c = 0; c < kConsumers; ++c) {
    const std::string name = "c" + std::to_string(c);
    consumers.push_back(Connection::Open(host.caller_port(), kReceiveBytes));
    if (!consumers.back()) return std::nullopt;
    consumers.back()->SetReadTimeout(kAnswerTimeout);
    (void)consumers.back()->Send(ToRequest({"GET", "read", name + "-first"}));
    if (!consumers.back()->Read()) return std::nullopt;
    std::string pipelined;
    for (int i = 0; i < kPipelined; ++i) {
      pipelined += ToRequest(
          {"GET", "read", name + "-" + std::to_string(i), "/a/x", 8000});
    }
    (void)consumers.back()->Send(pipelined);
  }
  record->Write("the consumers have sent their requests");
  if (trouble) {
    Sleep(seconds(4));
    record->Write("the consumers have paused for 4 s and read on");
  }
  int lost = 0;
  int closes = 0;
  for (int c = 0; c < kConsumers; ++c) {
    const auto& consumer = consumers[static_cast<std::size_t>(c)];
    int lost_here = 0;
    for (int i = 0; i < kPipelined; ++i) {
      const std::string id = "c" + std::to_string(c) + "-" + std::to_string(i);
      const auto answer = consumer->Read();
      const bool ran = Ran(workers, id);
      record->Write(id + (ran ? ", run, " : ", not run, ") +
                    (answer ? "is answered " + answer->first_line
                            : "has no complete answer"));
      if (!answer && ran) ++lost_here;
    }
    lost += lost_here;
    if (lost_here > 0) ++closes;
  }
  record->Write(std::to_string(lost) +
                " requests were passed on and lost, on " +
                std::to_string(closes) + " connections");
  return closes > kAllowedCloses;
}

std::optional<bool> CrashWorkers(bool trouble, Record* record) {
  constexpr milliseconds kBetweenAttempts{700};
  constexpr double kStableWindowSeconds = 4;
  constexpr int kAllowedRetries = 3;
  Store& store = *Forever<Store>();
  Workers workers;
  for (int i = 1; i <= 10; ++i) {
    workers.push_back(
        Forever<Worker>(WorkerOptions{"i-" + std::to_string(i), "north-a", 3,
                                      milliseconds(50), 100, "crash"},
                        record));
  }
  PublishWorkers(&store, workers);
  Publish(&store, 1, {{"post", "unsafe"}});
  std::vector<std::unique_ptr<Host>> seeds;
  std::vector<std::unique_ptr<Host>> others;
  std::vector<Host*> all;
  std::vector<std::string> endpoints;
  for (int i = 0; i < 9; ++i) {
    auto& group = i < 3 ? seeds : others;
    group.push_back(
        std::make_unique<Host>("host-" + std::to_string(i), "north-a", &store));
    all.push_back(group.back().get());
    if (i < 3) endpoints.push_back(group.back()->peer_endpoint());
  }
  if (!StartAll(all, endpoints)) return std::nullopt;
  Sleep(seconds(5));
  if (trouble) {
    record->Write("the three seeds are cut off");
    for (const auto& seed : seeds) seed->Signal(SIGSTOP);
  }
  Sleep(milliseconds(500));
  int sent = 0;
  const auto send = [&](const Host& host) {
    const std::string id = "crash-" + std::to_string(++sent);
    const int status = Call(host, {"POST", "post", id, "/a/crash", 3000});
    record->Write(id + " is answered " + std::to_string(status));
    Sleep(kBetweenAttempts);
  };
  for (std::size_t i = 0; i < 3; ++i) send(*others[i]);
  const auto third_at = Clock::now();
  Sleep(milliseconds(4100));
  for (const auto& host : others) send(*host);
  int late = 0;
  for (const Worker* worker : workers) {
    for (const Worker::Arrival& arrival : worker->Arrivals()) {
      const double after =
          std::chrono::duration<double>(arrival.at - third_at).count();
      if (arrival.ran && after > kStableWindowSeconds) ++late;
    }
  }
  for (const auto& seed : seeds) seed->Signal(SIGCONT);
  record->Write(std::to_string(late) +
                " retries reached workers later than 4 s after the third "
                "crash");
  return late > kAllowedRetries;
}

}  // namespace review
