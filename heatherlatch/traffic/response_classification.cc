#include "heatherlatch/traffic/response_classification.h"

#include "heatherlatch/traffic/http_status.h"

namespace heatherlatch {
namespace {

// The statuses that promise the caller that its request did not run, and never
// will.
bool PromisesNotRun(unsigned status) {
  return status == kRequestTimeout || status == kMisdirectedRequest ||
         status == kTooManyRequests || status == kServiceUnavailable;
}

}  // namespace

ResponseProof ClassifyResponse(unsigned status,
                               const wire::ServerResponseFields& fields,
                               const std::string& request_id) {
  if (fields.request_id != request_id) return NotTrusted{"other-request"};
  if (!IsFinalStatus(status)) return NotTrusted{"undefined-status"};
  if (fields.not_run) {
    if (status < kBadRequest) return NotTrusted{"contradictory-refusal"};
    return NotExecuted{};
  }
  if (PromisesNotRun(status)) return RefusedWithoutProof{};
  if (status >= 500) return FailedByServer{};
  if (!fields.is_signed) return NotTrusted{"unsigned"};
  return Answered{};
}

bool IsStatementOf(const BackendServerName& server, unsigned status,
                   const wire::ServerResponseFields& fields,
                   const std::string& request_id) {
  if (fields.request_id != request_id || !IsFinalStatus(status)) return false;
  // A misdirected request was received by another server.
  return fields.server == server ||
         (fields.server.empty() && status != kMisdirectedRequest);
}

}  // namespace heatherlatch
