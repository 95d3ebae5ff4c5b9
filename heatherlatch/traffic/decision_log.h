// Writes structured log lines, one JSON object per line, for each decision that
// affects a request or changes the state of the host.
//
// Lines are buffered and written without blocking, so that a log reader that
// stops reading does not delay requests. Lines are dropped while the buffer is
// full; their number is logged as soon as there is room.
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
  // A field that holds std::monostate is left out of its line.
  using Value = std::variant<std::string_view, double, std::monostate>;
  using Field = std::pair<std::string_view, Value>;

  // @param descriptor          the file descriptor to write to; it is set to
  //                            non-blocking
  // @param max_buffered_bytes  size of the buffer above which lines are dropped
  DecisionLog(int descriptor, std::size_t max_buffered_bytes);

  void Write(std::string_view event, std::initializer_list<Field> fields);

  // Writes as much of the buffer as the descriptor accepts without blocking.
  void Flush();

  // @return the lines dropped since the start
  std::uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  void ReportDroppedLines();

  int descriptor_;
  std::size_t max_buffered_bytes_;
  std::string buffer_;
  std::uint64_t unreported_drops_ = 0;  // Dropped since the last report.
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_DECISION_LOG_H_
