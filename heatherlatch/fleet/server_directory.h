// The backend servers that may receive requests, as last listed by the
// platform.
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
#include <utility>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

// The platform's record of one backend server.
struct ServerRecord {
  BackendServerName name;
  ServiceName service;
  Endpoint endpoint;
  ZoneName zone;
  int slots = 1;
  bool draining = false;
  // Unix time in milliseconds by the server's clock, which may step back, so
  // that it orders nothing.
  std::uint64_t started_at_ms = 0;
  // Of this state, as the store counts it between two of its restores.
  std::uint64_t store_revision = 0;
  Duration cold_remaining{};  // Rest of the cold start, from `Put` on.
};

struct ServerEntry {
  ServerRecord record;
  TimePoint cold_until;
  // End of the grace period; set while the server is missing from the
  // platform's list.
  std::optional<TimePoint> expires_at;
  TimePoint usable_from = TimePoint::min();
  bool is_leaving = false;  // By its own word.
};

// How long a server that has left is remembered: longer than a copy of the
// platform's list may be behind.
inline constexpr Duration kLeftServerRetention = std::chrono::seconds(30);

class ServerDirectory {
 public:
  // Adds or updates a server, and ends its grace period. The records of one
  // server are to be put in the order in which the store received them.
  void Put(const ServerRecord& record, TimePoint now);

  // Adds or updates a server by what a copy says of it that may be some seconds
  // old. A server that was draining, was missing or has left is not usable
  // before `left_until`, unless the store has a later revision of it. What
  // servers wrote after the copy was made is written again by then.
  void PutFromCopy(const ServerRecord& record, TimePoint now,
                   TimePoint left_until);

  // Removes a server without a grace period.
  // @param store_revision  of its removal, as that of a record
  void Remove(const BackendServerName& name, std::uint64_t store_revision,
              TimePoint now);

  // Starts the grace period of a server that is missing from the platform's
  // list: it is removed at `until` unless it is listed again before. Does
  // nothing for an unknown server, or one that is already marked.
  // @param store_revision  of its removal from the list
  void MarkMissing(const BackendServerName& name, std::uint64_t store_revision,
                   TimePoint until);

  // Records that a server said that it leaves. It is not usable from then on,
  // whatever the platform lists, until it starts again under its name. This is
  // remembered while that start is listed, and for `kLeftServerRetention`
  // thereafter.
  // @param started_at_ms  of the start that said so, as in its record
  // @return whether this was not known
  bool MarkLeaving(const BackendServerName& name, std::uint64_t started_at_ms,
                   TimePoint now);

  // Forgets what servers said of leaving, since time may have passed unnoticed.
  void ForgetLeaving();

  // Removes the servers whose grace period has ended, and forgets those that
  // left long ago.
  void Expire(TimePoint now);

  // Excludes the servers of an availability zone, or includes them again.
  void SetZoneInService(const ZoneName& zone, bool in_service);

  // @return the servers of a service that may receive new requests: neither
  //     draining nor leaving by their own word, in a zone in service, and not
  //     past their grace period; the pointers are valid until the next change
  //     of the directory
  std::vector<const ServerEntry*> Usable(const ServiceName& service,
                                         TimePoint now) const;

  // @return the entry of a server that may receive new requests, or nullptr
  const ServerEntry* FindUsable(const BackendServerName& name,
                                TimePoint now) const;

  // @return whether a server of the service may receive no request only because
  //     it said that it leaves
  bool LeavesOutLeaving(const ServiceName& service, TimePoint now) const;

  std::size_t size() const { return entries_.size(); }

 private:
  // One start of a server: its name, and `started_at_ms` of its record.
  using ServerStart = std::pair<BackendServerName, std::uint64_t>;

  bool IsUsable(const ServerEntry& entry, TimePoint now) const;
  // @return whether the platform allows requests to the server
  bool IsInService(const ServerEntry& entry, TimePoint now) const;
  // @return the entry of a start, or nullptr if it is not the one listed
  const ServerEntry* FindStart(const ServerStart& start) const;

  struct LeftServer {
    std::uint64_t store_revision = 0;
    TimePoint removed_at;
  };

  std::map<BackendServerName, ServerEntry> entries_;
  std::map<BackendServerName, LeftServer> left_;
  // That said that they leave, and since when they are no longer listed.
  std::map<ServerStart, std::optional<TimePoint>> leaving_;
  std::set<ZoneName> zones_out_of_service_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_FLEET_SERVER_DIRECTORY_H_
