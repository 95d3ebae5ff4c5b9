#include "heatherlatch/telemetry/event_log.h"

#include <cstdint>

#include "heatherlatch/base/time.h"
#include "heatherlatch/telemetry/internal/event_line.h"
#include "heatherlatch/telemetry/internal/line_limiter.h"
#include "heatherlatch/telemetry/internal/line_sink.h"

namespace heatherlatch {

class EventLog::Impl {
 public:
  explicit Impl(const EventLogOptions& options)
      : level_(options.level),
        limiter_(options.routine_lines_per_second),
        sink_(options.path) {
    if (options.path.empty() || sink_.file_opened()) return;
    WriteLine(GetEventInfo(EventId::kLogFileNotOpened),
              {{"path", options.path}});
  }

  ~Impl() { ReportDropped(limiter_.TakeAllDropped()); }

  void Write(EventId id, const std::vector<EventField>& fields) {
    const EventInfo& info = GetEventInfo(id);
    if (info.level < level_) return;
    const TimePoint now = SteadyClock::now();
    if (info.routine && !limiter_.TryAcquire(now)) return;
    ReportDropped(limiter_.TakeDropped(now));
    WriteLine(info, fields);
  }

  bool ShouldWrite(EventId id) {
    const EventInfo& info = GetEventInfo(id);
    if (info.level < level_) return false;
    return !info.routine || limiter_.HasRoom(SteadyClock::now());
  }

 private:
  void ReportDropped(std::uint64_t lines) {
    if (lines == 0) return;
    WriteLine(GetEventInfo(EventId::kLinesLeftOut),
              {{"lines", std::to_string(lines)}});
  }

  void WriteLine(const EventInfo& info, const std::vector<EventField>& fields) {
    sink_.Write(internal::FormatEventLine(info, fields,
                                          std::chrono::system_clock::now()));
  }

  const EventLevel level_;
  internal::LineLimiter limiter_;
  internal::LineSink sink_;
};

EventLog::EventLog(EventLogOptions options)
    : impl_(std::make_unique<Impl>(options)) {}

EventLog::~EventLog() = default;

void EventLog::Write(EventId id, const std::vector<EventField>& fields) {
  impl_->Write(id, fields);
}

bool EventLog::ShouldWrite(EventId id) const { return impl_->ShouldWrite(id); }

}  // namespace heatherlatch
