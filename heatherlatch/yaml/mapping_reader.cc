#include "heatherlatch/yaml/mapping_reader.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "heatherlatch/yaml/closest_name.h"
#include "heatherlatch/yaml/document.h"
#include "heatherlatch/yaml/units.h"

namespace heatherlatch {
namespace {

std::string Quoted(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

std::string Joined(const std::vector<std::string>& texts) {
  std::string joined;
  for (const std::string& text : texts) {
    if (!joined.empty()) joined += ", ";
    joined += text;
  }
  return joined;
}

bool IsNameCharacter(char c) {
  const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool is_digit = c >= '0' && c <= '9';
  return is_letter || is_digit || c == '-' || c == '_' || c == '.';
}

bool IsObjectName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

std::string OutOfRange(std::string_view value, std::string_view min,
                       std::string_view max) {
  return std::string(value) + " is not between " + std::string(min) + " and " +
         std::string(max);
}

// @return the value of the text; none if the complete text is not a number of
//     type T
template <typename T>
std::optional<T> ParseNumber(const std::string& text) {
  T value{};
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

}  // namespace

void SourceLines::AddObject(const std::string& object, int line) {
  object_lines_[object].push_back(line);
}

void SourceLines::AddField(const std::string& object, const std::string& field,
                           int line) {
  field_lines_.emplace(std::make_pair(object, field), line);
}

int SourceLines::FieldLine(const std::string& object,
                           const std::string& field) const {
  const auto field_line = field_lines_.find({object, field});
  if (field_line != field_lines_.end()) return field_line->second;
  const auto object_lines = object_lines_.find(object);
  return object_lines == object_lines_.end() ? 0 : object_lines->second.front();
}

std::vector<int> SourceLines::ObjectLines(const std::string& object) const {
  const auto found = object_lines_.find(object);
  return found == object_lines_.end() ? std::vector<int>() : found->second;
}

MappingReader::MappingReader(const YAML::Node& node, std::string object,
                             ReadContext* context)
    : node_(node),
      object_(std::move(object)),
      context_(context),
      valid_(node.IsMap()) {
  context_->lines.AddObject(object_, LineOf(node_));
  if (!valid_) {
    Report(FindingKind::kWrongType, "", "is not a mapping",
           "write lines such as \"key: value\"");
  }
}

std::optional<YAML::Node> MappingReader::Find(std::string_view field,
                                              Presence presence) {
  known_fields_.emplace_back(field);
  if (!valid_) return std::nullopt;
  for (const auto& entry : node_) {
    if (!entry.first.IsScalar() || entry.first.Scalar() != field) continue;
    context_->lines.AddField(object_, std::string(field), LineOf(entry.first));
    if (entry.second.IsNull()) break;
    return entry.second;
  }
  if (presence == Presence::kRequired) {
    Report(FindingKind::kMissingField, field, "is missing");
  }
  return std::nullopt;
}

std::optional<std::string> MappingReader::Scalar(std::string_view field,
                                                 Presence presence,
                                                 std::string_view expected) {
  const auto node = Find(field, presence);
  if (!node) return std::nullopt;
  if (node->IsScalar()) return node->Scalar();
  Report(FindingKind::kWrongType, field, "is not " + std::string(expected));
  return std::nullopt;
}

std::optional<std::string> MappingReader::Text(std::string_view field,
                                               Presence presence) {
  return Scalar(field, presence, "a text");
}

std::optional<std::string> MappingReader::Reference(std::string_view field,
                                                    Presence presence) {
  auto text = Scalar(field, presence, "a name");
  if (!text || !text->empty()) return text;
  Report(FindingKind::kOutOfRange, field, "is empty");
  return std::nullopt;
}

std::optional<bool> MappingReader::Boolean(std::string_view field,
                                           Presence presence) {
  const auto text = Scalar(field, presence, "true or false");
  if (!text) return std::nullopt;
  if (*text == "true") return true;
  if (*text == "false") return false;
  Report(FindingKind::kWrongType, field,
         Quoted(*text) + " is not true or false");
  return std::nullopt;
}

std::optional<int> MappingReader::Integer(std::string_view field,
                                          Presence presence, Range<int> range) {
  const auto text = Scalar(field, presence, "a whole number");
  if (!text) return std::nullopt;
  const auto value = ParseNumber<std::int64_t>(*text);
  if (!value) {
    Report(FindingKind::kWrongType, field,
           Quoted(*text) + " is not a whole number");
    return std::nullopt;
  }
  if (*value >= range.min && *value <= range.max) {
    return static_cast<int>(*value);
  }
  Report(
      FindingKind::kOutOfRange, field,
      OutOfRange(*text, std::to_string(range.min), std::to_string(range.max)));
  return std::nullopt;
}

std::optional<double> MappingReader::Number(std::string_view field,
                                            Presence presence,
                                            Range<double> range) {
  const auto text = Scalar(field, presence, "a number");
  if (!text) return std::nullopt;
  const auto value = ParseNumber<double>(*text);
  if (!value) {
    Report(FindingKind::kWrongType, field, Quoted(*text) + " is not a number");
    return std::nullopt;
  }
  if (*value >= range.min && *value <= range.max) return *value;
  Report(FindingKind::kOutOfRange, field,
         OutOfRange(*text, FormatNumber(range.min), FormatNumber(range.max)));
  return std::nullopt;
}

std::optional<Duration> MappingReader::Time(std::string_view field,
                                            Presence presence,
                                            Range<Duration> range) {
  const auto text = Scalar(field, presence, "a duration");
  if (!text) return std::nullopt;
  const auto value = ParseDuration(*text);
  if (!value) {
    Report(FindingKind::kWrongType, field, Quoted(*text) + " is not a duration",
           "write a whole number and ms, s, m or h, such as 250ms");
    return std::nullopt;
  }
  if (*value >= range.min && *value <= range.max) return value;
  Report(
      FindingKind::kOutOfRange, field,
      OutOfRange(*text, FormatDuration(range.min), FormatDuration(range.max)));
  return std::nullopt;
}

std::optional<std::uint64_t> MappingReader::Size(std::string_view field,
                                                 Presence presence,
                                                 Range<std::uint64_t> range) {
  const auto text = Scalar(field, presence, "a size");
  if (!text) return std::nullopt;
  const auto value = ParseSize(*text);
  if (!value) {
    Report(FindingKind::kWrongType, field, Quoted(*text) + " is not a size",
           "write a whole number and B, KB or MB, such as 64KB");
    return std::nullopt;
  }
  if (*value >= range.min && *value <= range.max) return value;
  Report(FindingKind::kOutOfRange, field,
         OutOfRange(*text, FormatSize(range.min), FormatSize(range.max)));
  return std::nullopt;
}

std::optional<Endpoint> MappingReader::Address(std::string_view field,
                                               Presence presence) {
  const auto text = Scalar(field, presence, "an endpoint");
  if (!text) return std::nullopt;
  return ParseAddress(field, *text);
}

std::optional<std::vector<Endpoint>> MappingReader::AddressList(
    std::string_view field, Presence presence) {
  const auto texts = TextList(field, presence);
  if (!texts) return std::nullopt;
  std::vector<Endpoint> addresses;
  for (const std::string& text : *texts) {
    std::optional<Endpoint> address = ParseAddress(field, text);
    if (address) addresses.push_back(std::move(*address));
  }
  return addresses;
}

std::optional<Endpoint> MappingReader::ParseAddress(std::string_view field,
                                                    const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<Endpoint>> {
        BOOST_LEAF_AUTO(endpoint, ParseEndpoint(text));
        return std::optional<Endpoint>(std::move(endpoint));
      },
      [&](const EndpointError& error) -> std::optional<Endpoint> {
        Report(FindingKind::kWrongType, field, ToString(error));
        return std::nullopt;
      },
      [&]() -> std::optional<Endpoint> {
        Report(FindingKind::kWrongType, field,
               Quoted(text) + " is not an endpoint");
        return std::nullopt;
      });
}

std::optional<std::size_t> MappingReader::Choice(
    std::string_view field, Presence presence,
    const std::vector<std::string>& choices) {
  const auto text = Scalar(field, presence, "a text");
  if (!text) return std::nullopt;
  const auto found = std::find(choices.begin(), choices.end(), *text);
  if (found != choices.end()) return found - choices.begin();
  Report(FindingKind::kOutOfRange, field,
         Quoted(*text) + " is not one of " + Joined(choices),
         DidYouMean(*text, choices));
  return std::nullopt;
}

std::optional<std::string> MappingReader::ObjectName(std::string_view field,
                                                     Presence presence) {
  auto text = Scalar(field, presence, "a name");
  if (!text || IsObjectName(*text)) return text;
  Report(FindingKind::kOutOfRange, field, Quoted(*text) + " is not a name",
         "use 1 to " + std::to_string(kMaxNameBytes) +
             " letters, digits, hyphens, dots or underscores");
  return text;
}

std::optional<std::vector<std::string>> MappingReader::TextList(
    std::string_view field, Presence presence) {
  const auto entries = Sequence(field, presence);
  if (!entries) return std::nullopt;
  std::vector<std::string> texts;
  int number = 0;
  for (const YAML::Node& entry : *entries) {
    ++number;
    const std::string label = "entry " + std::to_string(number);
    if (!entry.IsScalar()) {
      Report(FindingKind::kWrongType, field, label + " is not a text");
    } else if (entry.Scalar().empty()) {
      Report(FindingKind::kOutOfRange, field, label + " is empty");
    } else {
      texts.push_back(entry.Scalar());
    }
  }
  return texts;
}

std::optional<std::vector<YAML::Node>> MappingReader::Sequence(
    std::string_view field, Presence presence) {
  const auto node = Find(field, presence);
  if (!node) return std::nullopt;
  if (!node->IsSequence()) {
    Report(FindingKind::kWrongType, field, "is not a list",
           "start each entry with \"- \"");
    return std::nullopt;
  }
  std::vector<YAML::Node> entries;
  for (const auto& entry : *node) entries.push_back(entry);
  return entries;
}

std::optional<YAML::Node> MappingReader::Mapping(std::string_view field,
                                                 Presence presence) {
  const auto node = Find(field, presence);
  if (!node) return std::nullopt;
  if (node->IsMap()) return node;
  Report(FindingKind::kWrongType, field, "is not a mapping",
         "write lines such as \"key: value\"");
  return std::nullopt;
}

void MappingReader::Report(FindingKind kind, std::string_view field,
                           std::string problem, std::string remedy) {
  const std::string name(field);
  context_->findings.push_back({kind, context_->lines.FieldLine(object_, name),
                                object_, name, std::move(problem),
                                std::move(remedy)});
}

void MappingReader::Finish() {
  if (!valid_) return;
  std::set<std::string> seen;
  for (const auto& entry : node_) {
    const int line = LineOf(entry.first);
    const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
    if (!seen.insert(key).second) {
      ReportDuplicateKey(key, line);
      continue;
    }
    const bool known = std::find(known_fields_.begin(), known_fields_.end(),
                                 key) != known_fields_.end();
    if (!known) ReportUnknownKey(key, line);
  }
}

void MappingReader::ReportDuplicateKey(const std::string& key, int line) {
  context_->findings.push_back({FindingKind::kDuplicateName, line, object_, key,
                                "stands twice", "keep one of the two lines"});
}

void MappingReader::ReportUnknownKey(const std::string& key, int line) {
  std::string remedy = DidYouMean(key, known_fields_);
  if (remedy.empty()) remedy = "the fields are " + Joined(known_fields_);
  context_->findings.push_back({FindingKind::kUnknownKey, line, object_, key,
                                "is not a known field", std::move(remedy)});
}

std::string ObjectLabel(std::string_view kind, std::string_view name) {
  return std::string(kind) + " " + Quoted(name);
}

}  // namespace heatherlatch
