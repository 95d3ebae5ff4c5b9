// Structured lines on standard output: one JSON object a line, for each
// decision that touches a request or changes what the host believes.
//
// Lines wait in memory and are written without blocking. A reader that stops
// reading costs lines, not requests: above the bound a line is left out, and
// how many were left out is said as soon as there is room.
//
// Example:
//   log.Write("placed", {{"request", id}, {"server", server.str()}});
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_DECISION_LOG_H_
#define HEATHERLATCH_TRAFFIC_DECISION_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace heatherlatch {

class DecisionLog {
 public:
  using Value = std::variant<std::string_view, double>;
  using Field = std::pair<std::string_view, Value>;

  // @param descriptor     where lines go; it is set not to block
  // @param max_waiting    bytes of lines that may wait
  DecisionLog(int descriptor, std::size_t max_buffered_bytes);

  void Write(std::string_view event, std::initializer_list<Field> fields);

  // Writes what the reader takes now.
  void Flush();

  std::uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  void ReportDroppedLines();

  int descriptor_;
  std::size_t max_buffered_bytes_;
  std::string buffer_;
  std::uint64_t unreported_drops_ = 0;  // Not yet told of.
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_DECISION_LOG_H_
