// A deployment for a test: entry hosts as real processes on loopback, with
// stand-ins for the platform and the backend servers in the test process.
//
// Regions north and south, two availability zones each. Services: `reads`
// (small, idempotent, two servers in each zone), `writes` (not idempotent, home
// region north, two servers in each zone of north) and `downloads` (work class
// heavy, one server in each zone of north).
//
// Example:
//   LocalDeployment deployment;
//   deployment.StartAll();
//   HttpResponse response = deployment.Read(0);
//
// Thread safety: the methods that send a request (`Send` to `WaitUntilKeysRun`,
// and `Status`) may be called from any thread, the rest from one thread.
#ifndef TESTS_HARNESS_LOCAL_DEPLOYMENT_H_
#define TESTS_HARNESS_LOCAL_DEPLOYMENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "standins/backend/backend_fleet.h"
#include "standins/platform/platform_service.h"
#include "tests/harness/child_process.h"
#include "tests/harness/http_call.h"

namespace heatherlatch::testing {

struct HostOptions {
  std::string name;
  std::string region;
  std::string zone;
  bool platform_reachable = true;  // False: configured with a free endpoint.
};

struct DeploymentOptions {
  std::vector<HostOptions> hosts = {{"entry-1", "north", "north-a"},
                                    {"entry-2", "north", "north-a"},
                                    {"entry-3", "north", "north-b"},
                                    {"entry-4", "south", "south-a"}};
  std::chrono::seconds resend_window{2};
  std::chrono::seconds write_deadline{2};
  std::chrono::milliseconds read_time{8};
  std::chrono::milliseconds write_time{8};
  std::chrono::milliseconds probe_cost{1};
  double probe_budget = 0.01;
  std::uint64_t download_bytes = 2000000;
  std::uint64_t download_bytes_per_second = 0;  // 0: no limit.
  std::chrono::milliseconds cold_time{0};       // After each start of a server.
};

class LocalDeployment {
 public:
  explicit LocalDeployment(DeploymentOptions options = {});
  ~LocalDeployment();

  // Starts every host and waits until each is ready.
  void StartAll();
  void StartHost(std::size_t host);
  void WaitUntilReady(std::size_t host);

  void Kill(std::size_t host);
  void Pause(std::size_t host);
  void Resume(std::size_t host);
  // Starts the graceful stop of a host, with SIGTERM.
  void BeginStop(std::size_t host);
  // Waits for the end of a host after `BeginStop`.
  // @return its exit code
  int WaitForStop(std::size_t host);

  // Publishes the objects with these zones out of service.
  // @return the revision
  std::uint64_t Publish(const std::set<std::string>& zones_out = {});
  // Publishes a text as the configuration, valid or not.
  std::uint64_t PublishText(const std::string& yaml);
  // @return the objects as `Publish` writes them
  std::string Objects(const std::set<std::string>& zones_out) const;
  // Replaces the host list of the platform.
  // @param leaving  names of the backend servers to list as leaving
  void SetLeavingServers(const std::set<std::string>& leaving);

  HttpResponse Send(std::size_t host, HttpCall call) const;
  HttpResponse Read(std::size_t host,
                    const std::string& path = "/reads/x") const;
  HttpResponse Download(std::size_t host) const;
  // Sends a write with a caller's idempotency key.
  HttpResponse WriteKey(std::size_t host, const std::string& key,
                        const std::string& body = "one") const;
  // Sends a write with a ticket.
  HttpResponse WriteTicket(std::size_t host, const std::string& ticket,
                           const std::string& body = "one") const;
  // Requests a ticket from the host.
  // @return the ticket
  std::string IssueTicket(std::size_t host) const;
  // Waits until writes with new keys that are sent through the host run.
  void WaitUntilKeysRun(std::size_t host) const;

  nlohmann::json Status(std::size_t host) const;
  // @return the output and the log of a host
  std::string Log(std::size_t host) const;

  standins::PlatformService& platform() { return *platform_; }
  standins::BackendServer& server(const std::string& name);
  // Calls `action` with each backend server of a service.
  void ForServers(const std::string& service,
                  const std::function<void(standins::BackendServer&)>& action);
  // @return the runs with this idempotency key or ticket
  std::vector<standins::Run> RunsOf(const std::string& key) const;
  std::vector<standins::Run> AllRuns() const;
  std::vector<std::string> RepeatedKeys() const;
  std::size_t host_count() const { return options_.hosts.size(); }

 private:
  struct Host {
    Endpoint caller;
    Endpoint admin;
    Endpoint peer;
    std::unique_ptr<ChildProcess> process;
  };

  std::string SettingsOf(std::size_t host) const;
  std::string ServersYaml(const std::string& service) const;
  void WriteFile(const std::string& name, const std::string& text) const;

  const DeploymentOptions options_;
  std::string directory_;
  Endpoint platform_endpoint_;
  Endpoint unreachable_endpoint_;
  std::vector<Host> hosts_;
  std::vector<standins::BackendServerOptions> servers_;
  std::vector<std::string> server_zones_;
  std::unique_ptr<standins::BackendFleet> fleet_;
  std::unique_ptr<standins::PlatformService> platform_;
};

// Polls a condition until it is true.
// @return whether it became true within `timeout`
bool Eventually(const std::function<bool()>& condition,
                std::chrono::seconds timeout = std::chrono::seconds(30));

}  // namespace heatherlatch::testing

#endif  // TESTS_HARNESS_LOCAL_DEPLOYMENT_H_
