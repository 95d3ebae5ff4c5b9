#include "standins/common/free_port.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <random>

namespace heatherlatch::standins {

namespace {

// Below the ports that the kernel gives to connections, and those that
// tests/harness/local_deployment.cc takes.
constexpr std::uint16_t kFirstPort = 10000;
constexpr std::uint16_t kLastPort = 19999;
constexpr int kMaxTries = 1000;

bool IsFree(std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_free = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                            sizeof(address)) == 0;
  close(descriptor);
  return is_free;
}

}  // namespace

Endpoint FreeEndpoint() {
  static thread_local std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> ports(kFirstPort, kLastPort);
  for (int i = 0; i < kMaxTries; ++i) {
    const auto port = static_cast<std::uint16_t>(ports(random));
    if (IsFree(port)) return {"127.0.0.1", port};
  }
  return {"127.0.0.1", 0};
}

}  // namespace heatherlatch::standins
