#include "heatherlatch/fleet/server_directory.h"

#include <catch2/catch.hpp>

#include "heatherlatch/fleet/server_observations.h"

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{};
const BackendServerName kServer("i-1");
const ServiceName kService("tally");

ServerRecord MakeRecord() {
  ServerRecord record;
  record.name = kServer;
  record.service = kService;
  record.zone = ZoneName("zone-a");
  record.endpoint = {"10.0.0.1", 80};
  record.slots = 3;
  return record;
}

TEST_CASE("a listed server is usable until it drains or is removed") {
  ServerDirectory directory;
  directory.Put(MakeRecord(), kStart);
  CHECK(directory.Usable(kService, kStart).size() == 1);
  CHECK(directory.Usable(ServiceName("other"), kStart).empty());
  ServerRecord draining = MakeRecord();
  draining.draining = true;
  directory.Put(draining, kStart);
  CHECK(directory.Usable(kService, kStart).empty());
  directory.Put(MakeRecord(), kStart);
  directory.Remove(kServer, 7, kStart);
  CHECK(directory.FindUsable(kServer, kStart) == nullptr);
}

// Guards against a store restored from a copy in which a server is still ready.
TEST_CASE("a copy brings back no server that drains or has left") {
  const TimePoint left_until = kStart + seconds(5);
  ServerRecord record = MakeRecord();
  record.store_revision = 7;
  ServerDirectory directory;
  record.draining = true;
  directory.Put(record, kStart);
  record.draining = false;
  directory.PutFromCopy(record, kStart, left_until);
  CHECK(directory.FindUsable(kServer, left_until - milliseconds(1)) == nullptr);
  CHECK(directory.FindUsable(kServer, left_until) != nullptr);
  // A second restore does not shorten it.
  directory.PutFromCopy(record, kStart + seconds(4), left_until + seconds(4));
  CHECK(directory.FindUsable(kServer, left_until + seconds(3)) == nullptr);
  directory.Remove(kServer, 7, kStart);
  directory.PutFromCopy(record, kStart, left_until);
  CHECK(directory.FindUsable(kServer, kStart + seconds(4)) == nullptr);
  CHECK(directory.FindUsable(kServer, left_until) != nullptr);
  SECTION("but what the server writes itself holds") {
    directory.Put(record, kStart);
    CHECK(directory.FindUsable(kServer, kStart) != nullptr);
  }
  SECTION("whatever start of the server it lists") {
    directory.Remove(kServer, 7, kStart);
    record.started_at_ms = 1000;
    directory.PutFromCopy(record, kStart, left_until);
    CHECK(directory.FindUsable(kServer, kStart + seconds(4)) == nullptr);
  }
  SECTION("but what was written after the restore holds") {
    directory.Remove(kServer, 7, kStart);
    record.store_revision = 8;
    directory.PutFromCopy(record, kStart, left_until);
    CHECK(directory.FindUsable(kServer, kStart) != nullptr);
  }
}

// Guards against servers that left within the grace period of a restore and
// were used again after the next one.
TEST_CASE("a copy brings back no server that was missing") {
  const TimePoint left_until = kStart + seconds(12);
  ServerRecord record = MakeRecord();
  record.store_revision = 6;
  ServerDirectory directory;
  directory.Put(record, kStart);
  directory.MarkMissing(kServer, 7, kStart + seconds(2));
  SECTION("before its grace period ends") {}
  SECTION("after its grace period has ended") {
    directory.Expire(kStart + seconds(2));
  }
  directory.PutFromCopy(record, kStart + seconds(2), left_until);
  CHECK(directory.FindUsable(kServer, kStart + seconds(2)) == nullptr);
  CHECK(directory.FindUsable(kServer, left_until) != nullptr);
}

TEST_CASE("servers of a zone out of service are not usable until it is back",
          "[promise-03]") {
  ServerDirectory directory;
  directory.Put(MakeRecord(), kStart);
  directory.SetZoneInService(ZoneName("zone-a"), false);
  CHECK(directory.Usable(kService, kStart).empty());
  directory.SetZoneInService(ZoneName("zone-a"), true);
  CHECK(directory.Usable(kService, kStart).size() == 1);
}

