// YAML documents for the tests of this library, and functions to read them.
#ifndef HEATHERLATCH_OBJECTS_TEST_DOCUMENTS_H_
#define HEATHERLATCH_OBJECTS_TEST_DOCUMENTS_H_

#include <memory>
#include <string>
#include <vector>

#include "heatherlatch/objects/check.h"

namespace heatherlatch {

// A small document without findings. Findings number its lines from 1.
inline constexpr char kSmallDocument[] = R"(regions:
  - name: north
  - name: south
zones:
  - {name: north-a, region: north}
  - {name: south-a, region: south}
services:
  - name: reads
    slots_per_server: 3
    connections_per_server: 10
    servers:
      - {name: read-1, zone: north-a, endpoint: "127.0.0.1:4001"}
      - {name: read-2, zone: south-a, endpoint: "127.0.0.1:4002"}
  - name: writes
    connections_per_server: 10
    servers:
      - {name: write-1, zone: north-a, endpoint: "127.0.0.1:4003"}
routes:
  - name: tally
    path_prefix: /tally
    methods: [GET]
    service: reads
    idempotent: true
  - name: adjust
    path_prefix: /adjust
    methods: [POST]
    service: writes
    home_regions: [north]
organisations:
  - name: shops
  - name: audit
    home_regions: [north]
limits:
  resend_window: 20s
)";

// @return `text` with the first occurrence of `from` replaced by `to`
// @throw std::logic_error  `text` does not contain `from`
std::string Replaced(std::string text, const std::string& from,
                     const std::string& to);

// @return the text of a file in the examples directory
// @throw std::logic_error  the file cannot be opened
std::string ReadExample(const std::string& name);

// @return each finding as "KIND TEXT"; empty if the document is accepted
std::vector<std::string> FindingsOf(const std::string& yaml);

// @return the set
// @throw std::logic_error  the document has findings
std::shared_ptr<const ObjectSet> MustRead(const std::string& yaml);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_OBJECTS_TEST_DOCUMENTS_H_
