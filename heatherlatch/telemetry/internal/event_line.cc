#include "heatherlatch/telemetry/internal/event_line.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace heatherlatch::internal {
namespace {

constexpr std::size_t kTypicalLineBytes = 256;
constexpr char kHexDigits[] = "0123456789abcdef";

std::string_view PaddedLevelName(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return "DEBUG";
    case EventLevel::kInfo:
      return "INFO ";
    case EventLevel::kWarning:
      return "WARN ";
    case EventLevel::kError:
      return "ERROR";
  }
  return "ERROR";
}

void AppendTime(WallTime time, std::string* line) {
  const auto since_epoch = time.time_since_epoch();
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count();
  const std::time_t seconds = milliseconds / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[32];
  const std::size_t size =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &utc);
  line->append(text, size);
  std::snprintf(text, sizeof(text), ".%03dZ ",
                static_cast<int>(milliseconds % 1000));
  line->append(text);
}

// @return whether the character may stand in a value without quotes
bool IsUnquoted(char c) {
  return c > ' ' && c != '"' && c != '\\' && c != '=' && c != '\x7f';
}

void AppendEscaped(char c, std::string* line) {
  const auto byte = static_cast<unsigned char>(c);
  if (c == '"' || c == '\\') {
    line->push_back('\\');
    line->push_back(c);
  } else if (byte < ' ' || byte >= 0x7f) {
    line->append("\\x");
    line->push_back(kHexDigits[byte >> 4]);
    line->push_back(kHexDigits[byte & 0xf]);
  } else {
    line->push_back(c);
  }
}

void AppendValue(const std::string& value, std::string* line) {
  const bool unquoted =
      !value.empty() && std::all_of(value.begin(), value.end(), IsUnquoted);
  if (unquoted) {
    line->append(value);
    return;
  }
  line->push_back('"');
  for (const char c : value) AppendEscaped(c, line);
  line->push_back('"');
}

}  // namespace

std::string FormatEventLine(const EventInfo& info,
                            const std::vector<EventField>& fields,
                            WallTime time) {
  std::string line;
  line.reserve(kTypicalLineBytes);
  AppendTime(time, &line);
  line.append(PaddedLevelName(info.level));
  line.append(" HL");
  line.append(std::to_string(static_cast<int>(info.id)));
  line.push_back(' ');
  line.append(info.name);
  for (const EventField& field : fields) {
    line.push_back(' ');
    line.append(field.first);
    line.push_back('=');
    AppendValue(field.second, &line);
  }
  return line;
}

}  // namespace heatherlatch::internal
