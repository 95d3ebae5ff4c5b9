#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <regex>
#include <sstream>
#include <thread>

#include "heatherlatch/telemetry/event_log.h"
#include "heatherlatch/telemetry/internal/event_line.h"
#include "heatherlatch/telemetry/internal/line_limiter.h"

namespace heatherlatch {
namespace {

using internal::LineLimiter;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::vector<std::string> LinesOfFile(const std::string& path) {
  std::ifstream file(path);
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) lines.push_back(line);
  return lines;
}

// A log file that is removed at the end of the test.
class TemporaryFile {
 public:
  TemporaryFile() {
    char name[] = "telemetry_test_XXXXXX";
    const int file = mkstemp(name);
    REQUIRE(file >= 0);
    close(file);
    path_ = name;
  }
  ~TemporaryFile() { std::remove(path_.c_str()); }

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

TEST_CASE("the line limiter counts the lines that it drops") {
  LineLimiter limiter(2);
  CHECK(limiter.TryAcquire(kStart));
  CHECK(limiter.TryAcquire(kStart + milliseconds(500)));
  CHECK_FALSE(limiter.HasRoom(kStart + milliseconds(600)));
  CHECK_FALSE(limiter.TryAcquire(kStart + milliseconds(999)));
  CHECK(limiter.TakeDropped(kStart + seconds(1)) == 2);
  CHECK(limiter.HasRoom(kStart + seconds(1)));
  CHECK(limiter.TryAcquire(kStart + seconds(1)));
  CHECK(limiter.TakeDropped(kStart + seconds(1)) == 0);
}

TEST_CASE("the line limiter reports dropped lines at most once a second") {
  LineLimiter limiter(0);
  CHECK_FALSE(limiter.TryAcquire(kStart));
  CHECK(limiter.TakeDropped(kStart) == 1);
  CHECK_FALSE(limiter.TryAcquire(kStart + milliseconds(10)));
  CHECK(limiter.TakeDropped(kStart + milliseconds(10)) == 0);
  CHECK(limiter.TakeDropped(kStart + seconds(1)) == 1);
}

TEST_CASE(
    "the line limiter keeps each second to the limit and counts every line as "
    "written or dropped") {
  rc::prop("lines at any times", [] {
    const int limit = *rc::gen::inRange(0, 5);
    LineLimiter limiter(limit);
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 700));
    std::map<std::int64_t, int> per_second;
    std::uint64_t written = 0;
    std::uint64_t dropped = 0;
    TimePoint now = kStart;
    for (const int step : steps) {
      now += milliseconds(step);
      dropped += limiter.TakeDropped(now);
      if (!limiter.TryAcquire(now)) continue;
      ++written;
      ++per_second[std::chrono::duration_cast<seconds>(now - kStart).count()];
    }
    dropped += limiter.TakeAllDropped();
    RC_ASSERT(written + dropped == steps.size());
    for (const auto& [second, lines] : per_second) RC_ASSERT(lines <= limit);
  });
}

TEST_CASE("a line has time, level, number, name and escaped fields") {
  const WallTime time{milliseconds(1796378400123)};
  CHECK(internal::FormatEventLine(GetEventInfo(EventId::kPlaced),
                                  {{"request", "r-1"}, {"server", "tally-2"}},
                                  time) ==
        "2026-12-04T10:00:00.123Z INFO  HL2001 placed request=r-1 "
        "server=tally-2");
  CHECK(internal::FormatEventLine(GetEventInfo(EventId::kPlacementRefused),
                                  {{"path", "/a\nHL2001 \"x\" \\"}, {"id", ""}},
                                  time) ==
        "2026-12-04T10:00:00.123Z WARN  HL2002 placement-refused "
        "path=\"/a\\x0aHL2001 \\\"x\\\" \\\\\" id=\"\"");
}

TEST_CASE("several logs in one process write to separate files") {
  const TemporaryFile first_file;
  const TemporaryFile second_file;
  {
    EventLog first({first_file.path(), EventLevel::kInfo, 200});
    EventLog second({second_file.path(), EventLevel::kWarning, 200});
    first.Write(EventId::kPlaced, {{"percent", "%msg %user"}});
    second.Write(EventId::kPlaced, {});
    second.Write(EventId::kPeerDown, {{"peer", "entry-2"}});
    CHECK_FALSE(second.ShouldWrite(EventId::kPlaced));
    CHECK(second.ShouldWrite(EventId::kPeerDown));
  }
  const auto first_lines = LinesOfFile(first_file.path());
  REQUIRE(first_lines.size() == 1);
  CHECK(first_lines[0].find("HL2001 placed percent=\"%msg %user\"") !=
        std::string::npos);
  const auto second_lines = LinesOfFile(second_file.path());
  REQUIRE(second_lines.size() == 1);
  CHECK(second_lines[0].find("HL4002 peer-down peer=entry-2") !=
        std::string::npos);
}

TEST_CASE("refusals are never dropped and dropped routine lines are counted") {
  constexpr int kThreads = 4;
  constexpr int kEvents = 500;
  const TemporaryFile file;
  {
    EventLog log({file.path(), EventLevel::kInfo, 0});
    std::vector<std::thread> threads;
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&log] {
        for (int event = 0; event < kEvents; ++event) {
          log.Write(EventId::kPlaced, {});
          log.Write(EventId::kPlacementRefused, {});
        }
      });
    }
    for (std::thread& thread : threads) thread.join();
  }
  int refusals = 0;
  int dropped = 0;
  const std::regex dropped_pattern(".* HL1006 lines-left-out lines=(\\d+)");
  for (const std::string& line : LinesOfFile(file.path())) {
    std::smatch match;
    if (line.find("HL2002") != std::string::npos) ++refusals;
    if (std::regex_match(line, match, dropped_pattern)) {
      dropped += std::stoi(match[1]);
    }
  }
  CHECK(refusals == kThreads * kEvents);
  CHECK(dropped == kThreads * kEvents);
}

TEST_CASE("lines go to standard error if the log file cannot be opened") {
  EventLog log({"/dev/null/no-such-folder/log", EventLevel::kError, 200});
  log.Write(EventId::kListenFailed, {{"endpoint", "127.0.0.1:1"}});
}

TEST_CASE("no event of level warning or error is routine") {
  for (const EventInfo& info : EventCatalogue()) {
    INFO(info.name);
    CHECK_FALSE((info.routine && info.level >= EventLevel::kWarning));
    CHECK(&GetEventInfo(info.id) == &info);
  }
}

std::string LevelName(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return "debug";
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarning:
      return "warning";
    case EventLevel::kError:
      return "error";
  }
  return "";
}

std::vector<std::string> RowsOf(const std::string& page,
                                const std::string& start) {
  std::vector<std::string> rows;
  for (std::string& line :
       LinesOfFile(std::string(HEATHERLATCH_DOCS) + "/" + page)) {
    if (line.compare(0, start.size(), start) == 0) rows.push_back(line);
  }
  return rows;
}

TEST_CASE("docs/EVENTS.md lists exactly the events of the catalogue") {
  std::vector<std::string> rows;
  for (const EventInfo& info : EventCatalogue()) {
    std::ostringstream row;
    row << "| HL" << static_cast<int>(info.id) << " | `" << info.name << "` | "
        << LevelName(info.level) << " | " << (info.routine ? "yes" : "no")
        << " | " << info.meaning << " | " << info.remedy << " |";
    rows.push_back(row.str());
  }
  CHECK(RowsOf("EVENTS.md", "| HL") == rows);
}

}  // namespace
}  // namespace heatherlatch
