// Requests to other hosts over HTTP.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_TRAFFIC_PEER_REQUESTS_H_
#define HEATHERLATCH_TRAFFIC_PEER_REQUESTS_H_

#include <string>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/result.h"
#include "heatherlatch/relay/peer_messages.h"
#include "heatherlatch/traffic/client_connection.h"

namespace heatherlatch {

// @return the complete HTTP request that carries a query to another host
std::string BuildPeerRequest(const Endpoint& peer, const FeedRequest& query);

// @return the answer of the other host; PeerMessageError if the call failed,
//     the status is not 200 or the body cannot be decoded
Result<FeedResponse> ReadPeerResponse(const CallResult& result);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_PEER_REQUESTS_H_
