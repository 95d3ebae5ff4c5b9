#include "heatherlatch/at_most_once/request_key.h"

#include <charconv>

namespace heatherlatch {
namespace {

constexpr std::size_t kNonceDigits = 16;
constexpr std::size_t kMaxErrorTextBytes = 64;

RequestKeyError MakeError(std::string_view text, RequestKeyProblem problem) {
  return {problem, std::string(text.substr(0, kMaxErrorTextBytes))};
}

// Parses `text`, all of it, as an unsigned number.
// @return whether it is one
bool ParseUnsigned(std::string_view text, int base, std::uint64_t* value) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, *value, base);
  return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

Result<Ticket> ParseTicket(std::string_view text) {
  const auto malformed = [text] {
    return Fail(MakeError(text, RequestKeyProblem::kMalformedTicket));
  };
  const auto dot_at = text.rfind('.');
  if (dot_at == std::string_view::npos) return malformed();
  const auto hash_at = text.substr(0, dot_at).rfind('#');
  if (hash_at == std::string_view::npos || hash_at == 0) return malformed();
  const std::string_view nonce = text.substr(hash_at + 1, dot_at - hash_at - 1);
  Ticket ticket;
  ticket.issuer.host = HostName(std::string(text.substr(0, hash_at)));
  if (nonce.size() != kNonceDigits) return malformed();
  if (!ParseUnsigned(nonce, 16, &ticket.issuer.nonce)) return malformed();
  if (!ParseUnsigned(text.substr(dot_at + 1), 10, &ticket.sequence)) {
    return malformed();
  }
  // A ticket has exactly one text form; others, such as leading zeros, are
  // refused.
  if (ToString(ticket) != text) return malformed();
  return ticket;
}

Result<CallerKey> MakeCallerKey(const OrganisationName& organisation,
                                std::string_view key) {
  if (key.empty()) {
    return Fail(MakeError(key, RequestKeyProblem::kEmptyKey));
  }
  if (key.size() > kMaxCallerKeyBytes) {
    return Fail(MakeError(key, RequestKeyProblem::kKeyTooLong));
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
  // The length separates organisation and key unambiguously, whatever bytes
  // they contain.
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
