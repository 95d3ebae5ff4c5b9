// Waits for the signal that stops a stand-in program.
#ifndef STANDINS_COMMON_STOP_SIGNAL_H_
#define STANDINS_COMMON_STOP_SIGNAL_H_

namespace heatherlatch::standins {

// Blocks SIGINT and SIGTERM in this thread and in threads started by it later,
// and ignores SIGPIPE. Call it first in `main`.
void BlockStopSignals();

// Waits until SIGINT or SIGTERM arrives.
void WaitForStopSignal();

}  // namespace heatherlatch::standins

#endif  // STANDINS_COMMON_STOP_SIGNAL_H_
