#include "programs/check/check_command.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <utility>

#include "heatherlatch/base/read_file.h"
#include "heatherlatch/objects/check.h"
#include "heatherlatch/settings/host_settings.h"
#include "programs/check/check_report.h"

namespace heatherlatch {
namespace {

constexpr char kDescription[] =
    "Checks a set of published objects, or the settings of a host, and says "
    "what a new set changes.";
constexpr char kFooter[] =
    "Exit codes:\n"
    "  0  no findings\n"
    "  1  findings: the file would be refused\n"
    "  2  warnings about the change, with --strict\n"
    "  3  a wrong option, or a file that cannot be read\n"
    "\n"
    "Example:\n"
    "  heatherlatch-check --against published.yaml --strict next.yaml";

struct CheckOptions {
  std::string file;
  std::string against;
  std::string kind = "objects";
  std::string format = "text";
  bool strict = false;
};

void AddOptions(CLI::App* app, CheckOptions* options) {
  app->add_option("FILE", options->file, "The YAML file to check")->required();
  app->add_option("--kind", options->kind, "What the file holds")
      ->check(CLI::IsMember({"objects", "settings"}))
      ->capture_default_str();
  app->add_option("--against", options->against,
                  "The set in force: show what FILE changes");
  app->add_option("--format", options->format, "Form of the report")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
  app->add_flag("--strict", options->strict,
                "Exit with code 2 if the change gives warnings");
}

std::string Summary(const ObjectSet& set) {
  const auto zones_in_service = std::count_if(
      set.zones.begin(), set.zones.end(),
      [](const AvailabilityZone& zone) { return zone.in_service; });
  std::size_t servers = 0;
  for (const Service& service : set.services) servers += service.servers.size();
  return std::to_string(set.regions.size()) + " regions, " +
         std::to_string(zones_in_service) + " of " +
         std::to_string(set.zones.size()) + " zones in service, " +
         std::to_string(set.services.size()) + " services with " +
         std::to_string(servers) + " servers, " +
         std::to_string(set.routes.size()) + " routes, " +
         std::to_string(set.organisations.size()) + " organisations";
}

class Checker {
 public:
  Checker(CheckOptions options, std::ostream& out, std::ostream& err)
      : options_(std::move(options)), out_(out), err_(err) {}

  CheckExit Run() {
    if (options_.kind == "settings" && !options_.against.empty()) {
      err_ << "--against compares sets of objects, not settings\n";
      return CheckExit::kUsage;
    }
    const bool readable =
        options_.kind == "settings" ? CheckSettings() : CheckObjects();
    if (!readable) return CheckExit::kUsage;
    Write();
    return ExitCode();
  }

 private:
  std::optional<std::string> Read(const std::string& path) {
    auto text = ReadFile(path);
    if (!text) err_ << "file \"" << path << "\" cannot be read\n";
    return text;
  }

  // @return whether the file could be read
  bool CheckSettings() {
    const auto text = Read(options_.file);
    if (!text) return false;
    auto result = ReadHostSettings(*text);
    report_.files.push_back({options_.file, {}});
    if (auto* findings = std::get_if<std::vector<Finding>>(&result)) {
      report_.files.back().findings = std::move(*findings);
    }
    return true;
  }

  // @return whether the files could be read
  bool CheckObjects() {
    const auto text = Read(options_.file);
    if (!text) return false;
    const auto after = CheckSet(options_.file, *text);
    if (after) report_.summary = Summary(*after);
    if (options_.against.empty()) return true;
    const auto against_text = Read(options_.against);
    if (!against_text) return false;
    const auto before = CheckSet(options_.against, *against_text);
    if (!before || !after) return true;
    report_.changes = DescribeChange(*before, *after);
    report_.warnings = WarnAboutChange(*before, *after);
    return true;
  }

  // Adds the findings of the file to the report.
  // @return the set, or null if the text has findings
  std::shared_ptr<const ObjectSet> CheckSet(const std::string& file,
                                            const std::string& text) {
    constexpr Revision kNotPublished = 0;
    auto result = ReadObjectSet(text, kNotPublished);
    report_.files.push_back({file, {}});
    if (auto* findings = std::get_if<std::vector<Finding>>(&result)) {
      report_.files.back().findings = std::move(*findings);
      return nullptr;
    }
    return std::get<std::shared_ptr<const ObjectSet>>(result);
  }

  void Write() {
    if (options_.format == "json") {
      WriteJson(report_, out_);
    } else {
      WriteText(report_, out_);
    }
  }

  CheckExit ExitCode() const {
    if (report_.HasFindings()) return CheckExit::kFindings;
    if (options_.strict && !report_.warnings.empty()) {
      return CheckExit::kWarnings;
    }
    return CheckExit::kSuccess;
  }

  CheckOptions options_;
  std::ostream& out_;
  std::ostream& err_;
  CheckReport report_;
};

}  // namespace

int RunCheckCommand(const std::vector<std::string>& arguments,
                    const std::string& version, std::ostream& out,
                    std::ostream& err) {
  CheckOptions options;
  CLI::App app(kDescription, "heatherlatch-check");
  app.footer(kFooter);
  app.set_version_flag("--version", "heatherlatch-check " + version);
  AddOptions(&app, &options);
  std::vector<const char*> argv;
  for (const std::string& argument : arguments) {
    argv.push_back(argument.c_str());
  }
  try {
    app.parse(static_cast<int>(argv.size()), argv.data());
  } catch (const CLI::ParseError& error) {
    const bool help_or_version = app.exit(error, out, err) == 0;
    return static_cast<int>(help_or_version ? CheckExit::kSuccess
                                            : CheckExit::kUsage);
  }
  return static_cast<int>(Checker(options, out, err).Run());
}

}  // namespace heatherlatch
