#include "heatherlatch/relay/value_delta.h"

// Header-only use, so that the host program does not link the xxHash library.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/error.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace heatherlatch {
namespace {

namespace zlib = boost::beast::zlib;
using boost::system::error_code;

// Parts end after this byte, which ends an object of a JSON document: entries
// of a table that are alike in both values become equal parts.
constexpr char kPartEnd = '}';
constexpr std::size_t kMaxPartBytes = 4096;
// Of a part that is copied: the command that copies it takes about as many.
constexpr std::size_t kMinCopiedBytes = 4;

constexpr int kCompressionLevel = 4;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;

// Bytes after a compressed stream. The decoder looks ahead, and reports the end
// of some short streams only if more bytes follow.
constexpr std::string_view kLookahead("\0\0\0\0", 4);

constexpr std::size_t kChecksumBytes = 8;

// A script restores the value. It is a row of commands; each begins with a
// number of which the lowest bit tells whether bytes of the base are copied
// (followed by their position in the base) or bytes of the script are, and the
// other bits how many.
constexpr std::uint64_t kCopyBit = 1;

std::vector<std::string_view> SplitIntoParts(std::string_view text) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const std::size_t end = text.substr(0, kMaxPartBytes).find(kPartEnd);
    const std::size_t size = end == std::string_view::npos
                                 ? std::min(text.size(), kMaxPartBytes)
                                 : end + 1;
    parts.push_back(text.substr(0, size));
    text.remove_prefix(size);
  }
  return parts;
}

void AppendNumber(std::uint64_t number, std::string* bytes) {
  for (; number >= 0x80; number >>= 7) {
    *bytes += static_cast<char>(number | 0x80);
  }
  *bytes += static_cast<char>(number);
}

// Reads a number and removes it from the front of `bytes`.
std::optional<std::uint64_t> TakeNumber(std::string_view* bytes) {
  std::uint64_t number = 0;
  for (unsigned shift = 0; shift < 64 && !bytes->empty(); shift += 7) {
    const auto byte = static_cast<unsigned char>(bytes->front());
    bytes->remove_prefix(1);
    number |= std::uint64_t{byte & 0x7fu} << shift;
    if ((byte & 0x80) == 0) return number;
  }
  return std::nullopt;
}

std::string Checksum(std::string_view value) {
  const XXH64_hash_t hash = XXH3_64bits(value.data(), value.size());
  XXH64_canonical_t canonical;
  XXH64_canonicalFromHash(&canonical, hash);
  return {reinterpret_cast<const char*>(canonical.digest), kChecksumBytes};
}

class ScriptWriter {
 public:
  void Copy(std::size_t position, std::size_t size) {
    FlushLiteral();
    if (copy_size_ > 0 && copy_position_ + copy_size_ == position) {
      copy_size_ += size;
      return;
    }
    FlushCopy();
    copy_position_ = position;
    copy_size_ = size;
  }

  void Append(std::string_view bytes) {
    FlushCopy();
    literal_ += bytes;
  }

  std::string Finish() {
    FlushCopy();
    FlushLiteral();
    return std::move(script_);
  }

 private:
  void FlushCopy() {
    if (copy_size_ == 0) return;
    AppendNumber(std::uint64_t{copy_size_} << 1 | kCopyBit, &script_);
    AppendNumber(copy_position_, &script_);
    copy_size_ = 0;
  }

  void FlushLiteral() {
    if (literal_.empty()) return;
    AppendNumber(std::uint64_t{literal_.size()} << 1, &script_);
    script_ += literal_;
    literal_.clear();
  }

  std::string script_;
  std::string literal_;
  std::size_t copy_position_ = 0;
  std::size_t copy_size_ = 0;
};

std::string MakeScript(std::string_view base, std::string_view value) {
  std::unordered_map<std::string_view, std::size_t> positions;
  for (const std::string_view part : SplitIntoParts(base)) {
    positions.emplace(part,
                      static_cast<std::size_t>(part.data() - base.data()));
  }
  ScriptWriter script;
  for (const std::string_view part : SplitIntoParts(value)) {
    const auto found = positions.find(part);
    if (found == positions.end() || part.size() < kMinCopiedBytes) {
      script.Append(part);
    } else {
      script.Copy(found->second, part.size());
    }
  }
  return script.Finish();
}

std::optional<std::string> RunScript(std::string_view base,
                                     std::string_view script,
                                     std::size_t max_value_size) {
  std::string value;
  while (!script.empty()) {
    const auto command = TakeNumber(&script);
    if (!command) return std::nullopt;
    const std::uint64_t size = *command >> 1;
    if (size > max_value_size - value.size()) return std::nullopt;
    if ((*command & kCopyBit) == 0) {
      if (size > script.size()) return std::nullopt;
      value += script.substr(0, size);
      script.remove_prefix(size);
      continue;
    }
    const auto position = TakeNumber(&script);
    if (!position || *position > base.size() ||
        size > base.size() - *position) {
      return std::nullopt;
    }
    value += base.substr(*position, size);
  }
  return value;
}

std::string Compress(std::string_view bytes) {
  zlib::deflate_stream stream;
  stream.reset(kCompressionLevel, kWindowBits, kMemoryLevel,
               zlib::Strategy::normal);
  std::string compressed(stream.upper_bound(bytes.size()), '\0');
  zlib::z_params buffers;
  buffers.next_in = bytes.data();
  buffers.avail_in = bytes.size();
  buffers.next_out = compressed.data();
  buffers.avail_out = compressed.size();
  error_code ignored;  // It is the end of the stream: the room suffices.
  stream.write(buffers, zlib::Flush::finish, ignored);
  compressed.resize(buffers.total_out);
  return compressed;
}

// @param size  of the result
std::optional<std::string> Decompress(std::string compressed,
                                      std::size_t size) {
  compressed += kLookahead;
  zlib::inflate_stream stream;
  stream.reset(kWindowBits);
  // With room for one byte more than expected.
  std::string bytes(size + 1, '\0');
  zlib::z_params buffers;
  buffers.next_in = compressed.data();
  buffers.avail_in = compressed.size();
  buffers.next_out = bytes.data();
  buffers.avail_out = bytes.size();
  error_code error;
  stream.write(buffers, zlib::Flush::finish, error);
  if (error != zlib::error::end_of_stream || buffers.total_out != size) {
    return std::nullopt;
  }
  bytes.resize(size);
  return bytes;
}

}  // namespace

std::string MakeDelta(std::string_view base, std::string_view value) {
  const std::string script = MakeScript(base, value);
  std::string delta = Checksum(value);
  AppendNumber(script.size(), &delta);
  return delta + Compress(script);
}

std::optional<std::string> ApplyDelta(std::string_view base,
                                      std::string_view delta,
                                      std::size_t max_value_size) {
  if (delta.size() < kChecksumBytes) return std::nullopt;
  const std::string_view checksum = delta.substr(0, kChecksumBytes);
  delta.remove_prefix(kChecksumBytes);
  const auto script_size = TakeNumber(&delta);
  // A command takes at most twice the bytes of what it restores.
  if (!script_size || *script_size > 2 * max_value_size + 1) {
    return std::nullopt;
  }
  const auto script = Decompress(std::string(delta), *script_size);
  if (!script) return std::nullopt;
  auto value = RunScript(base, *script, max_value_size);
  if (!value || Checksum(*value) != checksum) return std::nullopt;
  return value;
}

}  // namespace heatherlatch
