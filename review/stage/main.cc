// Plays one case: stage CASE PROGRAM DATA FOLDER RECORD. With TROUBLE=0 in the
// environment it leaves the disruption out.
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>

#include "review/stage/stage.h"

int main(int argc, char** argv) {
  const std::map<std::string, std::function<int(const stage::Setup&)>> cases = {
      {"smuggled", stage::PlaySmuggled},
      {"late-write", stage::PlayLateWrite},
      {"late-reader", stage::PlayLateReader},
  };
  const auto played = argc == 6 ? cases.find(argv[1]) : cases.end();
  if (played == cases.end()) {
    std::fputs("usage: stage CASE PROGRAM DATA FOLDER RECORD\n", stderr);
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  stage::Setup setup;
  setup.program = argv[2];
  setup.data = argv[3];
  setup.folder = argv[4];
  setup.record = argv[5];
  setup.trouble = trouble == nullptr || std::string(trouble) != "0";
  try {
    const int result = played->second(setup);
    std::printf("%s: %s\n", argv[1],
                result == 0   ? "the rule held"
                : result == 1 ? "the rule was broken"
                              : "the case could not run");
    std::fflush(stdout);
    std::_Exit(result);  // The threads of the stand-ins still run.
  } catch (const std::runtime_error& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
