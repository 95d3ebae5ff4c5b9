#include "heatherlatch/objects/internal/labels.h"

#include "heatherlatch/yaml/mapping_reader.h"

namespace heatherlatch::internal {

std::string LabelOf(const Region& region) {
  return ObjectLabel("region", region.name.str());
}
std::string LabelOf(const AvailabilityZone& zone) {
  return ObjectLabel("zone", zone.name.str());
}
std::string LabelOf(const Service& service) {
  return ObjectLabel("service", service.name.str());
}
std::string LabelOf(const BackendServer& server) {
  return ObjectLabel("server", server.name.str());
}
std::string LabelOf(const Route& route) {
  return ObjectLabel("route", route.name.str());
}
std::string LabelOf(const Organisation& organisation) {
  return ObjectLabel("organisation", organisation.name.str());
}

std::string JoinTexts(const std::vector<std::string>& texts) {
  std::string joined;
  for (const std::string& text : texts) {
    if (!joined.empty()) joined += ", ";
    joined += text;
  }
  return joined;
}

}  // namespace heatherlatch::internal
