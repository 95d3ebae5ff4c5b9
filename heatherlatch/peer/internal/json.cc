#include "heatherlatch/peer/internal/json.h"

#include <utility>

namespace heatherlatch::peer_internal {
namespace {

// Builds a value from parser events and stops at the limits.
class BoundedBuilder : public nlohmann::json_sax<Json> {
 public:
  Json Take() { return std::move(root_); }

  bool null() override { return Add(Json(nullptr)); }
  bool boolean(bool value) override { return Add(Json(value)); }
  bool number_integer(std::int64_t value) override { return Add(Json(value)); }
  bool number_unsigned(std::uint64_t value) override {
    return Add(Json(value));
  }
  bool number_float(double value, const std::string&) override {
    return Add(Json(value));
  }
  bool string(std::string& value) override {
    return Add(Json(std::move(value)));
  }
  bool binary(Json::binary_t& value) override {
    return Add(Json(std::move(value)));
  }
  bool start_object(std::size_t) override { return Open(Json::object()); }
  bool start_array(std::size_t) override { return Open(Json::array()); }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }
  bool key(std::string& value) override {
    key_ = std::move(value);
    return true;
  }
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  Json* Place(Json&& value) {
    if (open_.empty()) {
      root_ = std::move(value);
      return &root_;
    }
    Json& parent = *open_.back();
    if (parent.is_array()) {
      parent.push_back(std::move(value));
      return &parent.back();
    }
    Json& slot = parent[key_];
    slot = std::move(value);
    return &slot;
  }

  bool Add(Json&& value) {
    if (++values_ > kMaxValues) return false;
    Place(std::move(value));
    return true;
  }

  bool Open(Json&& container) {
    if (open_.size() >= kMaxNesting || ++values_ > kMaxValues) return false;
    open_.push_back(Place(std::move(container)));
    return true;
  }

  bool Close() {
    open_.pop_back();
    return true;
  }

  Json root_;
  std::vector<Json*> open_;
  std::string key_;
  std::size_t values_ = 0;
};

}  // namespace

std::optional<Json> ParseCbor(std::string_view bytes) {
  BoundedBuilder builder;
  const bool whole = Json::sax_parse(bytes.data(), bytes.data() + bytes.size(),
                                     &builder, Json::input_format_t::cbor);
  if (!whole) return std::nullopt;
  return builder.Take();
}

std::string WriteCbor(const Json& value) {
  std::string bytes;
  Json::to_cbor(value, bytes);
  return bytes;
}

}  // namespace heatherlatch::peer_internal
