// Finds the log lines of one request in the logs of several hosts, and states
// why the request ended as it did.
//
// Example:
//   std::vector<LogLine> lines = ReadLines(text, "host-1.log");
//   std::cout << ToString(Explain("9c41d07be2a35f68", lines));
//
// Thread safety: value types and pure functions.
#ifndef PROGRAMS_EXPLAIN_EXPLANATION_H_
#define PROGRAMS_EXPLAIN_EXPLANATION_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace heatherlatch {

// One line of the log of a host.
struct LogLine {
  std::string source;      // The host or the log file of the line.
  std::int64_t at_ms = 0;  // Time of the line in milliseconds.
  nlohmann::json fields;   // The JSON object of the line.
};

struct Explanation {
  std::vector<LogLine> lines;  // The lines of the request, ordered by time.
  // Lines on the same hosts around the time of the request, ordered by time:
  // process starts, crash suspects, and changes of its servers, the
  // configuration, the zones and the connection to the store.
  std::vector<LogLine> context;
  std::string cause;  // Why the request ended as it did, in one sentence.
};

// Reads a log. The last word before the first brace of a line replaces `source`
// for that line. Lines without a JSON object that has a number `at_ms` are
// skipped.
// @param text    the content of the log
// @param source  the source of the lines that do not name one
std::vector<LogLine> ReadLines(const std::string& text,
                               const std::string& source);

// @param request  the id of the request
// @param lines    the lines of all logs, in any order
// @return the explanation; without lines if no line has the id
Explanation Explain(const std::string& request,
                    const std::vector<LogLine>& lines);

// @return the lines of the request, its context and the cause, as text
std::string ToString(const Explanation& explanation);

}  // namespace heatherlatch

#endif  // PROGRAMS_EXPLAIN_EXPLANATION_H_
