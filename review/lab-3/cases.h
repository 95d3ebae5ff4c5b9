// The cases of this review that are scripts. Each returns an `ExitCode`.
#ifndef REVIEW_LAB_3_CASES_H_
#define REVIEW_LAB_3_CASES_H_

#include <string>

namespace heatherlatch::review {

// Hosts freeze in turn and wake again, under load on a route that was added.
// @param folder  of the case; the record is written there
int RunFrozenHost(const std::string& folder);

// Servers read the rest of a long body late while a host stops.
int RunUnreadUpload(const std::string& folder);

}  // namespace heatherlatch::review

#endif  // REVIEW_LAB_3_CASES_H_
