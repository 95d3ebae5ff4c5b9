#include "heatherlatch/traffic/peer_requests.h"

#include <variant>

#include "heatherlatch/traffic/http_status.h"

namespace heatherlatch {
namespace {

constexpr char kFeedPath[] = "/published";

struct PeerResponseReader {
  Result<FeedResponse> operator()(const NotSent& call) const {
    return Fail(PeerMessageError{call.problem});
  }
  Result<FeedResponse> operator()(const NoResponse& call) const {
    return Fail(PeerMessageError{call.problem});
  }
  Result<FeedResponse> operator()(const ServerResponse& response) const {
    const unsigned status = response.message.result_int();
    if (status != kOk) {
      return Fail(PeerMessageError{"status " + std::to_string(status)});
    }
    return DecodeFeedResponse(response.message.body());
  }
};

}  // namespace

std::string BuildPeerRequest(const Endpoint& peer, const FeedRequest& query) {
  const std::string body = Encode(query);
  return std::string("POST ") + kFeedPath +
         " HTTP/1.1\r\nHost: " + ToString(peer) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

Result<FeedResponse> ReadPeerResponse(const CallResult& result) {
  return std::visit(PeerResponseReader{}, result);
}

}  // namespace heatherlatch
