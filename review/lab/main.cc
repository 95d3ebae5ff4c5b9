// lab SCENARIO RECORD: runs one scenario of the review, from the repository's
// root. With TROUBLE=0 in the environment, without its disruption.
//
// Exit codes: 1 if the rule was broken, 0 if it held, 2 if it could not run.
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "review/lab/scenarios.h"

namespace {

using Scenario = std::optional<bool> (*)(bool, review::Record*);

int Run(const std::string& name, const std::string& record_path) {
  const std::map<std::string, Scenario> scenarios = {
      {"pipeline-requests", review::PipelineRequests},
      {"pipeline-behind-post", review::PipelineBehindPost},
      {"refuse-head", review::RefuseHead},
      {"stop-while-waiting", review::StopWhileWaiting},
      {"leave-during-cut", review::LeaveDuringCut},
      {"pause-reading", review::PauseReading},
      {"crash-workers", review::CrashWorkers},
  };
  const auto found = scenarios.find(name);
  if (found == scenarios.end()) return 2;
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  // Not destroyed, since threads of the stand-ins write to it.
  review::Record& record = *new review::Record(record_path);
  record.Write(name + (has_trouble ? ", with" : ", without") +
               " the disruption");
  const std::optional<bool> broken = found->second(has_trouble, &record);
  const char* result = !broken   ? "could not run"
                       : *broken ? "the rule was broken"
                                 : "the rule held";
  record.Write(result);
  std::cout << name << ": " << result << std::endl;
  return !broken ? 2 : *broken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  // Threads of the stand-ins still run, so that nothing is destroyed here.
  std::_Exit(Run(argv[1], argv[2]));
}
