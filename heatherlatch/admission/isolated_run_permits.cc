#include "heatherlatch/admission/isolated_run_permits.h"

#include <iterator>

namespace heatherlatch {

bool IsolatedRunPermits::IsHeld(const Content& content, TimePoint now) {
  return content.permit &&
         now - content.permit->issued_at < kIsolatedRunPermitLifetime;
}

IsolatedRunAnswer IsolatedRunPermits::Ask(ContentDigest digest,
                                          const Endpoint& holder,
                                          TimePoint crashed_at, TimePoint now) {
  const auto known = contents_.find(digest);
  if (known == contents_.end() && contents_.size() >= kMaxIsolatedRunContents) {
    return IsolatedRunAnswer::kGranted;
  }
  Content& content = contents_[digest];
  if (content.cleared_at && crashed_at < *content.cleared_at) {
    return IsolatedRunAnswer::kCleared;
  }
  if (IsHeld(content, now) && content.permit->holder != holder) {
    return IsolatedRunAnswer::kDenied;
  }
  content.permit = Permit{holder, now};
  return IsolatedRunAnswer::kGranted;
}

void IsolatedRunPermits::End(ContentDigest digest, const Endpoint& holder,
                             IsolatedRunEnd end, TimePoint now) {
  const auto found = contents_.find(digest);
  if (found == contents_.end()) return;
  Content& content = found->second;
  if (end == IsolatedRunEnd::kCrashed) content.cleared_at.reset();
  if (!IsHeld(content, now) || content.permit->holder != holder) return;
  if (end == IsolatedRunEnd::kCleared) {
    content.cleared_at = content.permit->issued_at;
  }
  content.permit.reset();
}

void IsolatedRunPermits::RemoveExpired(Duration retention, TimePoint now) {
  for (auto it = contents_.begin(); it != contents_.end();) {
    const Content& content = it->second;
    const bool is_cleared =
        content.cleared_at && now - *content.cleared_at < retention;
    it = IsHeld(content, now) || is_cleared ? std::next(it)
                                            : contents_.erase(it);
  }
}

}  // namespace heatherlatch
