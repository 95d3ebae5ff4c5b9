#include "programs/explain/explanation.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace heatherlatch {
namespace {

using Json = nlohmann::json;

// Changes logged within this time before the first line of a request, or after
// its last line, may explain its end. The value is twice the time that a change
// may take to reach a host.
constexpr std::int64_t kContextWindowMs = 8000;

std::string StringField(const Json& fields, const char* name) {
  const auto found = fields.find(name);
  return found != fields.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

std::string NumberField(const Json& fields, const char* name) {
  const auto found = fields.find(name);
  return found == fields.end() ? "?" : found->dump();
}

bool IsEarlier(const LogLine& a, const LogLine& b) { return a.at_ms < b.at_ms; }

const LogLine* FindLast(const std::vector<LogLine>& lines,
                        const std::string& event) {
  for (auto it = lines.rbegin(); it != lines.rend(); ++it) {
    if (StringField(it->fields, "event") == event) return &*it;
  }
  return nullptr;
}

// @return what the host knew about its configuration, as the `ended` line says
std::string ConfigurationBasis(const Json& ended) {
  const std::string version = NumberField(ended, "configuration");
  if (version == "0") return "The host had no configuration.";
  const std::string held = "The host held configuration " + version;
  if (!ended.contains("age_ms")) {
    return held +
           ", which the store had not confirmed since the host's start or its "
           "last suspension.";
  }
  const std::string source = StringField(ended, "source");
  const std::string by =
      source == "store"
          ? "the store"
          : "peer " + source + " (hops: " + NumberField(ended, "hops") + ")";
  return held + ", confirmed " + NumberField(ended, "age_ms") +
         " ms earlier through " + by + ".";
}

std::string NotRunCause(const std::string& reason, const Json& ended) {
  const std::string waited = NumberField(ended, "total_ms") + " ms";
  static const std::map<std::string, std::string> causes = {
      {"queue-full", "no server that it may use had room in time"},
      {"no-server", "the host had no server that it may use"},
      {"deadline-too-short", "no server could answer in the time left"},
      {"connect-failed", "the servers that it chose could not be connected to"},
      {"shed-by-server", "the servers that it was sent to refused it"},
      {"no-route", "the configuration of the host has no route for it"},
      {"configuration-unavailable",
       "the host knew no configuration that the store had confirmed"},
      {"out-of-memory", "the host had no memory left for its response"},
      {"unknown-key", "no organisation of the configuration holds its key"},
      {"key-not-confirmed",
       "the host could not prove that its key is still valid"},
      {"key-withdrawn", "its key was taken away while it waited"},
      {"allotment-exceeded",
       "its organisation had used the requests that it is allotted"},
      {"allotment-not-confirmed",
       "the host reached no reader that issues the allotment in time"},
      {"suspected-of-crashing-servers",
       "servers crashed while they ran this content"},
  };
  const auto found = causes.find(reason);
  const std::string cause = found == causes.end() ? reason : found->second;
  return "Refused after " + waited + ", not run: " + cause + ".";
}

std::string RefusedCause(const std::string& reason, const Json& ended) {
  std::string cause = NotRunCause(reason, ended);
  const std::string organisation = StringField(ended, "organisation");
  if (!organisation.empty()) cause += " Organisation: " + organisation + ".";
  if (!ended.contains("configuration")) return cause;
  return cause + " Requested: " + StringField(ended, "authority") + " " +
         StringField(ended, "target") + ". " + ConfigurationBasis(ended);
}

std::string CutCause(const Json& cut) {
  static const std::map<std::string, std::string> bounds = {
      {"head", "a head or framing that is too long"},
      {"interim", "too many interim responses"},
      {"body", "a body that is too long"},
      {"budget", "a body for which the host had no memory left"},
  };
  const std::string bound = StringField(cut, "bound");
  const auto found = bounds.find(bound);
  return "It may have run: server " + StringField(cut, "source") + " sent " +
         (found == bounds.end() ? bound : found->second) +
         ", and the host cut the response.";
}

std::string UnknownCause(const std::string& reason,
                         const std::vector<LogLine>& lines, const Json& ended) {
  const LogLine* placed = FindLast(lines, "placed");
  const std::string server =
      placed == nullptr ? "no server" : StringField(placed->fields, "server");
  const LogLine* cut = FindLast(lines, "response-cut");
  const LogLine* no_response = FindLast(lines, "no-answer");
  // The last send decides.
  if (cut != nullptr &&
      (no_response == nullptr || StringField(no_response->fields, "server") ==
                                     StringField(cut->fields, "source"))) {
    return CutCause(cut->fields);
  }
  if (no_response != nullptr) {
    return "It may have run: server " +
           StringField(no_response->fields, "server") +
           " sent no complete response (" +
           StringField(no_response->fields, "problem") + ").";
  }
  return "It may have run: server " + server + " had not answered after " +
         NumberField(ended, "total_ms") + " ms (" + reason + ").";
}

std::string FindCause(const std::vector<LogLine>& lines) {
  if (lines.empty()) return "No log line has this request id.";
  const LogLine* ended = FindLast(lines, "ended");
  if (ended == nullptr) {
    return FindLast(lines, "caller-gone") != nullptr
               ? "The caller disconnected before the response."
               : "The logs end before the request ended.";
  }
  const std::string outcome = StringField(ended->fields, "outcome");
  const std::string reason = StringField(ended->fields, "reason");
  if (outcome == "refused") return RefusedCause(reason, ended->fields);
  if (outcome == "unknown") return UnknownCause(reason, lines, ended->fields);
  return "Server " + reason + " answered it with status " +
         NumberField(ended->fields, "status") + " after " +
         NumberField(ended->fields, "total_ms") + " ms.";
}

std::vector<LogLine> FindContext(const std::vector<LogLine>& request_lines,
                                 const std::vector<LogLine>& lines) {
  static const std::set<std::string> change_events = {
      "configuration",
      "server-draining",
      "server-gone",
      "server-missing",
      "zone-out-of-service",
      "zone-in-service",
      "store-lost",
      "store-regained",
      "started",
      "server-crashed",
      "suspect-learnt",
      "organisation-refused",
      "organisation-key-shared"};
  std::vector<LogLine> context;
  if (request_lines.empty()) return context;
  std::set<std::string> servers;
  std::set<std::string> sources;
  for (const LogLine& line : request_lines) {
    servers.insert(StringField(line.fields, "server"));
    sources.insert(line.source);
  }
  const std::int64_t from = request_lines.front().at_ms - kContextWindowMs;
  const std::int64_t until = request_lines.back().at_ms + kContextWindowMs;
  for (const LogLine& line : lines) {
    if (line.at_ms < from || line.at_ms > until) continue;
    if (sources.count(line.source) == 0) continue;
    if (change_events.count(StringField(line.fields, "event")) == 0) continue;
    const std::string server = StringField(line.fields, "server");
    if (server.empty() || servers.count(server) > 0) context.push_back(line);
  }
  std::stable_sort(context.begin(), context.end(), IsEarlier);
  return context;
}

void WriteLines(const std::vector<LogLine>& lines, std::ostream* out) {
  for (const LogLine& line : lines) {
    *out << line.source << " " << line.fields.dump() << "\n";
  }
}

}  // namespace

std::vector<LogLine> ReadLines(const std::string& text,
                               const std::string& source) {
  std::vector<LogLine> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    const std::size_t brace = line.find('{');
    if (brace == std::string::npos) continue;
    LogLine parsed;
    parsed.fields = Json::parse(line.substr(brace), nullptr, false);
    if (!parsed.fields.is_object() || !parsed.fields.contains("at_ms") ||
        !parsed.fields["at_ms"].is_number()) {
      continue;
    }
    parsed.at_ms = parsed.fields["at_ms"].get<std::int64_t>();
    std::istringstream prefix(line.substr(0, brace));
    parsed.source = source;
    for (std::string word; prefix >> word;) parsed.source = word;
    lines.push_back(std::move(parsed));
  }
  return lines;
}

Explanation Explain(const std::string& request,
                    const std::vector<LogLine>& lines) {
  Explanation explanation;
  for (const LogLine& line : lines) {
    if (StringField(line.fields, "request") == request) {
      explanation.lines.push_back(line);
    }
  }
  std::stable_sort(explanation.lines.begin(), explanation.lines.end(),
                   IsEarlier);
  explanation.context = FindContext(explanation.lines, lines);
  explanation.cause = FindCause(explanation.lines);
  return explanation;
}

std::string ToString(const Explanation& explanation) {
  std::ostringstream out;
  WriteLines(explanation.lines, &out);
  if (!explanation.context.empty()) {
    out << "Changes recorded by its hosts around the request:\n";
    WriteLines(explanation.context, &out);
  }
  out << explanation.cause << "\n";
  return out.str();
}

}  // namespace heatherlatch
