// The HTTP status codes that a host distinguishes or sends itself.
#ifndef HEATHERLATCH_TRAFFIC_HTTP_STATUS_H_
#define HEATHERLATCH_TRAFFIC_HTTP_STATUS_H_

namespace heatherlatch {

enum HttpStatus : unsigned {
  kOk = 200,
  kBadRequest = 400,
  kUnauthorized = 401,
  kNotFound = 404,
  kRequestTimeout = 408,
  kPayloadTooLarge = 413,
  kMisdirectedRequest = 421,
  kTooManyRequests = 429,
  kHeaderTooLarge = 431,
  kBadGateway = 502,
  kServiceUnavailable = 503,
  kGatewayTimeout = 504,
};

// @return whether HTTP defines the status as that of a final response. A
//     response with another one is not a response to a request.
constexpr bool IsFinalStatus(unsigned status) {
  return status >= 200 && status < 600;
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_HTTP_STATUS_H_
