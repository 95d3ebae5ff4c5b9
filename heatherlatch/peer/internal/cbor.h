// Frames as CBOR, by nlohmann-json, without a tree of values in between.
//
// Reading gives a flat list of tokens with bounded nesting; writing passes each
// value to the library and marks objects and arrays by their begin and end
// (RFC 8949, 3.2.1: indefinite length). A tree took three times as long for a
// slot request.
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

// The parser calls itself for each level, so nesting must be bounded.
inline constexpr std::size_t kMaxNesting = 16;
// A token takes more memory than its one or two bytes in a frame.
inline constexpr std::size_t kMaxTokens = 1000000;

enum class TokenType {
  kOther,  // Null and floating point numbers, which no field has.
  kBoolean,
  kUnsigned,
  kNegative,
  kText,
  kBytes,
  kKey,  // The name of a field; its value follows.
  kObject,
  kArray,
  kEnd,  // Of an object or array.
};

struct Token {
  TokenType type = TokenType::kOther;
  // The value of a number or boolean, negative numbers in two's complement; of
  // an object or array the index of its `kEnd`.
  std::uint64_t number = 0;
  std::string text;  // Of a text, a byte string or a key.
};

// The values of one frame. Strings are moved out as they are decoded.
class TokenList {
 public:
  // @return the tokens of one CBOR value; none where the bytes are not CBOR or
  //     exceed a limit
  static std::optional<TokenList> Parse(std::string_view bytes);

  Token& operator[](std::size_t index) { return tokens_[index]; }

  // @return the index after the value at `index`
  std::size_t IndexAfter(std::size_t index) const;

 private:
  friend class TokenCollector;
  std::vector<Token> tokens_;
};

// Appends CBOR values to a text.
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
