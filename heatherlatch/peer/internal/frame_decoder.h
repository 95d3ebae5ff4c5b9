// Decodes messages from the tokens of a frame.
//
// The first fault is recorded with the path of its field. Fields after it are
// not decoded, and the message must not be used.
//
// Thread safety: none; use one decoder for each frame.
#ifndef HEATHERLATCH_PEER_INTERNAL_FRAME_DECODER_H_
#define HEATHERLATCH_PEER_INTERNAL_FRAME_DECODER_H_

#include <chrono>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "heatherlatch/peer/internal/cbor.h"
#include "heatherlatch/peer/internal/message_fields.h"

namespace heatherlatch::peer_internal {

// A missing or invalid field.
struct FieldFault {
  FrameProblem problem = FrameProblem::kBadField;
  std::string path;  // Such as "group.zone".
};

// Visitor of `Fields<T>::Visit` that reads the fields from one object, or from
// one array if the struct is `Positional`. Strings are moved out of the tokens.
class FrameDecoder {
 public:
  // @param tokens  must outlive the decoder
  // @param object  index of an object or array in `tokens`
  FrameDecoder(TokenList* tokens, std::size_t object)
      : tokens_(*tokens), object_(object), next_(object + 1) {}

  template <typename T>
  void Required(const char* name, T& field) {
    if (fault_) return;
    const auto value = Find(name);
    if (!value) return Fail(FrameProblem::kMissingField, name);
    DecodeNamed(name, *value, &field);
  }

  template <typename T, typename DefaultValue = T>
  void Optional(const char* name, T& field, const DefaultValue& default_value) {
    if (fault_) return;
    const auto value = Find(name);
    if (!value) {
      field = default_value;
      return;
    }
    DecodeNamed(name, *value, &field);
  }

  void Bytes(const char* name, std::string& field) {
    if (fault_) return;
    const auto value = Find(name);
    if (!value) return Fail(FrameProblem::kMissingField, name);
    if (!TakeString(*value, TokenType::kBytes, &field)) {
      Fail(FrameProblem::kBadField, name);
    }
  }

  // @return the first fault, if any
  template <typename T>
  std::optional<FieldFault> Read(T* message) {
    Fields<T>::Visit(*this, *message);
    return std::move(fault_);
  }

  // @return the index of the value of a field; std::nullopt if it is missing
  std::optional<std::size_t> Find(std::string_view name) {
    if (tokens_[object_].type == TokenType::kArray) return NextItem();
    // The encoder writes fields in the order of `Visit`, so the search starts
    // after the last field found; it wraps around for any other order.
    const std::size_t end = tokens_[object_].number;
    auto found = FindBetween(name, next_, end);
    if (!found) found = FindBetween(name, object_ + 1, next_);
    if (found) next_ = tokens_.IndexAfter(*found);
    return found;
  }

 private:
  std::optional<std::size_t> NextItem() {
    if (next_ >= tokens_[object_].number) return std::nullopt;
    const std::size_t item = next_;
    next_ = tokens_.IndexAfter(item);
    return item;
  }

  std::optional<std::size_t> FindBetween(std::string_view name,
                                         std::size_t begin, std::size_t end) {
    for (std::size_t key = begin; key < end;
         key = tokens_.IndexAfter(key + 1)) {
      if (tokens_[key].text == name) return key + 1;
    }
    return std::nullopt;
  }

  void Fail(FrameProblem problem, const char* name) {
    fault_ = FieldFault{problem, name};
  }

  template <typename T>
  void DecodeNamed(const char* name, std::size_t value, T* field) {
    if (Decode(value, field)) return;
    if (!fault_) return Fail(FrameProblem::kBadField, name);
    fault_->path = std::string(name) + '.' + fault_->path;
  }

  bool TakeString(std::size_t value, TokenType type, std::string* field) {
    Token& token = tokens_[value];
    if (token.type != type) return false;
    *field = std::move(token.text);
    return true;
  }

  // Each `Decode` returns whether the value at the index has the type and range
  // of the field.
  bool Decode(std::size_t value, bool* field) {
    const Token& token = tokens_[value];
    *field = token.number != 0;
    return token.type == TokenType::kBoolean;
  }

  template <typename Integer>
  bool DecodeInteger(std::size_t value, Integer* field) {
    using Limits = std::numeric_limits<Integer>;
    const Token& token = tokens_[value];
    *field = static_cast<Integer>(token.number);
    if (token.type == TokenType::kUnsigned) {
      return token.number <= static_cast<std::uint64_t>(Limits::max());
    }
    const auto negative = static_cast<std::int64_t>(token.number);
    return token.type == TokenType::kNegative && Limits::is_signed &&
           negative >= static_cast<std::int64_t>(Limits::min());
  }
  bool Decode(std::size_t value, int* field) {
    return DecodeInteger(value, field);
  }
  bool Decode(std::size_t value, std::uint16_t* field) {
    return DecodeInteger(value, field);
  }
  bool Decode(std::size_t value, std::uint64_t* field) {
    return DecodeInteger(value, field);
  }

