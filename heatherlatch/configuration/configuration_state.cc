#include "heatherlatch/configuration/configuration_state.h"

#include <algorithm>
#include <utility>

namespace heatherlatch {
namespace {

constexpr std::size_t kMaxRejectedRevisions = 64;

}  // namespace

ConfigurationState::ConfigurationState(ConfigurationOptions options,
                                       Checker checker, TimePoint started)
    : options_(options), checker_(std::move(checker)), started_(started) {}

OfferResult ConfigurationState::Offer(const ConfigurationDocument& document,
                                      TimePoint /*now*/) {
  const Revision in_force = InForce();
  if (document.revision < in_force || document.revision == 0) {
    return Ignored{in_force};
  }
  if (document.revision == in_force) return AlreadyInForce{};
  if (rejected_.count(document.revision) > 0) return Ignored{in_force};
  auto checked = checker_(document);
  if (auto* rejected = std::get_if<Rejected>(&checked)) {
    RecordRejected(document.revision);
    rejected->revision = document.revision;
    return std::move(*rejected);
  }
  current_ = std::get<std::shared_ptr<const ObjectSet>>(std::move(checked));
  document_ = document;
  rejected_.erase(rejected_.begin(), rejected_.upper_bound(document.revision));
  return Accepted{document.revision};
}

bool ConfigurationState::OnPeerRevision(const HostIncarnation& peer,
                                        Revision revision) {
  const auto found = peer_revisions_.find(peer);
  if (found != peer_revisions_.end()) found->second = revision;
  highest_reported_ = std::max(highest_reported_, revision);
  return revision > InForce() && rejected_.count(revision) == 0;
}

void ConfigurationState::OnPeerLink(const HostIncarnation& peer, bool up) {
  if (up) {
    peer_revisions_.emplace(peer, 0);
  } else {
    peer_revisions_.erase(peer);
  }
}

bool ConfigurationState::MayServe(TimePoint now) {
  if (may_serve_) return true;
  const bool waited = now - started_ >= options_.peer_report_wait;
  may_serve_ = current_ != nullptr && waited && InForce() >= highest_reported_;
  return may_serve_;
}

std::shared_ptr<const ObjectSet> ConfigurationState::Current() const {
  return current_;
}

const ConfigurationDocument& ConfigurationState::Document() const {
  return document_;
}

Revision ConfigurationState::InForce() const { return document_.revision; }

void ConfigurationState::RecordRejected(Revision revision) {
  rejected_.insert(revision);
  if (rejected_.size() > kMaxRejectedRevisions) {
    rejected_.erase(rejected_.begin());
  }
}

}  // namespace heatherlatch
