#include "heatherlatch/configuration/configuration_state.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <optional>
#include <tuple>
#include <vector>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const HostIncarnation kPeer{HostName("entry-2"), 2};

ConfigurationDocument Document(Revision revision) {
  return {revision, "revision " + std::to_string(revision)};
}

// Every fifth revision fails the check.
bool Passes(Revision revision) { return revision % 5 != 0; }

using CheckResult = std::variant<std::shared_ptr<const ObjectSet>, Rejected>;

CheckResult CheckDocument(const ConfigurationDocument& document) {
  if (!Passes(document.revision)) {
    return Rejected{document.revision, "line 1: broken"};
  }
  auto set = std::make_shared<ObjectSet>();
  set->revision = document.revision;
  return std::shared_ptr<const ObjectSet>(std::move(set));
}

ConfigurationState NewConfiguration(TimePoint started) {
  return ConfigurationState(ConfigurationOptions(), CheckDocument, started);
}

// A host that is restarted at times, with one peer that keeps running. Guards
// against serving an older set than before, one that failed its check, or one
// older than a peer has reported.
class Host {
 public:
  void Step(int operation, Revision revision) {
    if (operation == 0) Offer(revision);
    if (operation == 1) Report(revision);
    if (operation == 2) now_ += milliseconds(revision * 100);
    if (operation == 3) Restart();
    CheckWhatIsServed();
  }

 private:
  void Offer(Revision revision) {
    const Revision before = configuration_->InForce();
    configuration_->Offer(Document(revision), now_);
    RC_ASSERT(configuration_->InForce() >= before);
    RC_ASSERT(configuration_->InForce() == before ||
              configuration_->InForce() == revision);
  }

  void Report(Revision revision) {
    configuration_->OnPeerLink(kPeer, true);
    const bool should_fetch = configuration_->OnPeerRevision(kPeer, revision);
    RC_ASSERT(should_fetch || revision <= configuration_->InForce() ||
              !Passes(revision));
    if (!serving_) highest_reported_ = std::max(highest_reported_, revision);
  }

  void Restart() {
    configuration_ = NewConfiguration(now_);
    serving_ = false;
    highest_reported_ = 0;
  }

  void CheckWhatIsServed() {
    RC_ASSERT((configuration_->Current() == nullptr) ==
              (configuration_->InForce() == 0));
    const bool may_serve = configuration_->MayServe(now_);
    RC_ASSERT(may_serve || !serving_);
    serving_ = may_serve;
    if (!may_serve) return;
    RC_ASSERT(Passes(configuration_->InForce()));
    RC_ASSERT(configuration_->Current()->revision == configuration_->InForce());
    RC_ASSERT(configuration_->Document().revision == configuration_->InForce());
    RC_ASSERT(configuration_->InForce() >= highest_reported_);
  }

  TimePoint now_{seconds(100)};
  std::optional<ConfigurationState> configuration_ =
      NewConfiguration(TimePoint(seconds(100)));
  bool serving_ = false;
  Revision highest_reported_ = 0;
};

TEST_CASE("no order of offers reverts a set or serves a rejected one",
          "[promise-10]") {
  CHECK(rc::check("configuration never reverts", [] {
    Host host;
    const auto steps =
        *rc::gen::container<std::vector<std::tuple<int, Revision>>>(
            rc::gen::tuple(rc::gen::inRange(0, 4),
                           rc::gen::inRange<Revision>(0, 40)));
    for (const auto& [operation, revision] : steps) {
      host.Step(operation, revision);
    }
  }));
}

TEST_CASE("a new host does not serve a set that a peer has replaced",
          "[promise-10]") {
  const TimePoint started{};
  ConfigurationState configuration = NewConfiguration(started);
  configuration.Offer(Document(6), started);
  CHECK_FALSE(configuration.MayServe(started));
  CHECK(configuration.OnPeerRevision(kPeer, 7));
  CHECK_FALSE(configuration.MayServe(started + seconds(60)));
  configuration.Offer(Document(7), started);
  CHECK(configuration.MayServe(started + seconds(60)));
  // A serving host keeps serving while it fetches a newer set.
  CHECK(configuration.OnPeerRevision(kPeer, 8));
  CHECK(configuration.MayServe(started + seconds(60)));
}

TEST_CASE("a rejected set is checked once and replaces nothing",
          "[promise-10]") {
  int checks = 0;
  const auto checker = [&checks](const ConfigurationDocument& document) {
    ++checks;
    return CheckDocument(document);
  };
  ConfigurationState configuration(ConfigurationOptions(), checker,
                                   TimePoint{});
  configuration.Offer(Document(4), TimePoint{});
  const OfferResult first = configuration.Offer(Document(5), TimePoint{});
  REQUIRE(std::holds_alternative<Rejected>(first));
  CHECK(std::get<Rejected>(first).problems == "line 1: broken");
  const OfferResult again = configuration.Offer(Document(5), TimePoint{});
  CHECK(std::holds_alternative<Ignored>(again));
  CHECK_FALSE(configuration.OnPeerRevision(kPeer, 5));
  CHECK(checks == 2);
  CHECK(configuration.InForce() == 4);
  CHECK(std::holds_alternative<Accepted>(configuration.Offer(Document(6), {})));
}

}  // namespace
}  // namespace heatherlatch
