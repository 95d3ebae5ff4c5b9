#include "heatherlatch/fleet/server_directory.h"

#include <algorithm>
#include <iterator>

namespace heatherlatch {

void ServerDirectory::Put(const ServerRecord& record, TimePoint now) {
  ServerEntry& entry = entries_[record.name];
  entry.record = record;
  entry.cold_until = now + record.cold_remaining;
  entry.expires_at.reset();
  entry.usable_from = TimePoint::min();
  entry.is_leaving = leaving_.count({record.name, record.started_at_ms}) > 0;
}

void ServerDirectory::PutFromCopy(const ServerRecord& record, TimePoint now,
                                  TimePoint left_until) {
  // A copy has no revision of a server beyond that of a later state.
  const auto is_written_since = [&record](std::uint64_t revision) {
    return record.store_revision > revision;
  };
  const auto known = entries_.find(record.name);
  const bool was_leaving =
      known != entries_.end() &&
      (known->second.record.draining || known->second.expires_at ||
       now < known->second.usable_from);
  const bool is_older_than_known =
      was_leaving && !is_written_since(known->second.record.store_revision);
  const auto left = left_.find(record.name);
  const bool is_older_than_removal =
      left != left_.end() && !is_written_since(left->second.store_revision);
  Put(record, now);
  if (is_older_than_known || is_older_than_removal) {
    entries_[record.name].usable_from = left_until;
  }
}

void ServerDirectory::Remove(const BackendServerName& name,
                             std::uint64_t store_revision, TimePoint now) {
  if (entries_.erase(name) > 0) left_[name] = {store_revision, now};
}

void ServerDirectory::MarkMissing(const BackendServerName& name,
                                  std::uint64_t store_revision,
                                  TimePoint until) {
  const auto found = entries_.find(name);
  if (found == entries_.end() || found->second.expires_at) return;
  found->second.record.store_revision = store_revision;
  found->second.expires_at = until;
}

bool ServerDirectory::MarkLeaving(const BackendServerName& name,
                                  std::uint64_t started_at_ms, TimePoint now) {
  const ServerStart start{name, started_at_ms};
  const bool is_listed = FindStart(start) != nullptr;
  const bool is_news =
      leaving_.emplace(start, is_listed ? std::nullopt : std::optional(now))
          .second;
  if (is_listed) entries_[name].is_leaving = true;
  return is_news;
}

void ServerDirectory::ForgetLeaving() {
  leaving_.clear();
  for (auto& [name, entry] : entries_) entry.is_leaving = false;
}

const ServerEntry* ServerDirectory::FindStart(const ServerStart& start) const {
  const auto found = entries_.find(start.first);
  if (found == entries_.end() ||
      found->second.record.started_at_ms != start.second) {
    return nullptr;
  }
  return &found->second;
}

void ServerDirectory::Expire(TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const std::optional<TimePoint>& until = it->second.expires_at;
    if (!until || now < *until) {
      ++it;
      continue;
    }
    left_[it->first] = {it->second.record.store_revision, now};
    it = entries_.erase(it);
  }
  for (auto it = left_.begin(); it != left_.end();) {
    it = now - it->second.removed_at >= kLeftServerRetention ? left_.erase(it)
                                                             : std::next(it);
  }
  for (auto it = leaving_.begin(); it != leaving_.end();) {
    std::optional<TimePoint>& unlisted_since = it->second;
    if (FindStart(it->first) != nullptr) {
      unlisted_since.reset();
    } else if (!unlisted_since) {
      unlisted_since = now;
    }
    it = unlisted_since && now - *unlisted_since >= kLeftServerRetention
             ? leaving_.erase(it)
             : std::next(it);
  }
}

void ServerDirectory::SetZoneInService(const ZoneName& zone, bool in_service) {
  if (in_service) {
    zones_out_of_service_.erase(zone);
  } else {
    zones_out_of_service_.insert(zone);
  }
}

std::vector<const ServerEntry*> ServerDirectory::Usable(
    const ServiceName& service, TimePoint now) const {
  std::vector<const ServerEntry*> usable;
  for (const auto& [name, entry] : entries_) {
    if (entry.record.service == service && IsUsable(entry, now)) {
      usable.push_back(&entry);
    }
  }
  return usable;
}

const ServerEntry* ServerDirectory::FindUsable(const BackendServerName& name,
                                               TimePoint now) const {
  const auto found = entries_.find(name);
  if (found == entries_.end() || !IsUsable(found->second, now)) return nullptr;
  return &found->second;
}

bool ServerDirectory::LeavesOutLeaving(const ServiceName& service,
                                       TimePoint now) const {
  return std::any_of(leaving_.begin(), leaving_.end(), [&](const auto& known) {
    const ServerEntry* entry = FindStart(known.first);
    return entry != nullptr && entry->record.service == service &&
           IsInService(*entry, now);
  });
}

bool ServerDirectory::IsUsable(const ServerEntry& entry, TimePoint now) const {
  return !entry.is_leaving && IsInService(entry, now);
}

bool ServerDirectory::IsInService(const ServerEntry& entry,
                                  TimePoint now) const {
  return !entry.record.draining && now >= entry.usable_from &&
         zones_out_of_service_.count(entry.record.zone) == 0 &&
         (!entry.expires_at || now < *entry.expires_at);
}

}  // namespace heatherlatch
