// Entry point of every test program. Sets a fixed RapidCheck seed, unless
// RC_PARAMS is set, and prints it, so that each run generates the same cases.
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
