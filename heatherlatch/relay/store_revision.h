// Revisions of the platform's store that are ordered across its restores.
//
// A store that is restored from a copy forgets its latest changes and gives out
// their revisions again. It counts its restores as eras. The hosts order all
// changes by era and revision, in one number.
//
// Example:
//   item.revision = OrderedRevision(era, revision);
//   if (EraOf(page.revision) > EraOf(items.revision())) ... restored ...
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_RELAY_STORE_REVISION_H_
#define HEATHERLATCH_RELAY_STORE_REVISION_H_

#include <cstdint>

namespace heatherlatch {

// Of a number that JSON keeps exactly, 53 bits, those of the revision. The rest
// counts the eras.
inline constexpr int kRevisionBits = 40;
inline constexpr std::uint64_t kMaxStoreRevision =
    (std::uint64_t{1} << kRevisionBits) - 1;
inline constexpr std::uint64_t kMaxStoreEra =
    (std::uint64_t{1} << (53 - kRevisionBits)) - 1;

// @param era       at most kMaxStoreEra
// @param revision  of the store in that era, at most kMaxStoreRevision
constexpr std::uint64_t OrderedRevision(std::uint64_t era,
                                        std::uint64_t revision) {
  return era << kRevisionBits | revision;
}

constexpr std::uint64_t EraOf(std::uint64_t ordered_revision) {
  return ordered_revision >> kRevisionBits;
}

// @return the revision as the store counts it in that era
constexpr std::uint64_t RevisionInEra(std::uint64_t ordered_revision) {
  return ordered_revision & kMaxStoreRevision;
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_STORE_REVISION_H_
