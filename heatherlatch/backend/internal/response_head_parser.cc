#include "heatherlatch/backend/internal/response_head_parser.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace heatherlatch::internal {
namespace {

constexpr std::size_t kMaxHeadBytes = 65536;
constexpr int kStatusSwitchingProtocols = 101;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;
constexpr int kStatusServiceUnavailable = 503;

constexpr std::string_view kHopByHopHeaders[] = {"connection",
                                                 "keep-alive",
                                                 "proxy-authenticate",
                                                 "proxy-authorization",
                                                 "proxy-connection",
                                                 "te",
                                                 "trailer",
                                                 "transfer-encoding",
                                                 "upgrade"};

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) return {};
  const auto last = text.find_last_not_of(" \t\r\n");
  return text.substr(first, last - first + 1);
}

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

std::vector<std::string> SplitList(std::string_view value) {
  std::vector<std::string> elements;
  while (!value.empty()) {
    const auto comma = std::min(value.find(','), value.size());
    const std::string_view element = Trim(value.substr(0, comma));
    if (!element.empty()) elements.emplace_back(element);
    value.remove_prefix(std::min(comma + 1, value.size()));
  }
  return elements;
}

bool IsHopByHopHeader(std::string_view name) {
  return std::any_of(
      std::begin(kHopByHopHeaders), std::end(kHopByHopHeaders),
      [name](auto header) { return EqualsIgnoringCase(header, name); });
}

HeadProgress ResponseHeadParser::ParseLine(std::string_view line) {
  head_bytes_ += line.size();
  if (head_bytes_ > kMaxHeadBytes) return HeadProgress::kMalformed;
  const std::string_view text = Trim(line);
  if (!in_head_) return ParseStatusLine(text);
  if (text.empty()) return FinishHead();
  const bool is_continuation = line.front() == ' ' || line.front() == '\t';
  const auto colon = line.find(':');
  if (is_continuation || colon == std::string_view::npos || colon == 0) {
    return HeadProgress::kMalformed;
  }
  const std::string_view name = line.substr(0, colon);
  if (Trim(name).size() != name.size()) return HeadProgress::kMalformed;
  return ParseHeader(name, Trim(line.substr(colon + 1)));
}

HeadProgress ResponseHeadParser::ParseStatusLine(std::string_view line) {
  // "HTTP/1.1 200 OK"; the reason phrase is optional.
  constexpr std::string_view kVersionPrefix = "HTTP/1.";
  constexpr std::size_t kStatusOffset = 9;
  constexpr std::size_t kStatusDigits = 3;
  if (line.substr(0, kVersionPrefix.size()) != kVersionPrefix ||
      line.size() < kStatusOffset + kStatusDigits ||
      line[kStatusOffset - 1] != ' ') {
    return HeadProgress::kMalformed;
  }
  const auto status =
      ParseNumber<int>(line.substr(kStatusOffset, kStatusDigits));
  const std::string_view rest = line.substr(kStatusOffset + kStatusDigits);
  if (!status || *status < 100 || *status > 599 ||
      (!rest.empty() && rest.front() != ' ')) {
    return HeadProgress::kMalformed;
  }
  head_.status = *status;
  in_head_ = true;
  return HeadProgress::kIncomplete;
}

HeadProgress ResponseHeadParser::ParseHeader(std::string_view name,
                                             std::string_view value) {
  if (EqualsIgnoringCase(name, "content-length")) {
    return ParseContentLength(value);
  }
  if (EqualsIgnoringCase(name, "transfer-encoding")) {
    if (chunked_ || !EqualsIgnoringCase(value, "chunked")) {
      return HeadProgress::kMalformed;
    }
    chunked_ = true;
  } else if (EqualsIgnoringCase(name, "connection")) {
    for (std::string& option : SplitList(value)) {
      connection_options_.push_back(std::move(option));
    }
  }
  ParseExtensionHeader(name, value);
  if (!IsHopByHopHeader(name)) head_.headers.emplace_back(name, value);
  return HeadProgress::kIncomplete;
}

HeadProgress ResponseHeadParser::ParseContentLength(std::string_view value) {
  const auto length = ParseNumber<std::uint64_t>(value);
  if (!length) return HeadProgress::kMalformed;
  if (head_.content_length && *head_.content_length != *length) {
    return HeadProgress::kMalformed;
  }
  head_.content_length = length;
  return HeadProgress::kIncomplete;
}

HeadProgress ResponseHeadParser::FinishHead() {
  if (head_.status == kStatusSwitchingProtocols) {
    return HeadProgress::kMalformed;
  }
  if (head_.status < 200) {
    *this = ResponseHeadParser(head_request_);
    return HeadProgress::kIncomplete;
  }
  if (chunked_ && head_.content_length) return HeadProgress::kMalformed;
  const bool without_body = head_request_ || head_.status == kStatusNoContent ||
                            head_.status == kStatusNotModified;
  if (without_body) {
    body_end_ = BodyEnd::kNone;
  } else if (chunked_) {
    body_end_ = BodyEnd::kFinalChunk;
  } else if (head_.content_length) {
    body_end_ = BodyEnd::kLength;
  } else {
    body_end_ = BodyEnd::kConnectionClose;
  }
  RemoveConnectionOptionHeaders();
  return HeadProgress::kComplete;
}

void ResponseHeadParser::ParseExtensionHeader(std::string_view name,
                                              std::string_view value) {
  constexpr std::string_view kExtensionPrefix = "x-";
  if (!EqualsIgnoringCase(name.substr(0, kExtensionPrefix.size()),
                          kExtensionPrefix)) {
    return;
  }
  if (EqualsIgnoringCase(name, "x-boot-id")) {
    server_status_.boot_id = ParseNumber<std::uint64_t>(value);
  } else if (EqualsIgnoringCase(name, "x-in-flight")) {
    server_status_.in_flight = ParseNumber<int>(value);
  } else if (EqualsIgnoringCase(name, "x-server-state")) {
    server_status_.cold = value == "cold";
    server_status_.draining = value == "draining";
  } else if (EqualsIgnoringCase(name, "x-not-run")) {
    not_run_ = value;
  } else if (EqualsIgnoringCase(name, "x-request-id")) {
    request_id_ = value;
  }
}

void ResponseHeadParser::RemoveConnectionOptionHeaders() {
  for (const std::string& option : connection_options_) {
    const auto is_named = [&option](const auto& header) {
      return EqualsIgnoringCase(header.first, option);
    };
    head_.headers.erase(
        std::remove_if(head_.headers.begin(), head_.headers.end(), is_named),
        head_.headers.end());
  }
}

std::optional<BackendNotRunReason> ResponseHeadParser::refusal() const {
  if (head_.status != kStatusServiceUnavailable) return std::nullopt;
  if (not_run_ == "shed") return BackendNotRunReason::kShed;
  if (not_run_ == "draining") return BackendNotRunReason::kDraining;
  if (not_run_ == "deadline") return BackendNotRunReason::kDeadlineTooShort;
  return std::nullopt;
}

}  // namespace heatherlatch::internal
