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

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_HTTP_STATUS_H_
