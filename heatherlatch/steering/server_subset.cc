#include "heatherlatch/steering/server_subset.h"

// Header-only use, so that the host program does not link the xxHash library.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <tuple>
#include <utility>

namespace heatherlatch {
namespace {

constexpr int kPositionBits = 32;
// Digits of a number that are sure to fit into `kPositionBits` bits.
constexpr std::size_t kMaxDigits = 9;

using CandidateIterator = std::vector<Candidate>::iterator;

std::uint64_t Hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

std::uint32_t ReverseBits(std::uint32_t value) {
  std::uint32_t reversed = 0;
  for (int i = 0; i < kPositionBits; ++i) {
    reversed = (reversed << 1) | ((value >> i) & 1);
  }
  return reversed;
}

// @return the position of a host among all positions of `kPositionBits` bits
std::uint32_t PositionOf(const HostName& host) {
  const std::string_view name = host.str();
  std::size_t stem = name.size();
  std::uint32_t number = 0;
  std::uint32_t unit = 1;
  while (stem > 0 && name.size() - stem < kMaxDigits && name[stem - 1] >= '0' &&
         name[stem - 1] <= '9') {
    --stem;
    number += unit * static_cast<std::uint32_t>(name[stem] - '0');
    unit *= 10;
  }
  return ReverseBits(number) ^
         static_cast<std::uint32_t>(Hash(name.substr(0, stem)));
}

int SliceBits(std::size_t servers, std::size_t min_size) {
  int bits = 0;
  while (bits < kPositionBits && (servers >> (bits + 1)) >= min_size) ++bits;
  return bits;
}

double SlotsOf(const Candidate& candidate) {
  return std::max(candidate.server.slots, 1);
}

void SortByHash(CandidateIterator begin, CandidateIterator end) {
  std::vector<std::pair<std::uint64_t, Candidate>> hashed;
  for (auto it = begin; it != end; ++it) {
    const std::uint64_t hash = Hash(it->server.name.str());
    hashed.emplace_back(hash, std::move(*it));
  }
  std::sort(hashed.begin(), hashed.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first, a.second.server.name) <
           std::tie(b.first, b.second.server.name);
  });
  for (auto& [hash, candidate] : hashed) *begin++ = std::move(candidate);
}

// Marks the members of the slice at a position, and for each that failed the
// next server after the slice.
void MarkSlice(std::uint32_t position, std::size_t min_size,
               CandidateIterator begin, CandidateIterator end) {
  const int bits = SliceBits(static_cast<std::size_t>(end - begin), min_size);
  if (bits == 0) {
    std::for_each(begin, end, [](Candidate& one) { one.in_subset = true; });
    return;
  }
  SortByHash(begin, end);
  double total = 0;
  for (auto it = begin; it != end; ++it) total += SlotsOf(*it);
  const double slots = total / static_cast<double>(std::uint64_t{1} << bits);
  const double slice_begin =
      slots * static_cast<double>(position >> (kPositionBits - bits));
  const double slice_end = slice_begin + slots;
  double passed = 0;
  int replaced = 0;
  auto after = end;
  for (auto it = begin; it != end; ++it) {
    const double middle = passed + SlotsOf(*it) / 2;
    passed += SlotsOf(*it);
    if (middle < slice_begin) continue;
    if (middle >= slice_end) {
      after = it;
      break;
    }
    it->in_subset = true;
    if (it->failed_recently) ++replaced;
  }
  const auto count = end - begin;
  for (std::ptrdiff_t i = 0; i < count && replaced > 0; ++i) {
    Candidate& next = *(begin + (after - begin + i) % count);
    if (next.in_subset || next.failed_recently) continue;
    next.in_subset = true;
    --replaced;
  }
}

}  // namespace

void KeepSubset(const HostName& host, std::size_t min_size,
                std::vector<Candidate>* candidates) {
  const std::uint32_t position = PositionOf(host);
  auto begin = candidates->begin();
  for (const Distance distance :
       {Distance::kSameZone, Distance::kSameRegion, Distance::kOtherRegion}) {
    const auto end = std::partition(
        begin, candidates->end(),
        [&](const Candidate& one) { return one.distance == distance; });
    MarkSlice(position, min_size, begin, end);
    begin = end;
  }
  candidates->erase(std::remove_if(candidates->begin(), candidates->end(),
                                   [](const Candidate& one) {
                                     return !one.in_subset && !one.cold;
                                   }),
                    candidates->end());
}

bool SubsetWidening::OnPressure(TimePoint now) {
  const bool was_narrow = !IsWide(now);
  pressed_at_ = now;
  return was_narrow;
}

bool SubsetWidening::IsWide(TimePoint now) const {
  return pressed_at_ && now - *pressed_at_ < kWideningHold;
}

}  // namespace heatherlatch
