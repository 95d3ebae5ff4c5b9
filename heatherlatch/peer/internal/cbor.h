// CBOR reader and writer on nlohmann-json that builds no DOM.
//
// Reading yields a flat list of tokens with bounded nesting; writing passes
// each value to the library and delimits objects and arrays by begin and end
// markers (RFC 8949, 3.2.1: indefinite length). Decoding a slot request through
// a DOM takes three times as long.
//
// Thread safety: value types; distinct objects are independent.
#ifndef HEATHERLATCH_PEER_INTERNAL_CBOR_H_
#define HEATHERLATCH_PEER_INTERNAL_CBOR_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherlatch::peer_internal {

using Json = nlohmann::json;

// The parser recurses for each level; the bound prevents a stack overflow.
inline constexpr std::size_t kMaxNesting = 16;
// Bounds memory: a token takes more than its one or two bytes in a frame.
inline constexpr std::size_t kMaxTokens = 1000000;

enum class TokenType {
  kOther,  // Null or a floating-point number; no field has such a value.
  kBoolean,
  kUnsigned,
  kNegative,
  kText,
  kBytes,
  kKey,  // The name of a field; its value follows.
  kObject,
  kArray,
  kEnd,  // End of an object or array.
};

struct Token {
  TokenType type = TokenType::kOther;
  // The value of a number or boolean, with negative numbers in two's
  // complement; for an object or array the index of its `kEnd`.
  std::uint64_t number = 0;
  std::string text;  // The value of a text, a byte string or a key.
};

// The tokens of one frame. The decoder moves strings out of them.
class TokenList {
 public:
  // @return the tokens of one CBOR value; std::nullopt if the bytes are not
  //     CBOR or exceed a limit
  static std::optional<TokenList> Parse(std::string_view bytes);

  Token& operator[](std::size_t index) { return tokens_[index]; }

  // @return the index of the token that follows the value at `index`
  std::size_t IndexAfter(std::size_t index) const;

 private:
  friend class TokenCollector;
  std::vector<Token> tokens_;
};

// Appends CBOR values to a string.
class CborWriter {
 public:
  // @param out  must outlive the writer
  explicit CborWriter(std::string* out) : out_(*out), adapter_(*out) {}

  void BeginObject();
  void BeginArray();
  void End();
  // Writes a number, a boolean, a text or a byte string.
  void Write(const Json& value) { Json::to_cbor(value, adapter_); }

 private:
  std::string& out_;
  nlohmann::detail::output_adapter<char> adapter_;
};

}  // namespace heatherlatch::peer_internal

#endif  // HEATHERLATCH_PEER_INTERNAL_CBOR_H_
