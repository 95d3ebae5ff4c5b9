// Reads the fields of one YAML mapping and reports every problem in it.
//
// Each read method takes the name of one field. It returns no value for a field
// that is absent, and adds a finding if the field is required. For a field of
// the wrong type or out of range it adds a finding; unless stated otherwise it
// returns no value then. `Finish` reports the keys that no method has read.
//
// Example:
//   ReadContext context;
//   MappingReader reader(node, "zone \"north-a\"", &context);
//   AssignIfPresent(reader.Reference("region", Presence::kRequired),
//                   &zone.region);
//   reader.Finish();
//   if (!context.findings.empty()) return context.findings;
//
// Thread safety: none; the caller serialises access.
#ifndef HEATHERLATCH_YAML_MAPPING_READER_H_
#define HEATHERLATCH_YAML_MAPPING_READER_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/yaml/finding.h"

namespace heatherlatch {

inline constexpr std::size_t kMaxNameBytes = 63;

enum class Presence { kRequired, kOptional };

// Inclusive bounds of a value.
template <typename T>
struct Range {
  T min;
  T max;
};

// The line of each object and field in the document, counted from 1. Objects
// are identified by their label, such as `route "tally"`.
class SourceLines {
 public:
  void AddObject(const std::string& object, int line);
  void AddField(const std::string& object, const std::string& field, int line);

  // @return the line of the field; that of the object if the field is absent;
  //     0 if the document has neither
  int FieldLine(const std::string& object, const std::string& field = "") const;

  // @return the lines of all objects with this label, in the order of the
  //     document; more than one if a name is used twice
  std::vector<int> ObjectLines(const std::string& object) const;

 private:
  std::map<std::string, std::vector<int>> object_lines_;
  std::map<std::pair<std::string, std::string>, int> field_lines_;
};

// What the readers of one document collect besides the values.
struct ReadContext {
  std::vector<Finding> findings;
  SourceLines lines;
};

class MappingReader {
 public:
  // @param node     the mapping; a node of another type is reported
  // @param object   the object's label in findings, such as `route "tally"`
  // @param context  receives findings and lines; must outlive the reader
  MappingReader(const YAML::Node& node, std::string object,
                ReadContext* context);

  std::optional<std::string> Text(std::string_view field, Presence presence);
  // Reads the name of another object. An empty text is reported.
  std::optional<std::string> Reference(std::string_view field,
                                       Presence presence);
  std::optional<bool> Boolean(std::string_view field, Presence presence);
  std::optional<int> Integer(std::string_view field, Presence presence,
                             Range<int> range);
  std::optional<double> Number(std::string_view field, Presence presence,
                               Range<double> range);
  std::optional<Duration> Time(std::string_view field, Presence presence,
                               Range<Duration> range);
  std::optional<std::uint64_t> Size(std::string_view field, Presence presence,
                                    Range<std::uint64_t> range);
  std::optional<Endpoint> Address(std::string_view field, Presence presence);
  // Reads a list of endpoints. A malformed entry is reported and skipped.
  std::optional<std::vector<Endpoint>> AddressList(std::string_view field,
                                                   Presence presence);

  // Reads a text that must be one of `choices`.
  // @return the index of the text in `choices`
  std::optional<std::size_t> Choice(std::string_view field, Presence presence,
                                    const std::vector<std::string>& choices);

  // Reads the name of an object: 1 to `kMaxNameBytes` letters, digits, '-', '_'
  // and '.'. Any other name is reported but still returned, so that references
  // to it are not reported as well.
  std::optional<std::string> ObjectName(std::string_view field,
                                        Presence presence);

  // Reads a list of texts. An entry that is empty or not a text is reported and
  // skipped.
  std::optional<std::vector<std::string>> TextList(std::string_view field,
                                                   Presence presence);

  // @return the entries of the list, of any type; none if the field is absent
  //     or not a list
  std::optional<std::vector<YAML::Node>> Sequence(std::string_view field,
                                                  Presence presence);
  // @return the mapping; none if the field is absent or not a mapping
  std::optional<YAML::Node> Mapping(std::string_view field, Presence presence);

  // Adds a finding with the line of the field.
  void Report(FindingKind kind, std::string_view field, std::string problem,
              std::string remedy = "");

  // Reports keys that no method has read, and keys that occur more than once.
  // To be called once, after all fields have been read.
  void Finish();

  const std::string& object() const { return object_; }
  // @return whether the node is a mapping
  bool valid() const { return valid_; }

 private:
  std::optional<Endpoint> ParseAddress(std::string_view field,
                                       const std::string& text);
  std::optional<YAML::Node> Find(std::string_view field, Presence presence);
  std::optional<std::string> Scalar(std::string_view field, Presence presence,
                                    std::string_view expected);
  void ReportDuplicateKey(const std::string& key, int line);
  void ReportUnknownKey(const std::string& key, int line);

  YAML::Node node_;
  std::string object_;
  ReadContext* context_;
  bool valid_;
  std::vector<std::string> known_fields_;
};

// @return `KIND "NAME"`, the label of an object in findings
std::string ObjectLabel(std::string_view kind, std::string_view name);

// Assigns `value` to `*target` if there is one; otherwise `*target` keeps its
// value.
template <typename T, typename Target>
void AssignIfPresent(const std::optional<T>& value, Target* target) {
  if (value) *target = Target{*value};
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_YAML_MAPPING_READER_H_
