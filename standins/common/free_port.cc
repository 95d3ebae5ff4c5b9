#include "standins/common/free_port.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace heatherlatch::standins {

Endpoint FreeEndpoint() {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  Endpoint endpoint{"127.0.0.1", 0};
  if (bind(descriptor, generic, size) == 0 &&
      getsockname(descriptor, generic, &size) == 0) {
    endpoint.port = ntohs(address.sin_port);
  }
  close(descriptor);
  return endpoint;
}

}  // namespace heatherlatch::standins
