// Entry point of every test program: fixes and prints the RapidCheck seed so
// that each run draws the same cases.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

namespace {

constexpr const char* kDefaultRapidCheckParameters = "seed=20261204";

}  // namespace

int main(int argc, char** argv) {
  setenv("RC_PARAMS", kDefaultRapidCheckParameters, /*overwrite=*/0);
  std::cout << "RC_PARAMS=" << std::getenv("RC_PARAMS") << std::endl;
  return Catch::Session().run(argc, argv);
}