TEST_CASE(
    "a missing server is usable for its grace period or until listed again") {
  ServerDirectory directory;
  directory.Put(MakeRecord(), kStart);
  directory.MarkMissing(kServer, 7, kStart + seconds(2));
  CHECK(directory.FindUsable(kServer, kStart + milliseconds(1999)) != nullptr);
  CHECK(directory.FindUsable(kServer, kStart + seconds(2)) == nullptr);
  directory.Put(MakeRecord(), kStart + seconds(1));
  CHECK(directory.FindUsable(kServer, kStart + seconds(3)) != nullptr);
  directory.MarkMissing(kServer, 7, kStart + seconds(5));
  directory.Expire(kStart + seconds(5));
  CHECK(directory.size() == 0);
}

// Guards against states that are ordered by the clock of the server, of which
// the later ones were ignored after the clock had stepped back.
TEST_CASE("a server that starts again with an earlier clock is heard") {
  ServerDirectory directory;
  ServerRecord record = MakeRecord();
  record.started_at_ms = 2000;
  directory.Put(record, kStart);
  record.started_at_ms = 1000;
  record.endpoint = {"10.0.0.2", 80};
  directory.Put(record, kStart);
  REQUIRE(directory.FindUsable(kServer, kStart) != nullptr);
  CHECK(directory.FindUsable(kServer, kStart)->record.endpoint ==
        record.endpoint);
  record.draining = true;
  directory.Put(record, kStart);
  CHECK(directory.FindUsable(kServer, kStart) == nullptr);
}

ServerRecord RecordOfStart(std::uint64_t started_at_ms) {
  ServerRecord record = MakeRecord();
  record.started_at_ms = started_at_ms;
  return record;
}

// Guards against requests to a server that says that it leaves while the store
// lists it as ready.
TEST_CASE("a server that said it leaves is not used, whatever is listed") {
  ServerDirectory directory;
  directory.Put(RecordOfStart(1), kStart);
  CHECK_FALSE(directory.LeavesOutLeaving(kService, kStart));
  CHECK(directory.MarkLeaving(kServer, 1, kStart));
  CHECK_FALSE(directory.MarkLeaving(kServer, 1, kStart));
  CHECK(directory.LeavesOutLeaving(kService, kStart));
  CHECK_FALSE(directory.LeavesOutLeaving(ServiceName("other"), kStart));
  SECTION("as ready again") { directory.Put(RecordOfStart(1), kStart); }
  SECTION("as ready by a copy") {
    directory.PutFromCopy(RecordOfStart(1), kStart, kStart);
  }
  SECTION("anew after it was missing") {
    directory.MarkMissing(kServer, 7, kStart);
    directory.Expire(kStart);
    directory.Put(RecordOfStart(1), kStart + seconds(29));
  }
  SECTION("for long") { directory.Expire(kStart + seconds(60)); }
  CHECK(directory.Usable(kService, kStart + seconds(29)).empty());
  CHECK(directory.FindUsable(kServer, kStart + seconds(29)) == nullptr);
}

TEST_CASE("a server that starts again after it said it leaves is used") {
  ServerDirectory directory;
  directory.Put(RecordOfStart(2), kStart);
  SECTION("with a later or an earlier clock") {
    directory.MarkLeaving(kServer, 2, kStart);
    directory.Put(RecordOfStart(GENERATE(1, 3)), kStart);
  }
  SECTION("though the earlier start says it late") {
    CHECK(directory.MarkLeaving(kServer, 1, kStart));
  }
  CHECK(directory.FindUsable(kServer, kStart) != nullptr);
  CHECK_FALSE(directory.LeavesOutLeaving(kService, kStart));
}

TEST_CASE("another server at the address of one that leaves is used") {
  ServerDirectory directory;
  directory.Put(RecordOfStart(1), kStart);
  directory.MarkLeaving(kServer, 1, kStart);
  ServerRecord other = RecordOfStart(1);
  other.name = BackendServerName("i-2");
  other.service = ServiceName("other");
  directory.Put(other, kStart);
  CHECK(directory.FindUsable(other.name, kStart) != nullptr);
}

TEST_CASE("what a server said of leaving is forgotten after it has gone") {
  ServerDirectory directory;
  directory.Put(RecordOfStart(1), kStart);
  directory.MarkLeaving(kServer, 1, kStart);
  directory.Remove(kServer, 7, kStart);
  directory.Expire(kStart);
  directory.Expire(kStart + kLeftServerRetention - milliseconds(1));
  CHECK_FALSE(directory.MarkLeaving(kServer, 1, kStart));
  directory.Expire(kStart + kLeftServerRetention);
  CHECK(directory.MarkLeaving(kServer, 1, kStart + kLeftServerRetention));
}

