#include "heatherlatch/at_most_once/request_key.h"

#include <charconv>

namespace heatherlatch {
namespace {

constexpr std::size_t kNonceDigits = 16;
constexpr std::size_t kMaxErrorTextBytes = 64;

RequestKeyError ErrorAbout(std::string_view text, RequestKeyProblem problem) {
  return {problem, std::string(text.substr(0, kMaxErrorTextBytes))};
}

// Reads an unsigned number that takes up the whole text.
bool ParseWhole(std::string_view text, int base, std::uint64_t* value) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, *value, base);
  return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

Result<Ticket> ParseTicket(std::string_view text) {
  const auto malformed = [text] {
    return Fail(ErrorAbout(text, RequestKeyProblem::kMalformedTicket));
  };
  const auto dot = text.rfind('.');
  if (dot == std::string_view::npos) return malformed();
  const auto hash = text.substr(0, dot).rfind('#');
  if (hash == std::string_view::npos || hash == 0) return malformed();
  const std::string_view nonce = text.substr(hash + 1, dot - hash - 1);
  Ticket ticket;
  ticket.issuer.host = HostName(std::string(text.substr(0, hash)));
  if (nonce.size() != kNonceDigits) return malformed();
  if (!ParseWhole(nonce, 16, &ticket.issuer.nonce)) return malformed();
  if (!ParseWhole(text.substr(dot + 1), 10, &ticket.sequence)) {
    return malformed();
  }
  // One ticket has one text form.
  if (ToString(ticket) != text) return malformed();
  return ticket;
}

Result<CallerKey> MakeCallerKey(const OrganisationName& organisation,
                                std::string_view key) {
  if (key.empty()) {
    return Fail(ErrorAbout(key, RequestKeyProblem::kEmptyKey));
  }
  if (key.size() > kMaxCallerKeyBytes) {
    return Fail(ErrorAbout(key, RequestKeyProblem::kKeyTooLong));
  }
  return CallerKey{organisation, std::string(key)};
}

std::string ToString(const Ticket& ticket) {
  return ToString(ticket.issuer) + "." + std::to_string(ticket.sequence);
}

std::string ToString(const RequestKey& key) {
  if (const auto* ticket = std::get_if<Ticket>(&key)) {
    return "ticket:" + ToString(*ticket);
  }
  const auto& caller_key = std::get<CallerKey>(key);
  const std::string& organisation = caller_key.organisation.str();
  // The length keeps organisation and key apart, whatever bytes they hold.
  return "key:" + std::to_string(organisation.size()) + ":" + organisation +
         ":" + caller_key.key;
}

std::string ToString(const RequestKeyError& error) {
  switch (error.problem) {
    case RequestKeyProblem::kMalformedTicket:
      return "ticket \"" + error.text + "\" is not of the form " +
             "HOST#NONCE.SEQUENCE";
    case RequestKeyProblem::kEmptyKey:
      return "idempotency key is empty";
    case RequestKeyProblem::kKeyTooLong:
      return "idempotency key that begins \"" + error.text +
             "\" is longer than " + std::to_string(kMaxCallerKeyBytes) +
             " bytes";
  }
  return "request key is not valid";
}

}  // namespace heatherlatch
