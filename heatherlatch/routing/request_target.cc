#include "heatherlatch/routing/request_target.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace heatherlatch {

std::optional<AbsoluteTarget> ParseAbsoluteTarget(std::string_view target) {
  for (const std::string_view scheme : {"http://", "https://"}) {
    if (!boost::algorithm::istarts_with(target, scheme)) continue;
    const std::string_view rest = target.substr(scheme.size());
    const std::size_t authority_end =
        std::min(rest.find_first_of("/?"), rest.size());
    AbsoluteTarget result;
    result.authority = std::string(rest.substr(0, authority_end));
    result.origin_form = std::string(rest.substr(authority_end));
    if (result.origin_form.empty() || result.origin_form[0] == '?') {
      result.origin_form.insert(0, "/");
    }
    return result;
  }
  return std::nullopt;
}

}  // namespace heatherlatch
