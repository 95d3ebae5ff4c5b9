#include <catch2/catch.hpp>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/base/outcome.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {
namespace {

EndpointProblem ProblemOf(std::string_view text) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<EndpointProblem> {
        BOOST_LEAF_CHECK(ParseEndpoint(text));
        FAIL("ParseEndpoint accepted " << text);
        return EndpointProblem::kNoPort;
      },
      [](const EndpointError& error) { return error.problem; },
      []() -> EndpointProblem {
        throw std::logic_error("failure without EndpointError");
      });
}

TEST_CASE("parsing and formatting an endpoint keeps its text") {
  for (const std::string text : {"127.0.0.1:80", "[::1]:65535"}) {
    Result<Endpoint> endpoint = ParseEndpoint(text);
    REQUIRE(endpoint);
    CHECK(ToString(endpoint.value()) == text);
  }
}

TEST_CASE("an invalid endpoint is reported with its text and the reason") {
  CHECK(ProblemOf("127.0.0.1") == EndpointProblem::kNoPort);
  CHECK(ProblemOf("127.0.0.1:0") == EndpointProblem::kPortOutOfRange);
  CHECK(ProblemOf("127.0.0.1:70000") == EndpointProblem::kPortOutOfRange);
  CHECK(ProblemOf("localhost:80") == EndpointProblem::kAddressNotNumeric);
  CHECK(ToString(EndpointError{"x", EndpointProblem::kNoPort}) ==
        "endpoint \"x\" has no port; write ADDRESS:PORT");
}

TEST_CASE("incarnations of one host with different nonces differ") {
  const HostIncarnation first{HostName("entry-1"), 1};
  const HostIncarnation second{HostName("entry-1"), 2};
  CHECK(first != second);
  CHECK(ToString(first) == "entry-1#0000000000000001");
}

TEST_CASE("outcomes and reasons have fixed texts") {
  CHECK(ToString(Outcome(NotRun{NotRunReason::kQueueFull})) == "not-run");
  CHECK(ToString(NotRunReason::kQueueFull) == "queue-full");
  CHECK(ToString(UnknownReason::kExecutorGone) == "executor-gone");
}

TEST_CASE("durations convert to fractional milliseconds") {
  CHECK(ToMilliseconds(std::chrono::microseconds(1500)) == Approx(1.5));
}

}  // namespace
}  // namespace heatherlatch
