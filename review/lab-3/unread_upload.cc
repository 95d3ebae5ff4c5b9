#include <list>
#include <set>
#include <string>

#include "review/lab-3/cases.h"
#include "review/lab-3/lab.h"

namespace heatherlatch::review {
namespace {

constexpr int kServers = 4;
constexpr int kSlots = 6;
constexpr std::size_t kHosts = 2;
constexpr int kUploads = 6;
constexpr std::size_t kBodyBytes = 360'000;
constexpr std::size_t kFirstBytes = 20'000;  // Read before the work.
constexpr double kWorkSeconds = 3.5;
constexpr double kBeforeStopSeconds = 0.3;
constexpr int kDeadlineMs = 8000;

class Case {
 public:
  explicit Case(const std::string& folder) : lab_(folder, kHosts) {
    for (int i = 1; i <= kServers; ++i) {
      servers_.push_back(std::make_unique<Server>(
          &lab_,
          ServerOptions{"i-" + std::to_string(i), "sweepbin",
                        i % 2 == 0 ? "utara-a" : "utara-b", kSlots},
          [this](Server& server, RawConnection& connection,
                 const ServerRequest& request) {
            Work(server, connection, request);
          }));
    }
  }

  int Run() {
    lab_.StartHosts();
    std::list<std::thread> callers;
    for (int i = 0; i < kUploads; ++i) {
      callers.emplace_back([this, i] { Upload("sweep-" + std::to_string(i)); });
    }
    Sleep(kBeforeStopSeconds);
    lab_.Terminate(0);
    for (std::thread& caller : callers) caller.join();
    return Judge();
  }

 private:
  // Works on the request and reads the rest of its body before or after that.
  void Work(Server& server, RawConnection& connection,
            const ServerRequest& request) {
    const std::string name = request.id + " at server " + server.options().id;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      at_work_.insert(request.id);
    }
    lab_.Record(name + " begins to run");
    std::size_t read = connection.ReadBytes(kFirstBytes).size();
    if (!HasTrouble()) {
      read += connection.ReadBytes(request.length - read).size();
    }
    Sleep(kWorkSeconds);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      at_work_.erase(request.id);
    }
    lab_.Record(name + " is done");
    server.Respond(connection, request, "200 OK", "filed");
    read += connection.ReadBytes(request.length - read).size();
    lab_.Record(name + ": read " + std::to_string(read) + " of " +
                std::to_string(request.length) + " bytes");
  }

  void Upload(const std::string& id) {
    const double sent_at = lab_.Now();
    const Answer answer = lab_.Send(0, "POST", "/sweep/" + id, id,
                                    std::string(kBodyBytes, 's'), kDeadlineMs);
    const double seconds = lab_.Now() - sent_at;
    const bool is_at_work = IsAtWork(id);
    lab_.Record("the caller of " + id + " gets " +
                std::to_string(answer.status) +
                (answer.is_signed ? ", signed by the server, after "
                                  : ", of the host's own, after ") +
                std::to_string(seconds) + " s" +
                (is_at_work ? "; its server is at work" : ""));
    if (is_at_work) ++broken_off_;
  }

  bool IsAtWork(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return at_work_.count(id) > 0;
  }

  int Judge() {
    lab_.Record("uploads broken off while their server was at work: " +
                std::to_string(broken_off_) + " of " +
                std::to_string(kUploads));
    return broken_off_ > 0 ? kBroken : kHeld;
  }

  Lab lab_;
  std::mutex mutex_;
  std::set<std::string> at_work_;  // Requests that servers are running.
  std::atomic<int> broken_off_{0};
  std::list<std::unique_ptr<Server>> servers_;
};

}  // namespace

int RunUnreadUpload(const std::string& folder) { return Case(folder).Run(); }

}  // namespace heatherlatch::review
