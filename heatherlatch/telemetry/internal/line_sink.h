// Writes whole lines to a file or to standard error, by Easylogging++.
//
// Easylogging++ keeps its loggers in one table for the whole process; each sink
// registers a logger under a name of its own.
//
// Thread safety: every method may be called from any thread.
#ifndef HEATHERLATCH_TELEMETRY_INTERNAL_LINE_SINK_H_
#define HEATHERLATCH_TELEMETRY_INTERNAL_LINE_SINK_H_

#include <string>

namespace el {
class Logger;
}  // namespace el

namespace heatherlatch::internal {

class LineSink {
 public:
  // @param path  the file to append to; empty for standard error
  explicit LineSink(const std::string& path);
  ~LineSink();
  LineSink(const LineSink&) = delete;
  LineSink& operator=(const LineSink&) = delete;

  // @return whether lines go to the file that was asked for
  bool file_opened() const { return file_opened_; }

  // Writes a line and flushes it.
  void Write(const std::string& line);

 private:
  void Configure(const std::string& path);

  std::string id_;
  el::Logger* logger_;
  bool file_opened_ = false;
};

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_TELEMETRY_INTERNAL_LINE_SINK_H_
