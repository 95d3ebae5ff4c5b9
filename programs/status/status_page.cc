#include "programs/status/status_page.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <sstream>

namespace heatherlatch {
namespace {

using Json = nlohmann::json;

std::string StringField(const Json& object, const char* field) {
  return object.value(field, std::string("?"));
}

std::uint64_t HighestRevision(const std::vector<HostReport>& reports) {
  std::uint64_t highest = 0;
  for (const HostReport& report : reports) {
    if (!report.status) continue;
    highest = std::max(highest, report.status->value("revision", highest));
  }
  return highest;
}

void AppendHostProblems(const HostReport& report, std::uint64_t newest,
                        std::vector<std::string>* problems) {
  if (!report.status) {
    problems->push_back("The host at " + report.endpoint +
                        " does not answer. Check that its process runs.");
    return;
  }
  const Json& status = *report.status;
  const std::string host = "Host " + StringField(status, "host");
  const auto revision = status.value("revision", std::uint64_t{0});
  if (status.value("stopping", false)) {
    problems->push_back(host + " is stopping.");
  } else if (!status.value("may_serve", false)) {
    problems->push_back(host +
                        " accepts no requests: it has no configuration, or "
                        "receives no messages from other hosts.");
  }
  if (revision < newest) {
    problems->push_back(host + " has configuration " +
                        std::to_string(revision) + "; the newest is " +
                        std::to_string(newest) + ".");
  }
  if (!status.value("key_ring_majority", false)) {
    problems->push_back(host +
                        " cannot yet run requests under callers' keys; "
                        "requests with tickets work.");
  }
}

// @return the zones of the report with the newest configuration
Json NewestZones(const std::vector<HostReport>& reports) {
  Json zones = Json::array();
  std::uint64_t newest = 0;
  for (const HostReport& report : reports) {
    if (!report.status) continue;
    const auto revision = report.status->value("revision", std::uint64_t{0});
    if (revision < newest) continue;
    newest = revision;
    zones = report.status->value("zones", Json::array());
  }
  return zones;
}

// @return the server groups of all hosts, keyed by "service zone". A group is
//     reported by the host that owns it.
std::map<std::string, Json> AllGroups(const std::vector<HostReport>& reports) {
  std::map<std::string, Json> groups;
  for (const HostReport& report : reports) {
    if (!report.status) continue;
    for (Json group : report.status->value("groups", Json::array())) {
      group["owner"] = StringField(*report.status, "host");
      const std::string id =
          StringField(group, "service") + " " + StringField(group, "zone");
      groups[id] = std::move(group);
    }
  }
  return groups;
}

void WriteZones(const Json& zones, std::ostream* out) {
  *out << "\nZones\n";
  for (const Json& zone : zones) {
    const bool in_service = zone.value("in_service", false);
    *out << "  " << StringField(zone, "zone") << " ("
         << StringField(zone, "region")
         << "): " << (in_service ? "in service" : "OUT OF SERVICE") << "\n";
  }
}

void WriteGroups(const std::map<std::string, Json>& groups, std::ostream* out) {
  *out << "\nServices\n";
  for (const auto& [id, group] : groups) {
    *out << "  " << StringField(group, "service") << " in "
         << StringField(group, "zone") << ": " << group.value("granted", 0)
         << " of " << group.value("usable_slots", 0) << " slots in use, "
         << group.value("waiting", 0) << " waiting (slots granted by "
         << StringField(group, "owner") << ")\n";
  }
}

void WriteHosts(const std::vector<HostReport>& reports, std::ostream* out) {
  *out << "\nHosts\n";
  for (const HostReport& report : reports) {
    if (!report.status) {
      *out << "  " << report.endpoint << ": no answer\n";
      continue;
    }
    const Json& status = *report.status;
    *out << "  " << StringField(status, "host") << " ("
         << StringField(status, "zone") << "): configuration "
         << status.value("revision", 0) << ", "
         << status.value("requests_in_progress", 0)
         << " requests in progress, membership of "
         << status.value("members", Json::array()).size() << " hosts\n";
  }
}

}  // namespace

StatusPage BuildStatusPage(const std::vector<HostReport>& reports) {
  StatusPage page;
  const std::uint64_t newest = HighestRevision(reports);
  for (const HostReport& report : reports) {
    AppendHostProblems(report, newest, &page.problems);
  }
  std::ostringstream text;
  if (page.problems.empty()) {
    text << "Healthy: " << reports.size() << " hosts serve configuration "
         << newest << ".\n";
  } else {
    text << "NOT HEALTHY\n";
    for (const std::string& problem : page.problems) {
      text << "  - " << problem << "\n";
    }
  }
  const Json zones = NewestZones(reports);
  const auto groups = AllGroups(reports);
  WriteZones(zones, &text);
  WriteGroups(groups, &text);
  WriteHosts(reports, &text);
  page.text = text.str();
  Json hosts = Json::array();
  for (const HostReport& report : reports) {
    hosts.push_back({{"endpoint", report.endpoint},
                     {"status", report.status.value_or(Json())}});
  }
  page.json = {{"healthy", page.problems.empty()},
               {"problems", page.problems},
               {"newest_revision", newest},
               {"zones", zones},
               {"hosts", std::move(hosts)}};
  return page;
}

}  // namespace heatherlatch
