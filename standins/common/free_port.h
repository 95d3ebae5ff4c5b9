// Finds ports for stand-ins that run inside a test.
#ifndef STANDINS_COMMON_FREE_PORT_H_
#define STANDINS_COMMON_FREE_PORT_H_

#include "heatherlatch/base/endpoint.h"

namespace heatherlatch::standins {

// @return an endpoint on loopback that was free when checked. Another process
//     may bind it first, so retry with a new one if listening fails
Endpoint FreeEndpoint();

}  // namespace heatherlatch::standins

#endif  // STANDINS_COMMON_FREE_PORT_H_
