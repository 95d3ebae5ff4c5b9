#include "heatherlatch/peer/internal/cbor.h"

#include <utility>

namespace heatherlatch::peer_internal {
namespace {

constexpr char kBeginArray = '\x9f';
constexpr char kBeginObject = '\xbf';
constexpr char kBreak = '\xff';

// Initial capacity; most messages fit without reallocation.
constexpr std::size_t kTypicalTokenCount = 48;

}  // namespace

// Collects the SAX events of the library's parser as tokens. Returning false
// stops the parser; this happens at a syntax error or above a limit.
class TokenCollector : public nlohmann::json_sax<Json> {
 public:
  explicit TokenCollector(TokenList* list) : tokens_(list->tokens_) {
    tokens_.reserve(kTypicalTokenCount);
    open_containers_.reserve(kMaxNesting);
  }

  bool null() override { return Add(TokenType::kOther); }
  bool boolean(bool value) override {
    return Add(TokenType::kBoolean, value ? 1 : 0);
  }
  bool number_integer(std::int64_t value) override {
    return Add(TokenType::kNegative, static_cast<std::uint64_t>(value));
  }
  bool number_unsigned(std::uint64_t value) override {
    return Add(TokenType::kUnsigned, value);
  }
  bool number_float(double, const std::string&) override {
    return Add(TokenType::kOther);
  }
  bool string(std::string& value) override {
    return Add(TokenType::kText, 0, std::move(value));
  }
  bool binary(Json::binary_t& value) override {
    return Add(TokenType::kBytes, 0, std::string(value.begin(), value.end()));
  }
  bool key(std::string& value) override {
    return Add(TokenType::kKey, 0, std::move(value));
  }
  bool start_object(std::size_t) override {
    return OpenContainer(TokenType::kObject);
  }
  bool start_array(std::size_t) override {
    return OpenContainer(TokenType::kArray);
  }
  bool end_object() override { return CloseContainer(); }
  bool end_array() override { return CloseContainer(); }
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Add(TokenType type, std::uint64_t number = 0, std::string text = {}) {
    if (tokens_.size() >= kMaxTokens) return false;
    tokens_.push_back({type, number, std::move(text)});
    return true;
  }

  bool OpenContainer(TokenType type) {
    if (open_containers_.size() >= kMaxNesting) return false;
    open_containers_.push_back(tokens_.size());
    return Add(type);
  }

  bool CloseContainer() {
    tokens_[open_containers_.back()].number = tokens_.size();
    open_containers_.pop_back();
    return Add(TokenType::kEnd);
  }

  std::vector<Token>& tokens_;
  std::vector<std::size_t> open_containers_;  // Token indexes.
};

std::optional<TokenList> TokenList::Parse(std::string_view bytes) {
  TokenList list;
  TokenCollector collector(&list);
  const bool complete =
      Json::sax_parse(bytes.data(), bytes.data() + bytes.size(), &collector,
                      Json::input_format_t::cbor);
  if (!complete) return std::nullopt;
  return list;
}

std::size_t TokenList::IndexAfter(std::size_t index) const {
  const Token& token = tokens_[index];
  const bool container =
      token.type == TokenType::kObject || token.type == TokenType::kArray;
  return (container ? token.number : index) + 1;
}

void CborWriter::BeginObject() { out_.push_back(kBeginObject); }
void CborWriter::BeginArray() { out_.push_back(kBeginArray); }
void CborWriter::End() { out_.push_back(kBreak); }

}  // namespace heatherlatch::peer_internal
