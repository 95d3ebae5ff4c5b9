// Encodes messages as CBOR.
//
// Thread safety: none; use one encoder for each frame.
#ifndef HEATHERLATCH_PEER_INTERNAL_FRAME_ENCODER_H_
#define HEATHERLATCH_PEER_INTERNAL_FRAME_ENCODER_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "heatherlatch/peer/internal/cbor.h"
#include "heatherlatch/peer/internal/message_fields.h"

namespace heatherlatch::peer_internal {

// Visitor of `Fields<T>::Visit` that writes the fields.
class FrameEncoder {
 public:
  // @param out  the string to append to; must outlive the encoder
  explicit FrameEncoder(std::string* out) : writer_(out) {}

  template <typename Message>
  void WriteMessage(const char* kind_field, const Message& message) {
    writer_.BeginObject();
    writer_.Write(kind_field);
    writer_.Write(Fields<Message>::kKind);
    Fields<Message>::Visit(*this, message);
    writer_.End();
  }

  template <typename T>
  void Required(const char* name, const T& field) {
    writer_.Write(name);
    Encode(field);
  }

  template <typename T, typename DefaultValue = T>
  void Optional(const char* name, const T& field,
                const DefaultValue& default_value) {
    if (!IsDefault(field, default_value)) Required(name, field);
  }

  void Bytes(const char* name, const std::string& field) {
    writer_.Write(name);
    EncodeBytes(field);
  }

 private:
  template <typename T, typename DefaultValue>
  static bool IsDefault(const T& field, const DefaultValue& default_value) {
    return field == default_value;
  }
  template <typename T>
  static bool IsDefault(const std::vector<T>& field, const std::vector<T>&) {
    return field.empty();
  }

  // A heartbeat without a sender is from the host at the other end of the link.
  static bool IsDefault(const HostDescription& host, const HostDescription&) {
    return host.incarnation.host.empty();
  }

  void EncodeBytes(const std::string& bytes) {
    writer_.Write(Json::binary({bytes.begin(), bytes.end()}));
  }

  void Encode(bool value) { writer_.Write(value); }
  void Encode(int value) { writer_.Write(value); }
  void Encode(std::uint16_t value) { writer_.Write(value); }
  void Encode(std::uint64_t value) { writer_.Write(value); }
  void Encode(const std::string& value) { writer_.Write(value); }
  void Encode(Duration value) {
    using std::chrono::microseconds;
    writer_.Write(std::chrono::duration_cast<microseconds>(value).count());
  }
  template <typename Tag>
  void Encode(const Name<Tag>& name) {
    writer_.Write(name.str());
  }
  template <typename T>
  void Encode(const std::optional<T>& value) {
    Encode(*value);
  }
  template <typename T>
  void Encode(const std::shared_ptr<const T>& value) {
    Encode(*value);
  }
  template <typename T>
  void Encode(const std::vector<T>& values) {
    writer_.BeginArray();
    for (const T& value : values) Encode(value);
    writer_.End();
  }
  void Encode(const std::pair<std::string, std::string>& header) {
    writer_.BeginArray();
    EncodeBytes(header.first);
    EncodeBytes(header.second);
    writer_.End();
  }
  void Encode(const RequestKey& key) {
    std::visit([this](const auto& kind) { EncodeObject(kind); }, key);
  }
  void Encode(const Outcome& outcome) {
    writer_.BeginArray();
    writer_.Write(std::string(ToString(outcome)));
    std::visit([this](const auto& kind) { EncodeReason(kind); }, outcome);
    writer_.End();
  }
  void EncodeReason(const NotRun& outcome) { Encode(outcome.reason); }
  void EncodeReason(const Ran&) {}
  void EncodeReason(const Unknown& outcome) { Encode(outcome.reason); }

  template <typename T>
  void Encode(const T& value) {
    if constexpr (std::is_enum_v<T>) {
      Encode(static_cast<int>(value));
    } else {
      EncodeObject(value);
    }
  }
  template <typename T>
  void EncodeObject(const T& object) {
    if constexpr (kIsPositional<T>) {
      writer_.BeginArray();
      PositionalEncoder encoder{*this};
      Fields<T>::Visit(encoder, object);
    } else {
      writer_.BeginObject();
      Fields<T>::Visit(*this, object);
    }
    writer_.End();
  }

  // Visitor that writes the fields without their names.
  struct PositionalEncoder {
    template <typename T>
    void Required(const char*, const T& field) {
      encoder.Encode(field);
    }
    template <typename T, typename DefaultValue = T>
    void Optional(const char*, const T& field, const DefaultValue&) {
      encoder.Encode(field);
    }

    FrameEncoder& encoder;
  };

  CborWriter writer_;
};

}  // namespace heatherlatch::peer_internal

#endif  // HEATHERLATCH_PEER_INTERNAL_FRAME_ENCODER_H_
