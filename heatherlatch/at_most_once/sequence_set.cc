#include "heatherlatch/at_most_once/internal/sequence_set.h"

#include <algorithm>
#include <iterator>

namespace heatherlatch {

bool SequenceSet::Contains(std::uint64_t sequence) const {
  const auto after = last_of_.upper_bound(sequence);
  return after != last_of_.begin() && std::prev(after)->second >= sequence;
}

void SequenceSet::Insert(std::uint64_t sequence) {
  InsertRange(sequence, sequence);
}

void SequenceSet::InsertUpTo(std::uint64_t sequence) {
  InsertRange(0, sequence);
}

void SequenceSet::InsertRange(std::uint64_t first, std::uint64_t last) {
  auto it = last_of_.upper_bound(first);
  if (it != last_of_.begin() && std::prev(it)->second + 1 >= first) --it;
  // Merges every range that overlaps or touches the new one.
  while (it != last_of_.end() && it->first <= last + 1) {
    first = std::min(first, it->first);
    last = std::max(last, it->second);
    it = last_of_.erase(it);
  }
  last_of_.emplace(first, last);
  if (last_of_.size() > max_ranges_) CloseLowestGap();
}

void SequenceSet::CloseLowestGap() {
  const auto second = std::next(last_of_.begin());
  last_of_.begin()->second = second->second;
  last_of_.erase(second);
}

}  // namespace heatherlatch
