#include "heatherlatch/relay/store_history.h"

#include "heatherlatch/relay/store_revision.h"

namespace heatherlatch {

StoreHistory HistoryConfirmation::OnResponse(std::uint64_t stated,
                                             std::uint64_t known,
                                             TimePoint now) {
  const std::uint64_t era = EraOf(stated);
  const bool is_later_era = era > EraOf(known);
  if (known == 0 || (!is_later_era && stated >= known)) {
    candidate_.reset();
    return StoreHistory::kKnown;
  }
  const bool is_first = !candidate_;
  if (is_first || candidate_->era != era) candidate_ = Candidate{era, now, 0};
  ++candidate_->responses;
  if (is_later_era) {
    if (candidate_->responses > 1) return StoreHistory::kConfirmed;
    return is_first ? StoreHistory::kQueryAgain : StoreHistory::kUnconfirmed;
  }
  const bool is_confirmed =
      candidate_->responses >= kEarlierHistoryResponses &&
      now - candidate_->stated_first >= kEarlierHistoryTime;
  return is_confirmed ? StoreHistory::kConfirmed : StoreHistory::kUnconfirmed;
}

bool MayFollowPeerIntoEra(std::uint64_t stated, std::uint64_t known,
                          bool is_up_to_date) {
  if (known == 0 || EraOf(stated) <= EraOf(known)) return true;
  return is_up_to_date && EraOf(stated) == EraOf(known) + 1;
}

}  // namespace heatherlatch
