// Decides what a backend server's response proves about a request.
//
// Example:
//   const ResponseProof proof =
//       ClassifyResponse(status, fields, request_id);
//   if (std::holds_alternative<NotExecuted>(proof)) ... try another server ...
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_TRAFFIC_RESPONSE_CLASSIFICATION_H_
#define HEATHERLATCH_TRAFFIC_RESPONSE_CLASSIFICATION_H_

#include <string>
#include <string_view>
#include <variant>

#include "platform/server_fields.h"

namespace heatherlatch {

// The response may be relayed to the caller.
struct Answered {};
// The server failed; the request may have run. The response may be relayed.
struct FailedByServer {};
// The server stated that it did not execute the request, and never will.
struct NotExecuted {};
// The status promises that the request did not run, but the server did not
// state so: the request may have run. The response is not relayed.
struct RefusedWithoutProof {};
// The response proves nothing: the request may have run. It is not relayed.
struct NotTrusted {
  std::string_view reason;  // For the log, such as "other-request".
};
using ResponseProof = std::variant<Answered, FailedByServer, NotExecuted,
                                   RefusedWithoutProof, NotTrusted>;

// @param status      the HTTP status of the response
// @param fields      the decoded header fields of the response
// @param request_id  the ID of the request that the response is to answer
ResponseProof ClassifyResponse(unsigned status,
                               const wire::ServerResponseFields& fields,
                               const std::string& request_id);

// @param server      the server to which the request was sent
// @param status      the HTTP status of the response
// @param fields      the decoded header fields of the response
// @param request_id  the ID of the request that the response is to answer
// @return whether what the response says of its server is said of `server`:
//     not if it is the response to another request, has a status that HTTP does
//     not define, or is of another server at the address
bool IsStatementOf(const BackendServerName& server, unsigned status,
                   const wire::ServerResponseFields& fields,
                   const std::string& request_id);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_RESPONSE_CLASSIFICATION_H_
