// RapidCheck generators of every message kind.
#ifndef HEATHERLATCH_PEER_MESSAGE_GENERATORS_TEST_H_
#define HEATHERLATCH_PEER_MESSAGE_GENERATORS_TEST_H_

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <utility>

#include "heatherlatch/peer/internal/message_fields.h"
#include "heatherlatch/peer/messages.h"

namespace heatherlatch::peer_testing {

// Visitor of `Fields<T>::Visit` that sets every field to an arbitrary value.
class ArbitraryFields {
 public:
  template <typename T>
  void Required(const char*, T& field) {
    Fill(&field);
  }
  template <typename T, typename DefaultValue = T>
  void Optional(const char*, T& field, const DefaultValue&) {
    Fill(&field);
  }
  void Bytes(const char*, std::string& field) {
    field = *rc::gen::arbitrary<std::string>();
  }

 private:
  // A host name is never empty.
  void Fill(HostName* field) {
    *field = HostName('h' + *rc::gen::arbitrary<std::string>());
  }
  template <typename T>
  void Fill(T* field) {
    if constexpr (std::is_enum_v<T>) {
      const int last = static_cast<int>(peer_internal::LastValue<T>::kValue);
      *field = static_cast<T>(*rc::gen::inRange(0, last + 1));
    } else if constexpr (std::is_arithmetic_v<T>) {
      *field = *rc::gen::arbitrary<T>();
    } else {
      peer_internal::Fields<T>::Visit(*this, *field);
    }
  }
  void Fill(std::string* field) { *field = *rc::gen::arbitrary<std::string>(); }
  void Fill(Duration* field) {
    // Frames carry whole microseconds.
    *field = std::chrono::microseconds(*rc::gen::arbitrary<std::int32_t>());
  }
  template <typename Tag>
  void Fill(Name<Tag>* field) {
    *field = Name<Tag>(*rc::gen::arbitrary<std::string>());
  }
  template <typename T>
  void Fill(std::optional<T>* field) {
    if (*rc::gen::arbitrary<bool>()) Fill(&field->emplace());
  }
  template <typename T>
  void Fill(std::shared_ptr<const T>* field) {
    if (!*rc::gen::arbitrary<bool>()) return;
    auto object = std::make_shared<T>();
    Fill(object.get());
    *field = std::move(object);
  }
  template <typename T>
  void Fill(std::vector<T>* field) {
    field->resize(*rc::gen::inRange(0, 4));
    for (T& item : *field) Fill(&item);
  }
  void Fill(std::pair<std::string, std::string>* field) {
    Fill(&field->first);
    Fill(&field->second);
  }
  void Fill(RequestKey* field) {
    if (*rc::gen::arbitrary<bool>()) {
      Fill(&field->emplace<Ticket>());
    } else {
      Fill(&field->emplace<CallerKey>());
    }
  }
  void Fill(Outcome* field) {
    const int kind = *rc::gen::inRange(0, 3);
    if (kind == 0) Fill(&field->emplace<NotRun>().reason);
    if (kind == 1) field->emplace<Ran>();
    if (kind == 2) Fill(&field->emplace<Unknown>().reason);
  }
};

template <typename Message>
PeerMessage ArbitraryMessage() {
  Message message;
  ArbitraryFields fields;
  peer_internal::Fields<Message>::Visit(fields, message);
  return message;
}

template <typename... Messages>
rc::Gen<PeerMessage> AnyMessageOf(const std::variant<Messages...>*) {
  return rc::gen::exec([] {
    using Make = PeerMessage (*)();
    constexpr Make kMakers[] = {&ArbitraryMessage<Messages>...};
    return kMakers[*rc::gen::inRange<std::size_t>(0, sizeof...(Messages))]();
  });
}

}  // namespace heatherlatch::peer_testing

namespace rc {

template <>
struct Arbitrary<heatherlatch::PeerMessage> {
  static Gen<heatherlatch::PeerMessage> arbitrary() {
    return heatherlatch::peer_testing::AnyMessageOf(
        static_cast<heatherlatch::PeerMessage*>(nullptr));
  }
};

}  // namespace rc

namespace heatherlatch {

inline void showValue(const PeerMessage& message, std::ostream& out) {
  out << "message of kind " << message.index();
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PEER_MESSAGE_GENERATORS_TEST_H_
