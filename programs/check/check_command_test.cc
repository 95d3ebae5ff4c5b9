#include "programs/check/check_command.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace heatherlatch {
namespace {

const std::string kExamples = HEATHERLATCH_EXAMPLES;

struct Run {
  int code;
  std::string out;
  std::string err;
};

Run RunWith(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), "heatherlatch-check");
  std::ostringstream out;
  std::ostringstream err;
  const int code = RunCheckCommand(arguments, "1.2.3", out, err);
  return {code, out.str(), err.str()};
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// A copy of an example with one text replaced, removed at the end of the test.
class ChangedExample {
 public:
  ChangedExample(const std::string& example, const std::string& from,
                 const std::string& to) {
    char name[] = "check_test_XXXXXX";
    const int descriptor = mkstemp(name);
    REQUIRE(descriptor >= 0);
    close(descriptor);
    path_ = name;
    std::ostringstream text;
    text << std::ifstream(kExamples + "/" + example).rdbuf();
    std::string changed = text.str();
    const auto at = changed.find(from);
    REQUIRE(at != std::string::npos);
    std::ofstream(path_) << changed.replace(at, from.size(), to);
  }
  ~ChangedExample() { std::remove(path_.c_str()); }

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

TEST_CASE("the report of a set without findings has a summary") {
  const std::string file = kExamples + "/cooperative.yaml";
  const Run run = RunWith({file});
  CHECK(run.code == 0);
  CHECK(run.out == file +
                       ": no findings\n3 regions, 6 of 6 zones in service, 3 "
                       "services with 45 servers, 5 routes, 2 "
                       "organisations\n");
  CHECK(run.err.empty());
}

TEST_CASE("findings are listed with the file and the line") {
  const ChangedExample file("qalaa.yaml", "service: licence-signing",
                            "service: licence-singing");
  const Run run = RunWith({file.path()});
  CHECK(run.code == 1);
  CHECK(
      Contains(run.out,
               "route \"signings\", field service: service \"licence-singing\" "
               "does not exist (did you mean \"licence-signing\"?)\n"));
  CHECK(Contains(run.out, file.path() + ": 1 finding\n"));
}

TEST_CASE("the settings of a host are checked with --kind settings") {
  const std::string file = kExamples + "/entry-host.yaml";
  CHECK(RunWith({"--kind", "settings", file}).code == 0);
  CHECK(RunWith({file}).code == 1);
  CHECK(RunWith({"--kind", "settings", "--against", file, file}).code == 3);
}

TEST_CASE("a change and its warnings are reported with --against") {
  const std::string before = kExamples + "/cooperative.yaml";
  const ChangedExample after("cooperative.yaml", "name: semenanjung-utara-b,",
                             "name: semenanjung-utara-b, in_service: false,");
  const Run run = RunWith({"--against", before, after.path()});
  CHECK(run.code == 0);
  CHECK(Contains(
      run.out,
      "change: takes zone semenanjung-utara-b out of service; 16 of 20 "
      "servers of service \"tally-reads\" remain"));
  CHECK_FALSE(Contains(run.out, "warning: "));

  const ChangedExample worse("cooperative.yaml", "name: semenanjung-utara-a,",
                             "name: semenanjung-utara-a, in_service: false,");
  const Run strict = RunWith({"--strict", "--against", before, worse.path()});
  CHECK(strict.code == 2);
  CHECK(Contains(strict.out,
                 "warning: service \"ledger-adjustments\" keeps 18 of "
                 "39 slots in service, less than half\n"));
}

TEST_CASE("a JSON report has findings, changes and warnings") {
  const std::string before = kExamples + "/qalaa.yaml";
  const ChangedExample after("qalaa.yaml", "weight: 2", "weight: 3");
  const Run run =
      RunWith({"--format", "json", "--against", before, after.path()});
  CHECK(run.code == 0);
  const auto json = nlohmann::json::parse(run.out);
  CHECK(json["files"][0]["file"] == after.path());
  CHECK(json["files"][0]["findings"].empty());
  CHECK(json["changes"][0]["kind"] == "changed");
  CHECK(json["changes"][0]["object"] == "organisation \"vendors\"");
  CHECK(json["warnings"].empty());

  const ChangedExample broken("qalaa.yaml", "weight: 2", "wait: \"\xff\"");
  const Run refused = RunWith({"--format", "json", broken.path()});
  CHECK(refused.code == 1);
  const auto finding =
      nlohmann::json::parse(refused.out)["files"][0]["findings"][0];
  CHECK(finding["kind"] == "unknown-key");
  CHECK(finding["field"] == "wait");
  CHECK(finding["line"].get<int>() > 0);
}

TEST_CASE("usage errors and unreadable files exit with code 3") {
  CHECK(RunWith({}).code == 3);
  CHECK(RunWith({"--format", "xml", "file"}).code == 3);
  const Run run = RunWith({"no-such-file.yaml"});
  CHECK(run.code == 3);
  CHECK(run.err == "file \"no-such-file.yaml\" cannot be read\n");
  CHECK(RunWith({kExamples}).code == 3);
}

TEST_CASE("the help names each exit code and gives an example") {
  const Run help = RunWith({"--help"});
  CHECK(help.code == 0);
  for (const char* code : {"  0  ", "  1  ", "  2  ", "  3  "}) {
    CHECK(Contains(help.out, code));
  }
  CHECK(Contains(help.out, "Example:\n  heatherlatch-check --against"));
  const Run version = RunWith({"--version"});
  CHECK(version.code == 0);
  CHECK(version.out == "heatherlatch-check 1.2.3\n");
}

}  // namespace
}  // namespace heatherlatch
