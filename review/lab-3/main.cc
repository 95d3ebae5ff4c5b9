// Runs one case of this review: lab-3 CASE FOLDER.
#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "review/lab-3/cases.h"
#include "review/lab-3/lab.h"

int main(int argc, char** argv) {
  namespace review = heatherlatch::review;
  const std::map<std::string, std::function<int(const std::string&)>> cases = {
      {"frozen-host", review::RunFrozenHost},
      {"unread-upload", review::RunUnreadUpload}};
  const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
  if (found == cases.end()) {
    std::cerr << "usage: lab-3 CASE FOLDER\n";
    return review::kCouldNotRun;
  }
  try {
    return found->second(argv[2]);
  } catch (const std::exception& error) {
    std::cerr << "lab-3: " << error.what() << "\n";
    return review::kCouldNotRun;
  }
}
