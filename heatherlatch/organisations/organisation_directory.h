// The organisations that operators publish, and the keys by which their callers
// are recognised.
//
// A lookup takes no time that depends on how much of a key matches: keys are
// found by a hash with a seed that is drawn for each process, and then compared
// in constant time.
//
// Example:
//   directory.Add(organisation);
//   const KeyOwner owner = directory.FindOwner(key);
//   if (const auto* held = std::get_if<HeldBy>(&owner)) Serve(*held);
//
// Thread safety: immutable once built.
#ifndef HEATHERLATCH_ORGANISATIONS_ORGANISATION_DIRECTORY_H_
#define HEATHERLATCH_ORGANISATIONS_ORGANISATION_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "heatherlatch/base/name.h"

namespace heatherlatch {

// On whose behalf callers send requests. A caller proves it with a key.
struct TrafficOrganisation {
  OrganisationName name;
  std::vector<std::string> keys;
  // Comes before the priority of the route; absent: only the route's applies.
  std::optional<int> priority;
  // Allotment: requests that all hosts together may run. 0: unlimited.
  double requests_per_second = 0;
  double burst = 0;                      // Requests beyond the rate, at once.
  std::vector<RegionName> home_regions;  // Empty: any region.
};

struct HeldBy {
  const TrafficOrganisation* organisation;  // Valid as long as the directory.
};
// More than one organisation holds the key, so that it identifies none.
struct HeldBySeveral {};
struct HeldByNone {};
using KeyOwner = std::variant<HeldBy, HeldBySeveral, HeldByNone>;

class OrganisationDirectory {
 public:
  // Adds an organisation, or replaces the one of its name.
  void Add(TrafficOrganisation organisation);
  // Notes an organisation that cannot be read. Its keys are not known.
  void AddUnreadable(OrganisationName name);

  KeyOwner FindOwner(std::string_view key) const;
  // @return nullptr where there is none of this name
  const TrafficOrganisation* Find(const OrganisationName& name) const;

  // @return whether no organisation is published: requests carry no keys
  bool empty() const { return organisations_.empty() && unreadable_.empty(); }
  std::size_t size() const { return organisations_.size(); }
  const std::vector<OrganisationName>& unreadable() const {
    return unreadable_;
  }
  // @return organisations with a key that another one holds too
  std::vector<OrganisationName> WithSharedKeys() const;

 private:
  using KeyDigest = std::uint64_t;

  std::map<OrganisationName, TrafficOrganisation> organisations_;
  // Every holder of a key with this digest.
  std::unordered_map<KeyDigest, std::vector<OrganisationName>> holders_;
  std::vector<OrganisationName> unreadable_;
};

// @return a few hexadecimal digits that tell keys apart in a log. A key cannot
//     be derived from them.
std::string KeyTag(std::string_view key);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ORGANISATIONS_ORGANISATION_DIRECTORY_H_
