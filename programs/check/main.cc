// heatherlatch-check: checks a set of objects before it is published, or the
// settings of a host.
#include <iostream>
#include <string>
#include <vector>

#include "programs/check/check_command.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv, argv + argc);
  return heatherlatch::RunCheckCommand(arguments, HEATHERLATCH_VERSION,
                                       std::cout, std::cerr);
}
