// A bounded set of ticket sequence numbers that must not run again.
//
// Sequence numbers are inserted roughly in order, so they are stored as
// disjoint ranges. When there are more ranges than the bound, the two lowest
// ranges are merged: the numbers between them count as inserted from then on.
// An inserted number is never removed.
//
// Thread safety: none; the caller serialises access.
#ifndef HEATHERLATCH_AT_MOST_ONCE_INTERNAL_SEQUENCE_SET_H_
#define HEATHERLATCH_AT_MOST_ONCE_INTERNAL_SEQUENCE_SET_H_

#include <cstddef>
#include <cstdint>
#include <map>

namespace heatherlatch {

class SequenceSet {
 public:
  // @param max_ranges  largest number of stored ranges; at least 1
  explicit SequenceSet(std::size_t max_ranges) : max_ranges_(max_ranges) {}

  bool Contains(std::uint64_t sequence) const;

  void Insert(std::uint64_t sequence);

  // Inserts every sequence number from 0 up to and including `sequence`.
  void InsertUpTo(std::uint64_t sequence);

  std::size_t range_count() const { return last_by_first_.size(); }

 private:
  void InsertRange(std::uint64_t first, std::uint64_t last);
  void MergeLowestRanges();

  std::size_t max_ranges_;
  // Maps the first number of each range to its last; ranges are not adjacent.
  std::map<std::uint64_t, std::uint64_t> last_by_first_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_AT_MOST_ONCE_INTERNAL_SEQUENCE_SET_H_
