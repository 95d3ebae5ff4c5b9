// Reads the fields of one YAML mapping and reports every problem in it.
//
// Each method names one field. A field that is absent gives no value, and a
// finding if it is required; a field of the wrong type or out of range gives a
// finding and no value. `Finish` reports the keys that no method asked for.
//
// Example:
//   MappingReader reader(node, "zone", "zone 2", &context);
//   reader.Read("region", Presence::kRequired, TextField(), &zone.region);
//   reader.Finish();
//
// Thread safety: none.
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

// Where each field of each object stands in the document.
class SourceLines {
 public:
  void NoteObject(const std::string& object, int line);
  void NoteField(const std::string& object, const std::string& field, int line);

  // @return the line of the field, or of the object where the field is absent;
  //     0 where neither is known
  int Of(const std::string& object, const std::string& field = "") const;

  // @return the lines of every object of this name, in the order of the
  //     document
  std::vector<int> OfEach(const std::string& object) const;

 private:
  std::map<std::string, std::vector<int>> object_lines_;
  std::map<std::pair<std::string, std::string>, int> field_lines_;
};

// What reading a document produces besides the values.
struct ReadContext {
  std::vector<Finding> findings;
  SourceLines lines;
};

class MappingReader {
 public:
  // @param node     the mapping; any other node is reported
  // @param object   the name of the object in findings, such as `route "tally"`
  // @param context  receives findings and lines; outlives the reader
  MappingReader(const YAML::Node& node, std::string object,
                ReadContext* context);

  std::optional<std::string> Text(std::string_view field, Presence presence);
  // Reads the name of another object; an empty text is reported.
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
  // Reads a list of endpoints; an entry that is none is reported and left out.
  std::optional<std::vector<Endpoint>> AddressList(std::string_view field,
                                                   Presence presence);

  // Reads a text that must be one of `choices`.
  // @return its index
  std::optional<std::size_t> Choice(std::string_view field, Presence presence,
                                    const std::vector<std::string>& choices);

  // Reads the name of an object: letters, digits, '-', '_' and '.'. A name with
  // other characters is reported and still returned, so that references to it
  // are not reported as well.
  std::optional<std::string> ObjectName(std::string_view field,
                                        Presence presence);

  // Reads a list of texts; an entry that is empty is reported and left out.
  std::optional<std::vector<std::string>> TextList(std::string_view field,
                                                   Presence presence);

  // Reads a list of mappings.
  // @return its entries; none where the field is absent or not a list
  std::optional<std::vector<YAML::Node>> Sequence(std::string_view field,
                                                  Presence presence);
  // @return the mapping; none where the field is absent or not a mapping
  std::optional<YAML::Node> Mapping(std::string_view field, Presence presence);

  // Reports a problem of a field.
  void Report(FindingKind kind, std::string_view field, std::string problem,
              std::string remedy = "");

  // Reports keys that were not asked for, and keys that stand twice.
  void Finish();

  const std::string& object() const { return object_; }
  // @return whether the node is a mapping
  bool valid() const { return valid_; }

 private:
  std::optional<Endpoint> ToAddress(std::string_view field,
                                    const std::string& text);
  std::optional<YAML::Node> Find(std::string_view field, Presence presence);
  std::optional<std::string> Scalar(std::string_view field, Presence presence,
                                    std::string_view expected);
  void ReportKeyTwice(const std::string& key, int line);
  void ReportUnknownKey(const std::string& key, int line);

  YAML::Node node_;
  std::string object_;
  ReadContext* context_;
  bool valid_;
  std::vector<std::string> asked_;
};

// @return `KIND "NAME"`, the form in which findings name an object
std::string ObjectLabel(std::string_view kind, std::string_view name);

// Assigns `value` where there is one; otherwise keeps the default.
template <typename T, typename Target>
void AssignIfPresent(const std::optional<T>& value, Target* target) {
  if (value) *target = Target{*value};
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_YAML_MAPPING_READER_H_
