// How much of a service's room each organisation has used lately.
//
// Handles an organisation that sends far more requests than the others while
// room is short: of requests of the same rank, those beyond one and a half
// times the average of the organisations come after the others.
//
// Example:
//   usage.OnSent(organisation, now);
//   const double used = usage.Of(organisation, now);
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_QUEUEING_FAIR_SHARE_H_
#define HEATHERLATCH_QUEUEING_FAIR_SHARE_H_

#include <cstddef>
#include <map>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

class OrganisationUsage {
 public:
  // Organisations beyond this number that send at the same time count as not
  // having sent anything.
  static constexpr std::size_t kMaxOrganisations = 4096;

  // @param organisation  empty: the requests without one, together
  void OnSent(const OrganisationName& organisation, TimePoint now);

  // @return the sends of the organisation, each of which counts less with its
  //     age
  double Of(const OrganisationName& organisation, TimePoint now) const;

 private:
  struct Usage {
    double sends = 0;
    TimePoint at;
  };

  static double At(const Usage& usage, TimePoint now);
  void Prune(TimePoint now);

  std::map<OrganisationName, Usage> usages_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_QUEUEING_FAIR_SHARE_H_
