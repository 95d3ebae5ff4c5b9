// Tests of the programs that tests start.
#include "tests/harness/child_process.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "heatherlatch/backend/testing/raw_server.h"
#include "standins/common/free_port.h"

namespace heatherlatch::testing {
namespace {

// Guards against connections that a test closes and a host believes open.
TEST_CASE("a started program holds no socket of the test") {
  const RawServer server([](RawConnection&) {});
  std::string path =
      (std::filesystem::temp_directory_path() / "child-output-XXXXXX").string();
  REQUIRE(mkdtemp(path.data()) != nullptr);
  const std::string output = path + "/output";
  ChildProcess list({"/bin/ls", "-l", "/proc/self/fd"}, output);
  CHECK(list.WaitForEnd(std::chrono::seconds(10)) == 0);
  std::ostringstream text;
  text << std::ifstream(output).rdbuf();
  std::filesystem::remove_all(path);
  CHECK(text.str().find("->") != std::string::npos);
  CHECK(text.str().find("socket:") == std::string::npos);
}

// Guards against hosts that do not start again since a connection took a port.
TEST_CASE("ports of started programs are given to no connection") {
  int first = 0;
  std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> first;
  REQUIRE(first > 0);
  for (int i = 0; i < 100; ++i) {
    const int port = standins::FreeEndpoint().port;
    CHECK(port > 0);
    CHECK(port < first);
  }
}

}  // namespace
}  // namespace heatherlatch::testing
