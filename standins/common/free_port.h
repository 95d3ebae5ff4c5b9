// Finds ports for stand-ins that run inside a test.
#ifndef STANDINS_COMMON_FREE_PORT_H_
#define STANDINS_COMMON_FREE_PORT_H_

#include "heatherlatch/base/endpoint.h"

namespace heatherlatch::standins {

// @return an endpoint on loopback that was free when checked, at a port that no
//     outgoing connection is given: a program that ends and starts again finds
//     it free. Another process may bind it first, so retry with a new one if
//     listening fails. Port 0 if none was found
Endpoint FreeEndpoint();

}  // namespace heatherlatch::standins

#endif  // STANDINS_COMMON_FREE_PORT_H_
