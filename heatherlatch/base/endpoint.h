// An IP address and port, and its text form "127.0.0.1:8080".
//
// Thread safety: a value type.
#ifndef HEATHERLATCH_BASE_ENDPOINT_H_
#define HEATHERLATCH_BASE_ENDPOINT_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

#include "heatherlatch/base/result.h"

namespace heatherlatch {

// Why a text cannot be parsed as an endpoint.
enum class EndpointProblem {
  kNoPort,
  kPortOutOfRange,
  kAddressNotNumeric,
};

struct EndpointError {
  std::string text;  // The rejected text.
  EndpointProblem problem;
};

struct Endpoint {
  std::string address;  // Numeric IPv4 or IPv6 address, without brackets.
  std::uint16_t port = 0;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.address == b.address && a.port == b.port;
  }
  friend bool operator!=(const Endpoint& a, const Endpoint& b) {
    return !(a == b);
  }
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return a.address != b.address ? a.address < b.address : a.port < b.port;
  }
};

// Parses "ADDRESS:PORT" or "[IPV6]:PORT".
// @param text  the text form
// @return the endpoint, or EndpointError
Result<Endpoint> ParseEndpoint(std::string_view text);

// @return "ADDRESS:PORT", with brackets around an IPv6 address
std::string ToString(const Endpoint& endpoint);

// @return one sentence that quotes the rejected text and states the problem
std::string ToString(const EndpointError& error);

std::ostream& operator<<(std::ostream& out, const Endpoint& endpoint);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_BASE_ENDPOINT_H_
