#include "heatherlatch/queueing/fair_share.h"

#include <cmath>

namespace heatherlatch {
namespace {

// After this time a send counts half: about the time for which callers wait.
constexpr Duration kHalfLife = std::chrono::seconds(2);

// An organisation of which less is left is forgotten.
constexpr double kNegligible = 0.05;

}  // namespace

void OrganisationUsage::OnSent(const OrganisationName& organisation,
                               TimePoint now) {
  auto found = usages_.find(organisation);
  if (found == usages_.end()) {
    if (usages_.size() >= kMaxOrganisations) Prune(now);
    if (usages_.size() >= kMaxOrganisations) return;
    found = usages_.try_emplace(organisation, Usage{0, now}).first;
  }
  found->second = {At(found->second, now) + 1, now};
}

double OrganisationUsage::Of(const OrganisationName& organisation,
                             TimePoint now) const {
  const auto found = usages_.find(organisation);
  return found == usages_.end() ? 0 : At(found->second, now);
}

double OrganisationUsage::At(const Usage& usage, TimePoint now) {
  return usage.sends *
         std::exp2(-ToMilliseconds(now - usage.at) / ToMilliseconds(kHalfLife));
}

void OrganisationUsage::Prune(TimePoint now) {
  for (auto it = usages_.begin(); it != usages_.end();) {
    it = At(it->second, now) < kNegligible ? usages_.erase(it) : std::next(it);
  }
}

}  // namespace heatherlatch
