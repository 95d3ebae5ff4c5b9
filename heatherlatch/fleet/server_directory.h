// The backend servers that may get work, as the platform last described them.
//
// Example:
//   directory.Put(record, now);
//   for (const ServerEntry* entry : directory.Usable(service, now)) ...
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_FLEET_SERVER_DIRECTORY_H_
#define HEATHERLATCH_FLEET_SERVER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

// What the platform says of one backend server.
struct ServerRecord {
  BackendServerName name;
  ServiceName service;
  Endpoint endpoint;
  ZoneName zone;
  int slots = 1;
  bool draining = false;
  std::uint64_t started_at_ms = 0;  // Unix time; orders starts of one name.
  Duration cold_remaining{};
};

struct ServerEntry {
  ServerRecord record;
  TimePoint cold_until;
  // Set while the entry is missing and may yet come back.
  std::optional<TimePoint> expires_at;
};

class ServerDirectory {
 public:
  // Adds or updates a server. A record of an earlier start than the one known
  // is ignored.
  void Put(const ServerRecord& record, TimePoint now);

  // Removes a server at once.
  void Remove(const BackendServerName& name);

  // Keeps a server that is missing until it is listed again or `until` passes.
  void MarkMissing(const BackendServerName& name, TimePoint until);

  // Removes the servers whose grace has ended.
  void Expire(TimePoint now);

  void SetZoneInService(const ZoneName& zone, bool in_service);

  // @return the servers of a service that may get new work
  std::vector<const ServerEntry*> Usable(const ServiceName& service,
                                         TimePoint now) const;

  // @return the entry of a server that may get new work, or nullptr
  const ServerEntry* FindUsable(const BackendServerName& name,
                                TimePoint now) const;

  std::size_t size() const { return entries_.size(); }

 private:
  bool IsUsable(const ServerEntry& entry, TimePoint now) const;

  std::map<BackendServerName, ServerEntry> entries_;
  std::set<ZoneName> zones_out_of_service_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_FLEET_SERVER_DIRECTORY_H_
