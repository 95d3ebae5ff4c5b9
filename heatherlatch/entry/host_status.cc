#include "heatherlatch/entry/host_status.h"

#include <nlohmann/json.hpp>

namespace heatherlatch {
namespace {

using Json = nlohmann::json;

std::string_view TextOf(MemberState state) {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kSuspected:
      return "suspected";
    case MemberState::kLeaving:
      return "leaving";
  }
  return "live";
}

Json MembersJson(const MemberView& view) {
  Json members = Json::array();
  for (const Member& member : view.members) {
    members.push_back({
        {"host", member.description.incarnation.host.str()},
        {"zone", member.description.zone.str()},
        {"region", member.description.region.str()},
        {"state", TextOf(member.state)},
        {"revision", member.configuration_revision},
    });
  }
  return members;
}

Json GroupsJson(const std::vector<OwnedGroupStatus>& groups) {
  Json owned = Json::array();
  for (const OwnedGroupStatus& group : groups) {
    Json servers = Json::array();
    for (const auto& [server, limit] : group.limits) {
      servers.push_back({{"server", server.str()}, {"limit", limit}});
    }
    owned.push_back({
        {"service", group.group.service.str()},
        {"zone", group.group.zone.str()},
        {"usable_slots", group.load.usable_slots},
        {"granted", group.load.granted},
        {"waiting", group.load.waiting},
        {"mean_service_ms", ToMilliseconds(group.load.mean_slot_time)},
        {"servers", std::move(servers)},
    });
  }
  return owned;
}

Json ZonesJson(const HostSnapshot& snapshot) {
  Json zones = Json::array();
  if (snapshot.objects == nullptr) return zones;
  for (const AvailabilityZone& zone : snapshot.objects->zones) {
    zones.push_back({{"zone", zone.name.str()},
                     {"region", zone.region.str()},
                     {"in_service", zone.in_service}});
  }
  return zones;
}

}  // namespace

std::string StatusJson(const HostStatusInputs& inputs) {
  const HostSnapshot& snapshot = *inputs.snapshot;
  const Revision revision =
      snapshot.objects == nullptr ? 0 : snapshot.objects->revision;
  const Json status = {
      {"host", inputs.self.incarnation.host.str()},
      {"incarnation", ToString(inputs.self.incarnation)},
      {"region", inputs.self.region.str()},
      {"zone", inputs.self.zone.str()},
      {"revision", revision},
      {"may_serve", snapshot.may_serve},
      {"stopping", inputs.stopping},
      {"requests_in_progress", inputs.requests_in_progress},
      {"key_ring_majority", inputs.key_ring_majority},
      {"zones", ZonesJson(snapshot)},
      {"members", MembersJson(*snapshot.members)},
      {"groups", GroupsJson(inputs.groups)},
  };
  return status.dump(2) + "\n";
}

}  // namespace heatherlatch
