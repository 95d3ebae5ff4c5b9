#include "heatherlatch/relay/source_choice.h"

#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{};
const Endpoint kSelf{"10.0.0.9", 1};
const Endpoint kNear{"10.0.0.1", 1};
const Endpoint kFar{"10.0.0.2", 1};

std::string Describe(const FeedStep& step) {
  const auto* peer = std::get_if<PeerSource>(&step.source);
  return peer == nullptr ? "store" : ToString(peer->endpoint);
}

TEST_CASE("a reader queries the store, another host the nearest reader") {
  SourceChoice reader(kNear, {kNear, kFar}, DeploymentStart::kFirst);
  CHECK(reader.IsReader());
  CHECK(Describe(reader.Next(kStart)) == "store");
  SourceChoice host(kSelf, {kNear, kFar}, DeploymentStart::kFirst);
  host.OnResponse(PeerSource{kFar}, milliseconds(60), kStart);
  host.OnResponse(PeerSource{kNear}, milliseconds(1), kStart);
  CHECK(Describe(host.Next(kStart)) == ToString(kNear));
}

// Guards against hosts that leave their region for a reader farther away.
TEST_CASE("one slow response does not make the nearest reader look far") {
  SourceChoice host(kSelf, {kNear, kFar}, DeploymentStart::kFirst);
  host.OnResponse(PeerSource{kFar}, milliseconds(60), kStart);
  host.OnResponse(PeerSource{kNear}, milliseconds(1), kStart);
  host.OnResponse(PeerSource{kNear}, milliseconds(300), kStart);
  CHECK(Describe(host.Next(kStart)) == ToString(kNear));
  for (int i = 0; i < 20; ++i) {
    host.OnResponse(PeerSource{kNear}, milliseconds(300), kStart);
  }
  CHECK(Describe(host.Next(kStart)) == ToString(kFar));
}

TEST_CASE("a host queries the store itself while no reader is available") {
  SourceChoice host(kSelf, {kNear, kFar}, DeploymentStart::kFirst);
  host.OnResponse(PeerSource{kNear}, milliseconds(1), kStart);
  host.OnFailure(PeerSource{kNear}, kStart);
  CHECK(Describe(host.Next(kStart)) == ToString(kFar));
  host.OnFailure(PeerSource{kFar}, kStart);
  CHECK(Describe(host.Next(kStart)) == "store");
  CHECK(Describe(host.Next(kStart + kFailureBackoff)) != "store");
}

// Guards against hosts that never receive a large table from busy readers.
TEST_CASE("a host that no reader serves in time queries the store") {
  const std::vector<Endpoint> readers = {kNear, kFar, {"10.0.0.3", 1}};
  SourceChoice host(kSelf, readers, DeploymentStart::kFirst);
  host.OnResponse(PeerSource{kNear}, milliseconds(1), kStart);
  const Duration attempt = 2 * kFailureBackoff;
  TimePoint now = kStart;
  std::vector<std::string> queried;
  for (std::size_t i = 0; i <= readers.size(); ++i) {
    const FeedStep step = host.Next(now);
    queried.push_back(Describe(step));
    now += attempt;
    host.OnFailure(step.source, now);
  }
  CAPTURE(queried);
  CHECK(queried.back() == "store");
}

TEST_CASE("a reader that the store refuses queries its requesters") {
  SourceChoice reader(kNear, {kNear}, DeploymentStart::kFirst);
  reader.OnRequestFrom(kSelf, kStart);
  reader.OnFailure(StoreSource{}, kStart);
  CHECK(Describe(reader.Next(kStart)) == ToString(kSelf));
  reader.OnFailure(PeerSource{kSelf}, kStart);
  const FeedStep step = reader.Next(kStart);
  CHECK(Describe(step) == "store");
  CHECK(step.delay == kMinStoreRetryDelay);
}

TEST_CASE("a stale host is queried again after a short backoff") {
  SourceChoice reader(kNear, {kNear}, DeploymentStart::kFirst);
  reader.OnRequestFrom(kSelf, kStart);
  for (int i = 0; i < 8; ++i) reader.OnFailure(StoreSource{}, kStart);
  reader.OnStale(PeerSource{kSelf}, kStart);
  CHECK(reader.Next(kStart).delay == kStaleBackoff);
  CHECK(Describe(reader.Next(kStart + kStaleBackoff)) == ToString(kSelf));
}
TEST_CASE("calls to a store that refuses the host become less frequent") {
  SourceChoice reader(kNear, {kNear}, DeploymentStart::kFirst);
  TimePoint now = kStart;
  int calls = 0;
  while (now < kStart + seconds(9)) {
    const FeedStep step = reader.Next(now);
    now += step.delay + milliseconds(5);
    reader.OnFailure(step.source, now);
    ++calls;
  }
  // Nine seconds of doubling delays: 0.15 to 2.4 s, then 2.5 s.
  CHECK(calls <= 9);
  reader.OnResponse(StoreSource{}, milliseconds(4), now);
  CHECK(reader.Next(now).delay == Duration::zero());
}

// Guards against hosts that follow a store late that goes back unannounced.
TEST_CASE("a store that has to confirm what it states is queried again soon") {
  SourceChoice reader(kSelf, {}, DeploymentStart::kFirst);
  TimePoint now = kStart;
  for (int responses = 0; now < kStart + seconds(10); ++responses) {
    reader.OnUnconfirmed(now);
    const Duration delay = reader.Next(now).delay;
    CAPTURE(responses);
    CHECK(delay <= milliseconds(600));
    now += delay;
  }
}

TEST_CASE("a host that restarts queries the store first") {
  SourceChoice host(kSelf, {kNear}, DeploymentStart::kRestart);
  CHECK(Describe(host.Next(kStart)) == "store");
  host.OnResponse(StoreSource{}, milliseconds(4), kStart);
  CHECK(Describe(host.Next(kStart)) == ToString(kNear));
  SourceChoice refused(kSelf, {kNear}, DeploymentStart::kRestart);
  refused.OnFailure(StoreSource{}, kStart);
  CHECK(Describe(refused.Next(kStart)) == ToString(kNear));
}

TEST_CASE("hosts of a new deployment query readers only at first") {
  SourceChoice host(kSelf, {kNear, kFar}, DeploymentStart::kFirst);
  TimePoint now = kStart;
  while (now < kStart + kReaderStartupGrace) {
    const FeedStep step = host.Next(now);
    CHECK(Describe(step) != "store");
    now += step.delay + milliseconds(5);
    host.OnFailure(step.source, now);
  }
  CHECK(Describe(host.Next(now)) == "store");
}

TEST_CASE("new readers replace the old ones") {
  SourceChoice host(kSelf, {kNear}, DeploymentStart::kFirst);
  host.SetReaders({kFar});
  CHECK(Describe(host.Next(kStart)) == ToString(kFar));
  host.SetReaders({kSelf});
  CHECK(Describe(host.Next(kStart)) == "store");
}

}  // namespace
}  // namespace heatherlatch
