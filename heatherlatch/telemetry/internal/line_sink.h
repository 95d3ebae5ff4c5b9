// Writes complete lines to a file or to standard error, through Easylogging++.
//
// Easylogging++ keeps its loggers in one registry for the process. Each sink
// registers a logger under a unique id and removes it on destruction.
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
  // Writes to standard error if the file cannot be opened.
  // @param path  the file to append to; empty for standard error
  explicit LineSink(const std::string& path);
  ~LineSink();
  LineSink(const LineSink&) = delete;
  LineSink& operator=(const LineSink&) = delete;

  // @return whether lines go to the file given to the constructor
  bool file_opened() const { return file_opened_; }

  // Writes a line and flushes it.
  void Write(const std::string& line);

 private:
  // Registers a logger for the path and makes it the logger of this sink.
  void Configure(const std::string& path);

  std::string id_;
  el::Logger* logger_;
  bool file_opened_ = false;
};

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_TELEMETRY_INTERNAL_LINE_SINK_H_
