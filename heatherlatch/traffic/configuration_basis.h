// What a host knew about its configuration when it refused a request because of
// it, as fields of a log line.
//
// Thread safety: value type.
#ifndef HEATHERLATCH_TRAFFIC_CONFIGURATION_BASIS_H_
#define HEATHERLATCH_TRAFFIC_CONFIGURATION_BASIS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "heatherlatch/base/time.h"
#include "heatherlatch/routing/route_table.h"
#include "heatherlatch/routing/table_confirmation.h"
#include "heatherlatch/traffic/decision_log.h"

namespace heatherlatch {

// The most bytes of an authority or a target that are logged.
inline constexpr std::size_t kMaxLoggedNameBytes = 200;

class ConfigurationBasis {
 public:
  // @param authority  the Host field of the request
  // @param target     the request target
  // @param table      the route table held; null: none
  ConfigurationBasis(std::string_view authority, std::string_view target,
                     const RouteTable* table,
                     const TableConfirmation& confirmation, TimePoint now);

  // The fields, valid as long as this object. The texts are shortened to
  // `kMaxLoggedNameBytes`; bytes other than printable ASCII are logged as "?".
  DecisionLog::Value authority() const { return authority_; }
  DecisionLog::Value target() const { return target_; }
  // @return the version of the route table; 0: none
  DecisionLog::Value version() const { return version_; }
  // @return the store's revision of the newest table received; 0: none
  DecisionLog::Value table_revision() const { return table_revision_; }
  // @return the store's revision up to which all items are known; 0: none
  DecisionLog::Value known_revision() const { return known_revision_; }
  // @return the time since the store confirmed the table, in milliseconds;
  //     left out if it has not since the start or the last suspension
  DecisionLog::Value age_ms() const;
  // @return "store" or the peer's endpoint; left out as `age_ms`
  DecisionLog::Value source() const;
  // @return hosts between this one and the store; left out as `age_ms`
  DecisionLog::Value hops() const;

 private:
  std::string authority_;
  std::string target_;
  double version_;
  double table_revision_;
  double known_revision_;
  std::optional<Duration> age_;
  std::string source_;
  double hops_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_CONFIGURATION_BASIS_H_
