#include "heatherlatch/at_most_once/internal/sequence_set.h"

#include <algorithm>
#include <iterator>

namespace heatherlatch {

bool SequenceSet::Contains(std::uint64_t sequence) const {
  const auto after = last_by_first_.upper_bound(sequence);
  return after != last_by_first_.begin() &&
         std::prev(after)->second >= sequence;
}

void SequenceSet::Insert(std::uint64_t sequence) {
  InsertRange(sequence, sequence);
}

void SequenceSet::InsertUpTo(std::uint64_t sequence) {
  InsertRange(0, sequence);
}

void SequenceSet::InsertRange(std::uint64_t first, std::uint64_t last) {
  auto it = last_by_first_.upper_bound(first);
  if (it != last_by_first_.begin() && std::prev(it)->second + 1 >= first) --it;
  // Merges every range that overlaps or adjoins the new one.
  while (it != last_by_first_.end() && it->first <= last + 1) {
    first = std::min(first, it->first);
    last = std::max(last, it->second);
    it = last_by_first_.erase(it);
  }
  last_by_first_.emplace(first, last);
  if (last_by_first_.size() > max_ranges_) MergeLowestRanges();
}

void SequenceSet::MergeLowestRanges() {
  const auto second = std::next(last_by_first_.begin());
  last_by_first_.begin()->second = second->second;
  last_by_first_.erase(second);
}

}  // namespace heatherlatch
