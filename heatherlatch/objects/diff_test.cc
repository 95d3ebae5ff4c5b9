#include "heatherlatch/objects/diff.h"

#include <catch2/catch.hpp>

#include "heatherlatch/objects/test_documents.h"

namespace heatherlatch {
namespace {

using Texts = std::vector<std::string>;
const Texts kNone;

// @return the set of `kSmallDocument` with the first `from` replaced by `to`
std::shared_ptr<const ObjectSet> Changed(const std::string& from,
                                         const std::string& to) {
  return MustRead(Replaced(kSmallDocument, from, to));
}

Texts ChangesFrom(const ObjectSet& before, const ObjectSet& after) {
  Texts texts;
  for (const Change& change : DescribeChange(before, after)) {
    texts.push_back(std::string(ToString(change.kind)) + ": " + change.text);
  }
  return texts;
}

Texts WarningsFrom(const ObjectSet& before, const ObjectSet& after) {
  Texts texts;
  for (const ChangeWarning& warning : WarnAboutChange(before, after)) {
    texts.push_back(std::string(ToString(warning.kind)) + ": " + warning.text);
  }
  return texts;
}

std::shared_ptr<const ObjectSet> WithZoneOutOfService(
    const std::string& example, const std::string& zone) {
  return MustRead(Replaced(ReadExample(example), "name: " + zone + ",",
                           "name: " + zone + ", in_service: false,"));
}

TEST_CASE("a zone taken out of service is described with what remains",
          "[promise-03]") {
  const auto before = MustRead(ReadExample("cooperative.yaml"));
  const auto after =
      WithZoneOutOfService("cooperative.yaml", "semenanjung-utara-a");
  CHECK(ChangesFrom(*before, *after) ==
        Texts{"taken-out-of-service: takes zone semenanjung-utara-a out of "
              "service; 16 of 20 servers of service \"tally-reads\" remain; "
              "6 of 13 servers of service \"ledger-adjustments\" remain; "
              "10 of 12 servers of service \"catalogue-downloads\" remain"});
  CHECK(WarningsFrom(*before, *after) ==
        Texts{"too-little-capacity: service \"ledger-adjustments\" keeps 18 of "
              "39 slots in service, less than half"});
  CHECK(ChangesFrom(*after, *before) ==
        Texts{"brought-into-service: brings zone semenanjung-utara-a into "
              "service; 20 of 20 servers of service \"tally-reads\" are in "
              "service; 13 of 13 servers of service \"ledger-adjustments\" are "
              "in service; 12 of 12 servers of service "
              "\"catalogue-downloads\" are in service"});
  CHECK(WarningsFrom(*after, *before) == kNone);
}

TEST_CASE("taking out a region's last zone warns of it and its routes") {
  const auto before = MustRead(kSmallDocument);
  const auto after = Changed("region: north}",
                             "region: north, in_service: "
                             "false}");
  CHECK(WarningsFrom(*before, *after) ==
        Texts{"last-zone-of-region-out: region north has no zone in service "
              "any more",
              "too-little-capacity: service \"writes\" keeps 0 of 1 slots in "
              "service, less than half",
              "home-regions-without-server: route \"adjust\" has no server in "
              "service in north",
              "home-regions-without-server: route \"tally\" for organisation "
              "\"audit\" has no server in service in north"});
  CHECK(WarningsFrom(*after, *after) == kNone);
}

TEST_CASE("changes of fields and objects are described") {
  const auto before = MustRead(kSmallDocument);
  CHECK(ChangesFrom(*before,
                    *Changed("slots_per_server: 3", "slots_per_server: 2")) ==
        Texts{"changed: changes slots_per_server of service \"reads\" from 3 "
              "to 2"});
  CHECK(ChangesFrom(*before, *Changed("read-2, zone: south-a",
                                      "read-2, zone: north-a")) ==
        Texts{"changed: changes zone of server \"read-2\" from south-a to "
              "north-a"});
  CHECK(ChangesFrom(*before, *Changed("name: read-2", "name: read-3")) ==
        Texts{"removed: removes server \"read-2\" of service \"reads\" in zone "
              "south-a",
              "added: adds server \"read-3\" of service \"reads\" in zone "
              "south-a"});
  CHECK(ChangesFrom(*before, *Changed("  - name: shops\n",
                                      "  - {name: shops, weight: 4}\n")) ==
        Texts{"changed: changes weight of organisation \"shops\" from 1 to 4"});
}

TEST_CASE("changes that weaken a guarantee produce warnings") {
  const auto before = MustRead(kSmallDocument);
  CHECK(WarningsFrom(*before, *Changed("    home_regions: [north]",
                                       "    home_regions: [north, south]")) ==
        Texts{"home-regions-changed: route \"adjust\" changes its home regions "
              "from [north] to [north, south]"});
  CHECK(WarningsFrom(*before, *Changed("service: writes",
                                       "service: writes\n"
                                       "    idempotent: true")) ==
        Texts{"becomes-idempotent: route \"adjust\" becomes idempotent; its "
              "requests may run more than once"});
  CHECK(WarningsFrom(*before,
                     *Changed("resend_window: 20s", "resend_window: 10s")) ==
        Texts{"resend-window-shortened: the resend window becomes shorter; "
              "callers that still repeat a request after it are answered that "
              "the outcome is unknown"});
  CHECK(WarningsFrom(*before, *Changed("resend_window: 20s",
                                       "resend_window: 30s")) == kNone);
}

}  // namespace
}  // namespace heatherlatch
