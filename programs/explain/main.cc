// heatherlatch-explain: states why one request ended as it did, from the logs
// of the hosts.
#include <CLI/CLI.hpp>
#include <iostream>

#include "heatherlatch/base/read_file.h"
#include "programs/explain/explanation.h"

namespace heatherlatch {
namespace {

enum ExitCode : int { kExplained = 0, kNotFound = 1, kUsage = 3 };

constexpr const char* kFooter = R"(Example:
  heatherlatch-explain 9c41d07be2a35f68 host-1.log host-2.log

Exit codes:
  0  the request was found
  1  no log line has the request id
  3  wrong usage, or a log cannot be read)";

int Run(const std::string& request, const std::vector<std::string>& logs) {
  std::vector<LogLine> lines;
  for (const std::string& path : logs) {
    const std::optional<std::string> text = ReadFile(path);
    if (!text) {
      std::cerr << "heatherlatch-explain: log \"" << path
                << "\" cannot be read\n";
      return kUsage;
    }
    const std::vector<LogLine> read = ReadLines(*text, path);
    lines.insert(lines.end(), read.begin(), read.end());
  }
  const Explanation explanation = Explain(request, lines);
  std::cout << ToString(explanation);
  return explanation.lines.empty() ? kNotFound : kExplained;
}

}  // namespace
}  // namespace heatherlatch

int main(int argc, char** argv) {
  CLI::App app("Says why one request ended as it did, from the hosts' logs.");
  app.set_version_flag("--version", HEATHERLATCH_VERSION);
  app.footer(heatherlatch::kFooter);
  std::string request;
  std::vector<std::string> logs;
  app.add_option("request", request, "id of the request")->required();
  app.add_option("logs", logs, "logs of hosts")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : heatherlatch::kUsage;
  }
  return heatherlatch::Run(request, logs);
}