  bool Decode(std::size_t value, Duration* field) {
    using std::chrono::microseconds;
    constexpr auto kMax =
        std::chrono::duration_cast<microseconds>(Duration::max()).count();
    std::int64_t count = 0;
    if (!DecodeInteger(value, &count)) return false;
    if (count > kMax || count < -kMax) return false;
    *field = microseconds(count);
    return true;
  }

  bool Decode(std::size_t value, std::string* field) {
    return TakeString(value, TokenType::kText, field);
  }

  template <typename Tag>
  bool Decode(std::size_t value, Name<Tag>* field) {
    std::string text;
    if (!Decode(value, &text)) return false;
    *field = Name<Tag>(std::move(text));
    return true;
  }

  template <typename T>
  bool Decode(std::size_t value, std::optional<T>* field) {
    return Decode(value, &field->emplace());
  }

  template <typename T>
  bool Decode(std::size_t value, std::shared_ptr<const T>* field) {
    auto object = std::make_shared<T>();
    if (!Decode(value, object.get())) return false;
    *field = std::move(object);
    return true;
  }

  // @return the indexes of the items; std::nullopt if the value is not an array
  std::optional<std::vector<std::size_t>> ItemIndexes(std::size_t value) {
    if (tokens_[value].type != TokenType::kArray) return std::nullopt;
    std::vector<std::size_t> items;
    const std::size_t end = tokens_[value].number;
    for (std::size_t item = value + 1; item < end;
         item = tokens_.IndexAfter(item)) {
      items.push_back(item);
    }
    return items;
  }

  template <typename T>
  bool Decode(std::size_t value, std::vector<T>* field) {
    const auto items = ItemIndexes(value);
    if (!items) return false;
    field->resize(items->size());
    for (std::size_t i = 0; i < items->size(); ++i) {
      if (!Decode((*items)[i], &(*field)[i])) return false;
    }
    return true;
  }

  bool Decode(std::size_t value, std::pair<std::string, std::string>* header) {
    const auto items = ItemIndexes(value);
    return items && items->size() == 2 &&
           TakeString((*items)[0], TokenType::kBytes, &header->first) &&
           TakeString((*items)[1], TokenType::kBytes, &header->second);
  }

  bool Decode(std::size_t value, RequestKey* field) {
    if (tokens_[value].type != TokenType::kObject) return false;
    const bool is_ticket =
        FrameDecoder(&tokens_, value).Find("issuer").has_value();
    return is_ticket ? Decode(value, &field->emplace<Ticket>())
                     : Decode(value, &field->emplace<CallerKey>());
  }

  bool Decode(std::size_t value, Outcome* field) {
    const auto items = ItemIndexes(value);
    std::string kind;
    if (!items || items->empty() || !Decode(items->front(), &kind)) {
      return false;
    }
    if (items->size() == 1) {
      *field = Ran{};
      return kind == ToString(*field);
    }
    if (kind == ToString(*field = NotRun{})) {
      return Decode(items->back(), &std::get<NotRun>(*field).reason);
    }
    if (kind == ToString(*field = Unknown{})) {
      return Decode(items->back(), &std::get<Unknown>(*field).reason);
    }
    return false;
  }

  template <typename T>
  bool Decode(std::size_t value, T* field) {
    if constexpr (std::is_enum_v<T>) {
      return DecodeEnum(value, field);
    } else {
      return DecodeObject(value, field);
    }
  }

  template <typename T>
  bool DecodeEnum(std::size_t value, T* field) {
    int number = 0;
    if (!DecodeInteger(value, &number)) return false;
    if (number < 0 || number > static_cast<int>(LastValue<T>::kValue)) {
      return false;
    }
    *field = static_cast<T>(number);
    return true;
  }

  template <typename T>
  bool DecodeObject(std::size_t value, T* field) {
    constexpr TokenType kContainerType =
        kIsPositional<T> ? TokenType::kArray : TokenType::kObject;
    if (tokens_[value].type != kContainerType) return false;
    fault_ = FrameDecoder(&tokens_, value).Read(field);
    return !fault_;
  }

  TokenList& tokens_;
  std::size_t object_;
  std::size_t next_;  // Index at which the search for the next field starts.
  std::optional<FieldFault> fault_;
};

}  // namespace heatherlatch::peer_internal

#endif  // HEATHERLATCH_PEER_INTERNAL_FRAME_DECODER_H_
