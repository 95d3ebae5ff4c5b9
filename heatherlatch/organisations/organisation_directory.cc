#include "heatherlatch/organisations/organisation_directory.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <set>
#include <utility>

// Header-only use, so that the host program does not link the xxHash library.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace heatherlatch {
namespace {

std::uint64_t DigestSeed() {
  static const std::uint64_t seed = [] {
    std::random_device source;
    return (std::uint64_t{source()} << 32) | source();
  }();
  return seed;
}

std::uint64_t DigestOf(std::string_view key) {
  return XXH3_64bits_withSeed(key.data(), key.size(), DigestSeed());
}

// Compares without ending at the first difference.
bool IsSameKey(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

}  // namespace

void OrganisationDirectory::Add(TrafficOrganisation organisation) {
  for (const std::string& key : organisation.keys) {
    std::vector<OrganisationName>& holders = holders_[DigestOf(key)];
    if (std::find(holders.begin(), holders.end(), organisation.name) ==
        holders.end()) {
      holders.push_back(organisation.name);
    }
  }
  const OrganisationName name = organisation.name;
  organisations_[name] = std::move(organisation);
}

void OrganisationDirectory::AddUnreadable(OrganisationName name) {
  unreadable_.push_back(std::move(name));
}

KeyOwner OrganisationDirectory::FindOwner(std::string_view key) const {
  const auto found = holders_.find(DigestOf(key));
  if (found == holders_.end()) return HeldByNone{};
  const TrafficOrganisation* owner = nullptr;
  for (const OrganisationName& name : found->second) {
    const TrafficOrganisation& holder = organisations_.at(name);
    const bool holds = std::any_of(
        holder.keys.begin(), holder.keys.end(),
        [key](const std::string& held) { return IsSameKey(held, key); });
    if (!holds) continue;
    if (owner != nullptr) return HeldBySeveral{};
    owner = &holder;
  }
  if (owner == nullptr) return HeldByNone{};
  return HeldBy{owner};
}

const TrafficOrganisation* OrganisationDirectory::Find(
    const OrganisationName& name) const {
  const auto found = organisations_.find(name);
  return found == organisations_.end() ? nullptr : &found->second;
}

std::vector<OrganisationName> OrganisationDirectory::WithSharedKeys() const {
  std::set<OrganisationName> sharing;
  for (const auto& [digest, holders] : holders_) {
    if (holders.size() > 1) sharing.insert(holders.begin(), holders.end());
  }
  return {sharing.begin(), sharing.end()};
}

std::string KeyTag(std::string_view key) {
  constexpr std::uint64_t kTagBits = 0xffffff;
  char text[8];
  const unsigned digest =
      static_cast<unsigned>(XXH3_64bits(key.data(), key.size()) & kTagBits);
  std::snprintf(text, sizeof(text), "%06x", digest);
  return text;
}

}  // namespace heatherlatch
