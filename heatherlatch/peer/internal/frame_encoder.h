// Turns messages into JSON values.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_PEER_INTERNAL_FRAME_ENCODER_H_
#define HEATHERLATCH_PEER_INTERNAL_FRAME_ENCODER_H_

#include <string>
#include <utility>

#include "heatherlatch/peer/internal/json.h"
#include "heatherlatch/peer/internal/message_fields.h"

namespace heatherlatch::peer_internal {

// Writes the fields that `Fields<T>::Visit` shows into a JSON object.
class FrameEncoder {
 public:
  // @param object  the JSON object to fill
  explicit FrameEncoder(Json* object) : object_(*object) {}

  template <typename T>
  void Required(const char* name, const T& field) {
    Put(name, Encode(field));
  }

  template <typename T, typename Fallback = T>
  void Optional(const char* name, const T& field, const Fallback& fallback) {
    if (IsFallback(field, fallback)) return;
    Put(name, Encode(field));
  }

  void Bytes(const char* name, const std::string& field) {
    Put(name, ToBinary(field));
  }

  template <typename T>
  static Json EncodeObject(const T& object) {
    Json value = Json::object();
    FrameEncoder encoder(&value);
    Fields<T>::Visit(encoder, object);
    return value;
  }

 private:
  static Json ToBinary(const std::string& bytes) {
    return Json::binary({bytes.begin(), bytes.end()});
  }

  void Put(const char* name, Json&& value) {
    // The names of one object are distinct, so no search is needed.
    object_.get_ref<Json::object_t&>().push_back({name, std::move(value)});
  }

  template <typename T, typename Fallback>
  static bool IsFallback(const T& field, const Fallback& fallback) {
    return field == fallback;
  }
  template <typename T>
  static bool IsFallback(const std::vector<T>& field, const std::vector<T>&) {
    return field.empty();
  }

  static Json Encode(bool value) { return value; }
  static Json Encode(int value) { return value; }
  static Json Encode(std::uint16_t value) { return value; }
  static Json Encode(std::uint64_t value) { return value; }
  static Json Encode(const std::string& value) { return value; }
  static Json Encode(Duration value) {
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
  }
  template <typename Tag>
  static Json Encode(const Name<Tag>& name) {
    return name.str();
  }
  template <typename T>
  static Json Encode(const std::optional<T>& value) {
    return Encode(*value);
  }
  template <typename T>
  static Json Encode(const std::shared_ptr<const T>& value) {
    return EncodeObject(*value);
  }
  template <typename T>
  static Json Encode(const std::vector<T>& values) {
    Json array = Json::array();
    for (const T& value : values) array.push_back(Encode(value));
    return array;
  }
  static Json Encode(const std::pair<std::string, std::string>& header) {
    return Json::array({ToBinary(header.first), ToBinary(header.second)});
  }
  static Json Encode(const RequestKey& key) {
    return std::visit([](const auto& kind) { return EncodeObject(kind); }, key);
  }
  static Json Encode(const Outcome& outcome) {
    return std::visit([](const auto& kind) { return EncodeKind(kind); },
                      outcome);
  }
  static Json EncodeKind(const NotRun& outcome) {
    return Json::array({"not-run", Encode(outcome.reason)});
  }
  static Json EncodeKind(const Ran&) { return Json::array({"ran"}); }
  static Json EncodeKind(const Unknown& outcome) {
    return Json::array({"unknown", Encode(outcome.reason)});
  }
  template <typename T>
  static Json Encode(const T& value) {
    if constexpr (std::is_enum_v<T>) {
      return static_cast<int>(value);
    } else {
      return EncodeObject(value);
    }
  }

  Json& object_;
};

}  // namespace heatherlatch::peer_internal

#endif  // HEATHERLATCH_PEER_INTERNAL_FRAME_ENCODER_H_
