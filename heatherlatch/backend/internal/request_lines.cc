#include "heatherlatch/backend/internal/request_lines.h"

#include <algorithm>
#include <cstdio>
#include <iterator>

#include "heatherlatch/backend/internal/response_head_parser.h"

namespace heatherlatch::internal {
namespace {

// Characters of a token: RFC 9110, section 5.6.2.
bool IsTokenCharacter(char c) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool is_digit = c >= '0' && c <= '9';
  return is_letter || is_digit || kSymbols.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), &IsTokenCharacter);
}

bool ContainsLineBreak(std::string_view text) {
  const auto has = [text](char c) {
    return text.find(c) != std::string_view::npos;
  };
  return has('\r') || has('\n') || has('\0');
}

bool HasHeader(const HeaderList& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(), [&](const auto& header) {
    return EqualsIgnoringCase(header.first, name);
  });
}

}  // namespace

std::string MethodToken(std::string_view method) {
  std::string token;
  std::copy_if(method.begin(), method.end(), std::back_inserter(token),
               &IsTokenCharacter);
  return token;
}

std::string EncodeTarget(std::string_view target) {
  std::string encoded;
  encoded.reserve(target.size());
  for (const char c : target) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte > 0x20 && byte < 0x7f) {
      encoded += c;
      continue;
    }
    char escape[4];
    std::snprintf(escape, sizeof(escape), "%%%02X", byte);
    encoded += escape;
  }
  if (encoded.empty() || encoded.front() != '/') encoded.insert(0, "/");
  return encoded;
}

HeaderLines::HeaderLines(const HeaderList& headers) {
  for (const auto& [name, value] : headers) Add(name, value);
  // An empty value suppresses a header that libcurl adds by default.
  if (!HasHeader(headers, "accept")) AddLine("Accept", ":", "");
  if (!HasHeader(headers, "content-type")) AddLine("Content-Type", ":", "");
  AddLine("Expect", ":", "");
  LinkNodes();
}

void HeaderLines::Add(const std::string& name, const std::string& value) {
  if (!IsToken(name) || ContainsLineBreak(value)) return;
  // libcurl writes "Name;" as a header with an empty value.
  AddLine(name, value.empty() ? ";" : ": ", value);
}

void HeaderLines::AddLine(std::string_view name, std::string_view separator,
                          std::string_view value) {
  line_starts_.push_back(text_.size());
  text_.append(name).append(separator).append(value).push_back('\0');
}

void HeaderLines::LinkNodes() {
  nodes_.resize(line_starts_.size());
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].data = text_.data() + line_starts_[i];
    nodes_[i].next = i + 1 < nodes_.size() ? &nodes_[i + 1] : nullptr;
  }
}

}  // namespace heatherlatch::internal
