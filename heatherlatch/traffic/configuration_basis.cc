#include "heatherlatch/traffic/configuration_basis.h"

#include <algorithm>

#include "heatherlatch/relay/store_revision.h"

namespace heatherlatch {
namespace {

bool IsPrintable(char c) { return c >= ' ' && c <= '~'; }

std::string ForLog(std::string_view text) {
  std::string logged(text.substr(0, kMaxLoggedNameBytes));
  std::replace_if(
      logged.begin(), logged.end(), [](char c) { return !IsPrintable(c); },
      '?');
  return logged;
}

}  // namespace

ConfigurationBasis::ConfigurationBasis(std::string_view authority,
                                       std::string_view target,
                                       const RouteTable* table,
                                       const TableConfirmation& confirmation,
                                       TimePoint now)
    : authority_(ForLog(authority)),
      target_(ForLog(target)),
      version_(table == nullptr ? 0 : static_cast<double>(table->version)),
      table_revision_(
          static_cast<double>(RevisionInEra(confirmation.table_revision))),
      known_revision_(
          static_cast<double>(RevisionInEra(confirmation.known_revision))),
      source_(ToString(confirmation.origin.source)),
      hops_(confirmation.origin.hops) {
  if (confirmation.confirmed_at) age_ = now - *confirmation.confirmed_at;
}

DecisionLog::Value ConfigurationBasis::age_ms() const {
  if (!age_) return std::monostate();
  return ToMilliseconds(*age_);
}

DecisionLog::Value ConfigurationBasis::source() const {
  if (!age_) return std::monostate();
  return source_;
}

DecisionLog::Value ConfigurationBasis::hops() const {
  if (!age_) return std::monostate();
  return hops_;
}

}  // namespace heatherlatch