TEST_CASE("what servers said of leaving is forgotten on demand") {
  ServerDirectory directory;
  directory.Put(RecordOfStart(1), kStart);
  directory.MarkLeaving(kServer, 1, kStart);
  directory.ForgetLeaving();
  CHECK(directory.FindUsable(kServer, kStart) != nullptr);
  CHECK(directory.MarkLeaving(kServer, 1, kStart));
}

TEST_CASE("the remaining cold start is counted from when the record is put") {
  ServerDirectory directory;
  ServerRecord record = MakeRecord();
  record.cold_remaining = seconds(3);
  directory.Put(record, kStart + seconds(1));
  const ServerEntry* entry = directory.FindUsable(kServer, kStart + seconds(1));
  REQUIRE(entry != nullptr);
  CHECK(entry->cold_until == kStart + seconds(4));
}

TEST_CASE(
    "a reading is returned up to its maximum age and later sends are counted") {
  ServerObservations observations;
  observations.OnReading(kServer, {1, 0, 3, 1.0}, kStart);
  observations.OnSent(kServer, kStart);
  CHECK(observations.SentSinceReading(kServer) == 1);
  CHECK(
      observations.Reading(kServer, milliseconds(1), kStart + milliseconds(1)));
  CHECK_FALSE(
      observations.Reading(kServer, milliseconds(1), kStart + milliseconds(2)));
  observations.OnReading(kServer, {2, 0, 3, 1.0}, kStart + milliseconds(3));
  CHECK(observations.SentSinceReading(kServer) == 0);
}

TEST_CASE("a failure lasts for its window, and a cold start until it ends") {
  ServerObservations observations;
  observations.OnFailure(kServer, kStart);
  CHECK(observations.FailedRecently(kServer, kStart));
  CHECK_FALSE(
      observations.FailedRecently(kServer, kStart + kRecentFailureWindow));
  observations.OnColdRemaining(kServer, seconds(2), kStart);
  CHECK(observations.IsCold(kServer, kStart + milliseconds(1999)));
  CHECK_FALSE(observations.IsCold(kServer, kStart + seconds(2)));
  observations.RemoveStale(seconds(10), kStart + seconds(11));
  CHECK_FALSE(observations.IsCold(kServer, kStart));
}

TEST_CASE("a server is known to be warm only while its own word is recent") {
  ServerObservations observations;
  CHECK_FALSE(observations.IsKnownToBeWarm(kServer, kStart));
  CHECK_FALSE(observations.WasWarm(kServer));
  CHECK_FALSE(observations.ColdStatementAge(kServer, kStart));
  // A response to a request tells the load, and nothing of a cold start.
  observations.OnReading(kServer, LoadReading{0, 0, 3, 1}, kStart);
  CHECK_FALSE(observations.IsKnownToBeWarm(kServer, kStart));
  observations.OnColdRemaining(kServer, Duration::zero(), kStart);
  CHECK(observations.IsKnownToBeWarm(kServer, kStart + kWarmStateMaxAge));
  CHECK_FALSE(observations.IsKnownToBeWarm(
      kServer, kStart + kWarmStateMaxAge + milliseconds(1)));
  observations.OnColdRemaining(kServer, milliseconds(100), kStart);
  CHECK_FALSE(observations.IsKnownToBeWarm(kServer, kStart));
  CHECK(observations.WasWarm(kServer));
  CHECK(observations.ColdStatementAge(kServer, kStart + milliseconds(5)) ==
        milliseconds(5));
}

TEST_CASE("the load after a response does not count its request") {
  const LoadReading full{3, 0, 3, 1};
  CHECK_FALSE(HasFreeSlot(full));
  CHECK(HasFreeSlot(WithoutOneRequest(full)));
  // A request that waited takes the slot.
  const LoadReading queued = WithoutOneRequest({3, 2, 3, 1});
  CHECK(queued.running == 3);
  CHECK(queued.waiting == 1);
  CHECK(WithoutOneRequest({0, 0, 3, 1}).running == 0);
}

}  // namespace
}  // namespace heatherlatch
