// Tests of the programs that tests start.
#include "tests/harness/child_process.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "heatherlatch/backend/testing/raw_server.h"

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

}  // namespace
}  // namespace heatherlatch::testing
