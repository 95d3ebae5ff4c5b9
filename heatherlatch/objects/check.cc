#include "heatherlatch/objects/check.h"

#include <algorithm>
#include <set>
#include <utility>

#include "heatherlatch/objects/internal/cross_check.h"
#include "heatherlatch/objects/internal/field_limits.h"
#include "heatherlatch/yaml/closest_name.h"
#include "heatherlatch/yaml/document.h"
#include "heatherlatch/yaml/mapping_reader.h"

namespace heatherlatch {
namespace {

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;

// Prefix of paths that entry hosts serve themselves; see docs/INTERFACES.md.
constexpr std::string_view kReservedPrefix = "/heatherlatch";

const std::vector<std::string>& KnownMethods() {
  static const std::vector<std::string> methods = {
      "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
  return methods;
}

const std::vector<std::string>& WorkClassNames() {
  static const std::vector<std::string> names = {"small", "heavy"};
  return names;
}

// @return `KIND "NAME"`, or `KIND NUMBER` if the entry has no name
std::string EntryLabel(const YAML::Node& node, std::string_view kind,
                       std::size_t number) {
  if (node.IsMap()) {
    const YAML::Node name = node["name"];
    if (name && name.IsScalar()) return ObjectLabel(kind, name.Scalar());
  }
  return std::string(kind) + " " + std::to_string(number);
}

std::vector<RegionName> ReadHomeRegions(MappingReader* reader) {
  std::vector<RegionName> regions;
  for (std::string& name : reader->TextList("home_regions", kOptional)
                               .value_or(std::vector<std::string>())) {
    regions.emplace_back(std::move(name));
  }
  return regions;
}

Region ReadRegion(MappingReader* reader) {
  Region region;
  AssignIfPresent(reader->ObjectName("name", kRequired), &region.name);
  return region;
}

AvailabilityZone ReadZone(MappingReader* reader) {
  AvailabilityZone zone;
  AssignIfPresent(reader->ObjectName("name", kRequired), &zone.name);
  AssignIfPresent(reader->Reference("region", kRequired), &zone.region);
  AssignIfPresent(reader->Boolean("in_service", kOptional), &zone.in_service);
  return zone;
}

BackendServer ReadServer(MappingReader* reader) {
  BackendServer server;
  AssignIfPresent(reader->ObjectName("name", kRequired), &server.name);
  AssignIfPresent(reader->Reference("zone", kRequired), &server.zone);
  AssignIfPresent(reader->Address("endpoint", kRequired), &server.endpoint);
  return server;
}

// Reads each entry of a list with `read`. An entry that is not a mapping is
// reported and yields an object with default values.
template <typename Read>
auto ReadEntries(const std::vector<YAML::Node>& entries, std::string_view kind,
                 ReadContext* context, Read read) {
  std::vector<decltype(read(std::declval<MappingReader*>()))> objects;
  for (const YAML::Node& entry : entries) {
    MappingReader reader(entry, EntryLabel(entry, kind, objects.size() + 1),
                         context);
    objects.push_back(reader.valid()
                          ? read(&reader)
                          : typename decltype(objects)::value_type());
    reader.Finish();
  }
  return objects;
}

Service ReadService(MappingReader* reader, ReadContext* context) {
  using namespace internal;  // NOLINT(google-build-using-namespace)
  Service service;
  AssignIfPresent(reader->ObjectName("name", kRequired), &service.name);
  const auto work_class =
      reader->Choice("work_class", kOptional, WorkClassNames());
  if (work_class) service.work_class = static_cast<WorkClass>(*work_class);
  AssignIfPresent(reader->Integer("slots_per_server", kOptional, kSlotsRange),
                  &service.slots_per_server);
  AssignIfPresent(
      reader->Integer("connections_per_server", kOptional, kConnectionsRange),
      &service.connections_per_server);
  AssignIfPresent(reader->Integer("cold_start_slots", kOptional, kSlotsRange),
                  &service.cold_start_slots);
  AssignIfPresent(
      reader->Time("probe_interval", kOptional, kProbeIntervalRange),
      &service.probe_interval);
  AssignIfPresent(reader->Time("probe_cost", kOptional, kProbeCostRange),
                  &service.probe_cost);
  AssignIfPresent(reader->Number("probe_budget", kOptional, kProbeBudgetRange),
                  &service.probe_budget);
  const auto servers = reader->Sequence("servers", kRequired);
  if (servers) {
    service.servers = ReadEntries(*servers, "server", context, ReadServer);
  }
  for (BackendServer& server : service.servers) server.service = service.name;
  return service;
}

void CheckMethods(const std::vector<std::string>& methods,
                  MappingReader* reader) {
  if (methods.empty()) {
    reader->Report(FindingKind::kOutOfRange, "methods", "names no method");
  }
  std::set<std::string> seen;
  for (const std::string& method : methods) {
    if (!seen.insert(method).second) {
      reader->Report(FindingKind::kDuplicateName, "methods",
                     method + " stands twice", "keep one of the two entries");
    }
    const auto& known = KnownMethods();
    if (std::find(known.begin(), known.end(), method) != known.end()) continue;
    reader->Report(FindingKind::kOutOfRange, "methods",
                   "\"" + method + "\" is not an HTTP method in upper case",
                   DidYouMean(method, known));
  }
}

bool IsReserved(std::string_view path) {
  if (path.substr(0, kReservedPrefix.size()) != kReservedPrefix) return false;
  return path.size() == kReservedPrefix.size() ||
         path[kReservedPrefix.size()] == '/';
}

// @return whether a path prefix may contain the character: visible ASCII except
//     '?', '#', '%' and '*', so that each character matches itself only
bool IsPathCharacter(char c) {
  const bool is_visible = c > ' ' && c < '\x7f';
  return is_visible && c != '?' && c != '#' && c != '%' && c != '*';
}

// @return the problem of the path prefix; empty if it is valid
std::string PathProblem(std::string_view path) {
  if (path.empty() || path.front() != '/') return "does not start with \"/\"";
  if (path.size() > 1 && path.back() == '/') return "ends with \"/\"";
  if (path.find("//") != std::string_view::npos) return "has an empty segment";
  if (!std::all_of(path.begin(), path.end(), IsPathCharacter)) {
    return "has a character that cannot stand in a prefix";
  }
  if (path.find("/.") != std::string_view::npos) {
    return "has a segment that starts with \".\"";
  }
  if (IsReserved(path)) return "is kept for the entry hosts' own requests";
  return "";
}

void CheckPathPrefix(const std::string& path, MappingReader* reader) {
  const std::string problem = PathProblem(path);
  if (problem.empty()) return;
  reader->Report(FindingKind::kOutOfRange, "path_prefix",
                 "\"" + path + "\" " + problem,
                 "write whole segments, such as /tally");
}

Route ReadRoute(MappingReader* reader) {
  using namespace internal;  // NOLINT(google-build-using-namespace)
  Route route;
  AssignIfPresent(reader->ObjectName("name", kRequired), &route.name);
  const auto path = reader->Text("path_prefix", kRequired);
  if (path) CheckPathPrefix(*path, reader);
  AssignIfPresent(path, &route.path_prefix);
  const auto methods = reader->TextList("methods", kRequired);
  if (methods) CheckMethods(*methods, reader);
  AssignIfPresent(methods, &route.methods);
  AssignIfPresent(reader->Reference("service", kRequired), &route.service);
  AssignIfPresent(reader->Boolean("idempotent", kOptional), &route.idempotent);
  route.home_regions = ReadHomeRegions(reader);
  AssignIfPresent(reader->Time("deadline", kOptional, kDeadlineRange),
                  &route.deadline);
  AssignIfPresent(
      reader->Size("max_request_bytes", kOptional, kRequestBytesRange),
      &route.max_request_bytes);
  return route;
}

Organisation ReadOrganisation(MappingReader* reader) {
  Organisation organisation;
  AssignIfPresent(reader->ObjectName("name", kRequired), &organisation.name);
  organisation.home_regions = ReadHomeRegions(reader);
  AssignIfPresent(reader->Integer("weight", kOptional, internal::kWeightRange),
                  &organisation.weight);
  return organisation;
}

Limits ReadLimits(const YAML::Node& node, ReadContext* context) {
  Limits limits;
  MappingReader reader(node, "limits", context);
  AssignIfPresent(
      reader.Time("resend_window", kOptional, internal::kResendWindowRange),
      &limits.resend_window);
  AssignIfPresent(
      reader.Number("retry_share", kOptional, internal::kRetryShareRange),
      &limits.retry_share);
  AssignIfPresent(reader.Number("cross_region_megabits_per_second", kOptional,
                                internal::kCrossRegionMegabitsPerSecondRange),
                  &limits.cross_region_megabits_per_second);
  reader.Finish();
  return limits;
}

class ObjectSetReader {
 public:
  ObjectSetReader(const YAML::Node& root, ReadContext* context)
      : root_(root, "", context), context_(context) {}

  // @return whether every section could be read as a list; otherwise references
  //     between sections cannot be checked
  bool ReadInto(ObjectSet* set) {
    ReadSection("regions", "region", ReadRegion, &set->regions);
    ReadSection("zones", "zone", ReadZone, &set->zones);
    const auto read_service = [this](MappingReader* reader) {
      return ReadService(reader, context_);
    };
    ReadSection("services", "service", read_service, &set->services);
    ReadSection("routes", "route", ReadRoute, &set->routes);
    ReadSection("organisations", "organisation", ReadOrganisation,
                &set->organisations);
    const auto limits = root_.Mapping("limits", kOptional);
    if (limits) set->limits = ReadLimits(*limits, context_);
    root_.Finish();
    return all_sections_read_;
  }

 private:
  template <typename Read, typename Object>
  void ReadSection(std::string_view section, std::string_view kind, Read read,
                   std::vector<Object>* objects) {
    const auto entries = root_.Sequence(section, kRequired);
    if (!entries) {
      all_sections_read_ = false;
      return;
    }
    if (entries->empty()) {
      root_.Report(FindingKind::kOutOfRange, section, "is empty");
    }
    *objects = ReadEntries(*entries, kind, context_, read);
  }

  MappingReader root_;
  ReadContext* context_;
  bool all_sections_read_ = true;
};

void SortByLine(std::vector<Finding>* findings) {
  std::stable_sort(
      findings->begin(), findings->end(),
      [](const Finding& a, const Finding& b) { return a.line < b.line; });
}

}  // namespace

std::variant<std::shared_ptr<const ObjectSet>, std::vector<Finding>>
ReadObjectSet(std::string_view yaml, Revision revision) {
  ReadContext context;
  auto set = std::make_shared<ObjectSet>();
  set->revision = revision;
  const auto root = LoadDocument(yaml, &context.findings);
  if (root && ObjectSetReader(*root, &context).ReadInto(set.get())) {
    internal::CheckAcrossObjects(*set, &context);
  }
  if (context.findings.empty()) return std::shared_ptr<const ObjectSet>(set);
  SortByLine(&context.findings);
  return std::move(context.findings);
}

}  // namespace heatherlatch
