// A bounded set of spent ticket sequences.
//
// Sequences are spent roughly in order, so they are kept as disjoint ranges.
// When there are more ranges than the bound, the lowest gap is closed: the
// unspent sequences in it count as spent from then on. The set never forgets a
// spent sequence.
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
  // @param max_ranges  the most ranges that are kept; at least 1
  explicit SequenceSet(std::size_t max_ranges) : max_ranges_(max_ranges) {}

  bool Contains(std::uint64_t sequence) const;

  void Insert(std::uint64_t sequence);

  // Inserts every sequence up to and including `sequence`.
  void InsertUpTo(std::uint64_t sequence);

  std::size_t range_count() const { return last_of_.size(); }

 private:
  void InsertRange(std::uint64_t first, std::uint64_t last);
  void CloseLowestGap();

  std::size_t max_ranges_;
  // The last sequence of each range by its first; ranges do not touch.
  std::map<std::uint64_t, std::uint64_t> last_of_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_AT_MOST_ONCE_INTERNAL_SEQUENCE_SET_H_
