// Finds ports for stand-ins that run inside a test.
#ifndef STANDINS_COMMON_FREE_PORT_H_
#define STANDINS_COMMON_FREE_PORT_H_

#include "heatherlatch/base/endpoint.h"

namespace heatherlatch::standins {

// @return an endpoint on loopback that nothing listened on a moment ago;
//     another process may take it, so a caller tries again where it fails
Endpoint FreeEndpoint();

}  // namespace heatherlatch::standins

#endif  // STANDINS_COMMON_FREE_PORT_H_
