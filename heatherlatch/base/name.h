// Names of published objects, as distinct types.
//
// A `Name<Tag>` is a string that can only be compared with, or assigned from,
// a name of the same kind, so a zone name cannot be passed where a region name
// is expected.
//
// Example:
//   ZoneName zone("semenanjung-utara-a");
//   if (server.zone == zone) Use(server);
//
// Thread safety: a value type; distinct objects are independent.
#ifndef HEATHERLATCH_BASE_NAME_H_
#define HEATHERLATCH_BASE_NAME_H_

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace heatherlatch {

template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : value_(std::move(value)) {}

  const std::string& str() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const Name& a, const Name& b) {
    return a.value_ == b.value_;
  }
  friend bool operator!=(const Name& a, const Name& b) { return !(a == b); }
  friend bool operator<(const Name& a, const Name& b) {
    return a.value_ < b.value_;
  }
  friend std::ostream& operator<<(std::ostream& out, const Name& name) {
    return out << name.value_;
  }

 private:
  std::string value_;
};

using RegionName = Name<struct RegionTag>;
using ZoneName = Name<struct ZoneTag>;
using ServiceName = Name<struct ServiceTag>;
using RouteName = Name<struct RouteTag>;
using OrganisationName = Name<struct OrganisationTag>;
using BackendServerName = Name<struct BackendServerTag>;
using HostName = Name<struct HostTag>;

}  // namespace heatherlatch

template <typename Tag>
struct std::hash<heatherlatch::Name<Tag>> {
  std::size_t operator()(const heatherlatch::Name<Tag>& name) const {
    return std::hash<std::string>()(name.str());
  }
};

#endif  // HEATHERLATCH_BASE_NAME_H_
