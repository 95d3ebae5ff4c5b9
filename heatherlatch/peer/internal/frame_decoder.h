// Turns JSON values into messages.
//
// The first fault is kept, with the path of the field that it is in; what is
// read after a fault does not count.
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

#include "heatherlatch/peer/internal/json.h"
#include "heatherlatch/peer/internal/message_fields.h"

namespace heatherlatch::peer_internal {

// Where and how a value differs from what a message needs.
struct FieldFault {
  FrameProblem problem = FrameProblem::kBadField;
  std::string path;  // Such as "group.zone".
};

// Reads the fields that `Fields<T>::Visit` shows from a JSON object, which is
// consumed: strings are moved out of it.
class FrameDecoder {
 public:
  template <typename T>
  void Required(const char* name, T& field) {
    if (fault_) return;
    Json* value = Find(name);
    if (value == nullptr) return Fail(FrameProblem::kMissingField, name);
    DecodeNamed(name, *value, &field);
  }

  template <typename T, typename Fallback = T>
  void Optional(const char* name, T& field, const Fallback& fallback) {
    if (fault_) return;
    Json* value = Find(name);
    if (value == nullptr) {
      field = fallback;
      return;
    }
    DecodeNamed(name, *value, &field);
  }

  void Bytes(const char* name, std::string& field) {
    if (fault_) return;
    Json* value = Find(name);
    if (value == nullptr) return Fail(FrameProblem::kMissingField, name);
    if (!DecodeBytes(*value, &field)) Fail(FrameProblem::kBadField, name);
  }

  // @return the fault found, if any
  template <typename T>
  std::optional<FieldFault> Read(Json* object, T* message) {
    object_ = object;
    Fields<T>::Visit(*this, *message);
    return std::move(fault_);
  }

 private:
  Json* Find(const char* name) {
    const auto found = object_->find(name);
    return found == object_->end() ? nullptr : &*found;
  }

  void Fail(FrameProblem problem, const char* name) {
    fault_ = FieldFault{problem, name};
  }

  template <typename T>
  void DecodeNamed(const char* name, Json& value, T* field) {
    if (Decode(value, field)) return;
    if (!fault_) return Fail(FrameProblem::kBadField, name);
    fault_->path = std::string(name) + '.' + fault_->path;
  }

  // Each `Decode` returns whether the value was of the right form.
  static bool Decode(Json& value, bool* field) {
    if (!value.is_boolean()) return false;
    *field = value.get<bool>();
    return true;
  }

  template <typename Integer>
  static bool DecodeInteger(Json& value, Integer* field) {
    constexpr auto kMax = std::numeric_limits<Integer>::max();
    if (value.is_number_unsigned()) {
      const auto number = value.get<std::uint64_t>();
      if (number > static_cast<std::uint64_t>(kMax)) return false;
      *field = static_cast<Integer>(number);
      return true;
    }
    if (!value.is_number_integer()) return false;
    // The parser gives the signed form for negative numbers only.
    const auto number = value.get<std::int64_t>();
    if constexpr (std::is_unsigned_v<Integer>) return false;
    if (number <
        static_cast<std::int64_t>(std::numeric_limits<Integer>::min())) {
      return false;
    }
    *field = static_cast<Integer>(number);
    return true;
  }
  static bool Decode(Json& value, int* field) {
    return DecodeInteger(value, field);
  }
  static bool Decode(Json& value, std::uint16_t* field) {
    return DecodeInteger(value, field);
  }
  static bool Decode(Json& value, std::uint64_t* field) {
    return DecodeInteger(value, field);
  }

  static bool Decode(Json& value, Duration* field) {
    using std::chrono::microseconds;
    constexpr auto kMax =
        std::chrono::duration_cast<microseconds>(Duration::max()).count();
    std::int64_t count = 0;
    if (!DecodeInteger(value, &count)) return false;
    if (count > kMax || count < -kMax) return false;
    *field = microseconds(count);
    return true;
  }

  static bool Decode(Json& value, std::string* field) {
    if (!value.is_string()) return false;
    *field = std::move(value.get_ref<std::string&>());
    return true;
  }

  static bool DecodeBytes(Json& value, std::string* field) {
    if (!value.is_binary()) return false;
    const Json::binary_t& bytes = value.get_binary();
    field->assign(bytes.begin(), bytes.end());
    return true;
  }

  template <typename Tag>
  static bool Decode(Json& value, Name<Tag>* field) {
    std::string text;
    if (!Decode(value, &text)) return false;
    *field = Name<Tag>(std::move(text));
    return true;
  }

  template <typename T>
  bool Decode(Json& value, std::optional<T>* field) {
    return Decode(value, &field->emplace());
  }

  template <typename T>
  bool Decode(Json& value, std::shared_ptr<const T>* field) {
    auto object = std::make_shared<T>();
    if (!Decode(value, object.get())) return false;
    *field = std::move(object);
    return true;
  }

  template <typename T>
  bool Decode(Json& value, std::vector<T>* field) {
    if (!value.is_array()) return false;
    field->clear();
    for (Json& item : value) {
      if (!Decode(item, &field->emplace_back())) return false;
    }
    return true;
  }

  static bool Decode(Json& value, std::pair<std::string, std::string>* header) {
    if (!value.is_array() || value.size() != 2) return false;
    return DecodeBytes(value[0], &header->first) &&
           DecodeBytes(value[1], &header->second);
  }

  bool Decode(Json& value, RequestKey* field) {
    if (!value.is_object()) return false;
    const bool is_ticket = value.contains("issuer");
    return is_ticket ? Decode(value, &field->emplace<Ticket>())
                     : Decode(value, &field->emplace<CallerKey>());
  }

  bool Decode(Json& value, Outcome* field) {
    if (!value.is_array() || value.empty() || !value[0].is_string()) {
      return false;
    }
    const std::string& kind = value[0].get_ref<std::string&>();
    if (kind == "ran") {
      *field = Ran{};
      return value.size() == 1;
    }
    if (value.size() != 2) return false;
    if (kind == "not-run") {
      return Decode(value[1], &field->emplace<NotRun>().reason);
    }
    if (kind == "unknown") {
      return Decode(value[1], &field->emplace<Unknown>().reason);
    }
    return false;
  }

  template <typename T>
  bool Decode(Json& value, T* field) {
    if constexpr (std::is_enum_v<T>) {
      return DecodeEnum(value, field);
    } else {
      return DecodeObject(value, field);
    }
  }

  template <typename T>
  static bool DecodeEnum(Json& value, T* field) {
    int number = 0;
    if (!DecodeInteger(value, &number)) return false;
    if (number < 0 || number > static_cast<int>(LastValue<T>::kValue)) {
      return false;
    }
    *field = static_cast<T>(number);
    return true;
  }

  template <typename T>
  bool DecodeObject(Json& value, T* field) {
    if (!value.is_object()) return false;
    FrameDecoder nested;
    fault_ = nested.Read(&value, field);
    return !fault_;
  }

  Json* object_ = nullptr;
  std::optional<FieldFault> fault_;
};

}  // namespace heatherlatch::peer_internal

#endif  // HEATHERLATCH_PEER_INTERNAL_FRAME_DECODER_H_
