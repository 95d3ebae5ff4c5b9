#include "heatherlatch/traffic/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>

namespace heatherlatch {
namespace {

// The buffer is written once it holds this much, or when the log is flushed.
constexpr std::size_t kFlushThresholdBytes = 16 * 1024;

void AppendText(std::string_view text, std::string* out) {
  *out += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      *out += '\\';
      *out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char escaped[8];
      std::snprintf(escaped, sizeof(escaped), "\\u%04x", c);
      *out += escaped;
    } else {
      *out += c;
    }
  }
  *out += '"';
}

void AppendNumber(double number, std::string* out) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.10g", number);
  *out += text;
}

void AppendLine(std::string_view event,
                std::initializer_list<DecisionLog::Field> fields,
                std::string* out) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  *out += "{\"at_ms\":" + std::to_string(now.count()) + ",\"event\":";
  AppendText(event, out);
  for (const auto& [name, value] : fields) {
    if (std::holds_alternative<std::monostate>(value)) continue;
    *out += ',';
    AppendText(name, out);
    *out += ':';
    if (const auto* text = std::get_if<std::string_view>(&value)) {
      AppendText(*text, out);
    } else {
      AppendNumber(std::get<double>(value), out);
    }
  }
  *out += "}\n";
}

}  // namespace

DecisionLog::DecisionLog(int descriptor, std::size_t max_buffered_bytes)
    : descriptor_(descriptor), max_buffered_bytes_(max_buffered_bytes) {
  const int flags = ::fcntl(descriptor, F_GETFL, 0);
  // If the flag cannot be set, writes may block.
  if (flags >= 0) ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void DecisionLog::Write(std::string_view event,
                        std::initializer_list<Field> fields) {
  if (buffer_.size() >= max_buffered_bytes_) {
    Flush();
    if (buffer_.size() >= max_buffered_bytes_) {
      ++unreported_drops_;
      ++dropped_lines_;
      return;
    }
  }
  ReportDroppedLines();
  AppendLine(event, fields, &buffer_);
  if (buffer_.size() >= kFlushThresholdBytes) Flush();
}

void DecisionLog::ReportDroppedLines() {
  if (unreported_drops_ == 0) return;
  const double count = static_cast<double>(unreported_drops_);
  unreported_drops_ = 0;
  AppendLine("lines-left-out", {{"count", count}}, &buffer_);
}

void DecisionLog::Flush() {
  while (!buffer_.empty()) {
    const ssize_t written =
        ::write(descriptor_, buffer_.data(), buffer_.size());
    if (written <= 0) return;
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace heatherlatch
