// Checks a set of objects, or the settings of a host, before it is published.
#include <iostream>
#include <string>
#include <vector>

#include "programs/check/check_command.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv, argv + argc);
  return heatherlatch::RunCheckCommand(arguments, HEATHERLATCH_VERSION,
                                       std::cout, std::cerr);
}
