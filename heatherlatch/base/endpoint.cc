#include "heatherlatch/base/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace heatherlatch {
namespace {

bool IsNumericAddress(const std::string& address) {
  unsigned char buffer[sizeof(in6_addr)];
  return inet_pton(AF_INET, address.c_str(), buffer) == 1 ||
         inet_pton(AF_INET6, address.c_str(), buffer) == 1;
}

std::string_view WithoutBrackets(std::string_view address) {
  if (address.size() < 2 || address.front() != '[' || address.back() != ']') {
    return address;
  }
  return address.substr(1, address.size() - 2);
}

}  // namespace

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return Fail(EndpointError{std::string(text), EndpointProblem::kNoPort});
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return Fail(
        EndpointError{std::string(text), EndpointProblem::kPortOutOfRange});
  }
  std::string address(WithoutBrackets(text.substr(0, colon)));
  if (!IsNumericAddress(address)) {
    return Fail(
        EndpointError{std::string(text), EndpointProblem::kAddressNotNumeric});
  }
  return Endpoint{std::move(address), port};
}

std::string ToString(const Endpoint& endpoint) {
  const bool is_ipv6 = endpoint.address.find(':') != std::string::npos;
  const std::string port = std::to_string(endpoint.port);
  if (is_ipv6) return "[" + endpoint.address + "]:" + port;
  return endpoint.address + ":" + port;
}

std::string ToString(const EndpointError& error) {
  const std::string subject = "endpoint \"" + error.text + "\" ";
  switch (error.problem) {
    case EndpointProblem::kNoPort:
      return subject + "has no port; write ADDRESS:PORT";
    case EndpointProblem::kPortOutOfRange:
      return subject + "has a port that is not a number from 1 to 65535";
    case EndpointProblem::kAddressNotNumeric:
      return subject + "has an address that is not an IP number";
  }
  return subject + "is not valid";
}

std::ostream& operator<<(std::ostream& out, const Endpoint& endpoint) {
  return out << ToString(endpoint);
}

}  // namespace heatherlatch
