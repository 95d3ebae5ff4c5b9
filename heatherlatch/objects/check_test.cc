#include "heatherlatch/objects/check.h"

#include <catch2/catch.hpp>

#include "heatherlatch/objects/test_documents.h"

namespace heatherlatch {
namespace {

using Texts = std::vector<std::string>;
const Texts kNone;

struct Mistake {
  std::string from;
  std::string to;
  std::string finding;
};

void CheckMistakes(const std::vector<Mistake>& mistakes) {
  for (const Mistake& mistake : mistakes) {
    INFO("replacing " << mistake.from << " by " << mistake.to);
    CHECK(FindingsOf(Replaced(kSmallDocument, mistake.from, mistake.to)) ==
          Texts{mistake.finding});
  }
}

TEST_CASE("the examples and the small document pass the check") {
  CHECK(FindingsOf(kSmallDocument) == kNone);
  CHECK(FindingsOf(ReadExample("cooperative.yaml")) == kNone);
  CHECK(FindingsOf(ReadExample("qalaa.yaml")) == kNone);
}

TEST_CASE("values are read with their units and defaults") {
  const auto set = MustRead(Replaced(kSmallDocument, "idempotent: true",
                                     "idempotent: true\n"
                                     "    deadline: 250ms\n"
                                     "    max_request_bytes: 2MB"));
  const Route& tally = set->routes[0];
  CHECK(tally.deadline == std::chrono::milliseconds(250));
  CHECK(tally.max_request_bytes == 2097152);
  CHECK(set->routes[1].deadline == Route().deadline);
  CHECK_FALSE(set->routes[1].idempotent);
  CHECK(set->services[0].servers[1].service == ServiceName("reads"));
  CHECK(set->limits.retry_share == Limits().retry_share);
}

TEST_CASE("syntax problems are reported with their line") {
  CHECK(FindingsOf("regions: [\n") ==
        Texts{"syntax line 2: not valid YAML: end of sequence flow not found"});
  CHECK(FindingsOf("a: 1\n---\nb: 2\n") ==
        Texts{"syntax line 2: a second document starts here "
              "(remove the line \"---\")"});
  CHECK(FindingsOf("a: &x 1\nb: *x\n") ==
        Texts{"syntax line 1: an anchor (&) is not accepted "
              "(write the value out)",
              "syntax line 2: an alias (*) is not accepted "
              "(write the value out)"});
  CHECK(FindingsOf("") ==
        Texts{"wrong-type the document is not a mapping (write lines such as "
              "\"key: value\")"});
  CHECK(FindingsOf(std::string(1000001, ' ')) ==
        Texts{"out-of-range the document has 1000001 bytes; at most 1000000 "
              "are accepted"});
}

TEST_CASE("problems of a single field are reported") {
  CheckMistakes({
      {"idempotent: true", "idempotnet: true",
       "unknown-key line 23: route \"tally\", field idempotnet: is not a known "
       "field (did you mean \"idempotent\"?)"},
      {"  - name: shops", "  - name: shops\n    colour: red",
       "unknown-key line 31: organisation \"shops\", field colour: is not a "
       "known field (the fields are name, home_regions, weight)"},
      {"limits:", "limit:",
       "unknown-key line 33: field limit: is not a known field (did you mean "
       "\"limits\"?)"},
      {"region: north}", "in_service: true}",
       "missing-field line 5: zone \"north-a\", field region: is missing"},
      {"    service: reads\n", "    service:\n",
       "missing-field line 22: route \"tally\", field service: is missing"},
      {"idempotent: true", "idempotent: yes",
       "wrong-type line 23: route \"tally\", field idempotent: \"yes\" is not "
       "true or false"},
      {"slots_per_server: 3", "slots_per_server: 3.5",
       "wrong-type line 9: service \"reads\", field slots_per_server: \"3.5\" "
       "is not a whole number"},
      {"resend_window: 20s", "resend_window: 20",
       "wrong-type line 34: limits, field resend_window: \"20\" is not a "
       "duration (write a whole number and ms, s, m or h, such as 250ms)"},
      {"127.0.0.1:4001", "localhost:4001",
       "wrong-type line 12: server \"read-1\", field endpoint: endpoint "
       "\"localhost:4001\" has an address that is not an IP number"},
      {"methods: [GET]", "methods: GET",
       "wrong-type line 21: route \"tally\", field methods: is not a list "
       "(start each entry with \"- \")"},
      {"- name: shops", "- shops",
       "wrong-type line 30: organisation 1: is not a mapping (write lines such "
       "as \"key: value\")"},
      {"slots_per_server: 3", "slots_per_server: 0",
       "out-of-range line 9: service \"reads\", field slots_per_server: 0 is "
       "not between 1 and 10000"},
      {"resend_window: 20s", "resend_window: 2m",
       "out-of-range line 34: limits, field resend_window: 2m is not between "
       "1s and 38s"},
      {"resend_window: 20s", "retry_share: .nan",
       "wrong-type line 34: limits, field retry_share: \".nan\" is not a "
       "number"},
      {"idempotent: true", "idempotent: true\n    max_request_bytes: 3MB",
       "out-of-range line 24: route \"tally\", field max_request_bytes: 3MB is "
       "not between 0B and 2MB"},
      {"methods: [GET]", "methods: [get]",
       "out-of-range line 21: route \"tally\", field methods: \"get\" is not "
       "an HTTP method in upper case"},
      {"methods: [GET]", "methods: [GET, GET]",
       "duplicate-name line 21: route \"tally\", field methods: GET stands "
       "twice (keep one of the two entries)"},
      {"path_prefix: /tally", "path_prefix: /tally/",
       "out-of-range line 20: route \"tally\", field path_prefix: \"/tally/\" "
       "ends with \"/\" (write whole segments, such as /tally)"},
      {"path_prefix: /tally", "path_prefix: /heatherlatch/v1",
       "out-of-range line 20: route \"tally\", field path_prefix: "
       "\"/heatherlatch/v1\" is kept for the entry hosts' own requests (write "
       "whole segments, such as /tally)"},
      {"name: shops", "name: the shops",
       "out-of-range line 30: organisation \"the shops\", field name: \"the "
       "shops\" is not a name (use 1 to 63 letters, digits, hyphens, dots or "
       "underscores)"},
      {"    service: reads\n", "    service: \"\"\n",
       "out-of-range line 22: route \"tally\", field service: is empty"},
  });
}

TEST_CASE("problems between objects are reported") {
  CheckMistakes({
      {"  - name: audit", "  - name: shops",
       "duplicate-name line 31: organisation \"shops\", field name: the "
       "organisation in line 30 has the same name (give each its own name)"},
      {"    idempotent: true", "    idempotent: true\n    idempotent: false",
       "duplicate-name line 24: route \"tally\", field idempotent: stands "
       "twice (keep one of the two lines)"},
      {"home_regions: [north]", "home_regions: [north, north]",
       "duplicate-name line 28: route \"adjust\", field home_regions: region "
       "\"north\" stands twice (keep one of the two entries)"},
      {"service: reads", "service: raeds",
       "broken-reference line 22: route \"tally\", field service: service "
       "\"raeds\" does not exist (did you mean \"reads\"?)"},
      {"zone: south-a", "zone: west",
       "broken-reference line 13: server \"read-2\", field zone: zone \"west\" "
       "does not exist"},
      {"region: south}", "region: soth}",
       "broken-reference line 6: zone \"south-a\", field region: region "
       "\"soth\" does not exist (did you mean \"south\"?)"},
      {"home_regions: [north]", "home_regions: [north, east]",
       "broken-reference line 28: route \"adjust\", field home_regions: region "
       "\"east\" does not exist"},
      {"127.0.0.1:4002", "127.0.0.1:4001",
       "contradiction line 13: server \"read-2\", field endpoint: server "
       "\"read-1\" has the same endpoint 127.0.0.1:4001"},
      {"    connections_per_server: 10", "    connections_per_server: 2",
       "contradiction line 9: service \"reads\", field slots_per_server: 3 is "
       "more than connections_per_server, 2"},
      {"slots_per_server: 3", "slots_per_server: 3\n    cold_start_slots: 4",
       "contradiction line 10: service \"reads\", field cold_start_slots: 4 is "
       "more than slots_per_server, 3"},
      {"path_prefix: /adjust\n    methods: [POST]",
       "path_prefix: /tally\n    methods: [POST, GET]",
       "contradiction line 25: route \"adjust\", field path_prefix: route "
       "\"tally\" has the same path_prefix for GET"},
      {"home_regions: [north]\norganisations:\n  - name: shops\n"
       "  - name: audit\n    home_regions: [north]",
       "home_regions: [south]\norganisations:\n  - name: shops",
       "contradiction line 28: route \"adjust\", field home_regions: service "
       "\"writes\" has no server in south"},
      {"methods: [POST]", "methods: [POST]\n    deadline: 21s",
       "contradiction line 27: route \"adjust\", field deadline: 21s and the "
       "resend_window of 20s are together more than 40s, the most for a route "
       "that is not idempotent"},
  });
}

TEST_CASE("an organisation outside the home regions of a route is reported",
          "[promise-04]") {
  CheckMistakes({
      {"  - name: audit\n    home_regions: [north]",
       "  - name: audit\n    home_regions: [south]",
       "contradiction line 32: organisation \"audit\", field home_regions: "
       "none of south is a home region of route \"adjust\""},
      {"home_regions: [north]\norganisations:\n  - name: shops",
       "home_regions: [north, south]\norganisations:\n  - name: shops\n"
       "    home_regions: [south]",
       "contradiction line 31: organisation \"shops\", field home_regions: "
       "service \"writes\" of route \"adjust\" has no server in south"},
  });
}

TEST_CASE("probes above their budget are reported", "[promise-01]") {
  CheckMistakes({
      {"slots_per_server: 3", "probe_interval: 500ms\n    probe_cost: 6ms",
       "contradiction line 9: service \"reads\", field probe_interval: a probe "
       "of 6ms every 500ms takes more of a server than probe_budget allows "
       "(make the interval longer)"},
  });
}

TEST_CASE("a set without a zone in service is reported") {
  const std::string document =
      Replaced(Replaced(kSmallDocument, "region: north}",
                        "region: north, in_service: "
                        "false}"),
               "region: south}", "region: south, in_service: false}");
  CHECK(FindingsOf(document) ==
        Texts{"contradiction line 4: field zones: no zone is in service (set "
              "in_service to true for at least one zone)"});
}

TEST_CASE("every problem is reported at once, in the order of the lines") {
  std::string document = Replaced(kSmallDocument, "- name: south", "- nam: s");
  document = Replaced(document, "slots_per_server: 3", "slots_per_server: x");
  document = Replaced(document, "service: writes", "service: write");
  const Texts findings = FindingsOf(document);
  REQUIRE(findings.size() == 5);
  CHECK(findings[0] ==
        "missing-field line 3: region 2, field name: is missing");
  CHECK(findings[1] ==
        "unknown-key line 3: region 2, field nam: is not a known field (did "
        "you mean \"name\"?)");
  CHECK(findings[2] ==
        "broken-reference line 6: zone \"south-a\", field region: region "
        "\"south\" does not exist");
  CHECK(findings[3] ==
        "wrong-type line 9: service \"reads\", field slots_per_server: \"x\" "
        "is not a whole number");
  CHECK(findings[4] ==
        "broken-reference line 27: route \"adjust\", field service: service "
        "\"write\" does not exist (did you mean \"writes\"?)");
}

TEST_CASE("a missing section produces no further findings") {
  const std::string document(kSmallDocument);
  CHECK(FindingsOf(document.substr(document.find("zones:"))) ==
        Texts{"missing-field line 1: field regions: is missing"});
}

}  // namespace
}  // namespace heatherlatch
