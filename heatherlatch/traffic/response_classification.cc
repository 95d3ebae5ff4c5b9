#include "heatherlatch/traffic/response_classification.h"

namespace heatherlatch {
namespace {

bool IsSuccess(unsigned status) { return status >= 200 && status < 300; }
bool IsServerError(unsigned status) { return status >= 500; }

}  // namespace

ResponseProof ClassifyResponse(unsigned status,
                               const wire::ServerResponseFields& fields,
                               const std::string& request_id) {
  if (fields.request_id != request_id) return NotTrusted{"other-request"};
  if (IsSuccess(status) && !fields.is_signed) return NotTrusted{"unsigned"};
  if (fields.not_run) return NotExecuted{};
  if (IsServerError(status)) return FailedByServer{};
  if (!fields.is_signed) return NotTrusted{"unsigned"};
  return Answered{};
}

}  // namespace heatherlatch
