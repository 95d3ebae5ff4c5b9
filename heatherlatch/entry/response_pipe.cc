#include "heatherlatch/entry/response_pipe.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace heatherlatch {

void ResponsePipe::Start(StreamStart start) {
  std::lock_guard lock(mutex_);
  if (start_) return;
  start_ = std::move(start);
  changed_.notify_all();
}

bool ResponsePipe::Write(std::string_view data) {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [&] {
    return closed_ || buffer_.size() - consumed_ < kCapacityBytes;
  });
  if (closed_) return false;
  if (consumed_ == buffer_.size()) {
    buffer_.clear();
    consumed_ = 0;
  }
  buffer_.append(data);
  changed_.notify_all();
  return true;
}

void ResponsePipe::End(bool complete) {
  std::lock_guard lock(mutex_);
  ended_ = true;
  complete_ = complete;
  changed_.notify_all();
}

bool ResponsePipe::ReaderClosed() const {
  std::lock_guard lock(mutex_);
  return closed_;
}

StreamStart ResponsePipe::WaitForStart() {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [&] { return start_.has_value(); });
  return *start_;
}

ReadStatus ResponsePipe::Read(char* out, std::size_t size, std::size_t* read) {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [&] { return ended_ || consumed_ < buffer_.size(); });
  *read = std::min(size, buffer_.size() - consumed_);
  if (*read == 0) return complete_ ? ReadStatus::kEnd : ReadStatus::kTruncated;
  std::memcpy(out, buffer_.data() + consumed_, *read);
  consumed_ += *read;
  changed_.notify_all();
  return ReadStatus::kData;
}

void ResponsePipe::Close() {
  std::lock_guard lock(mutex_);
  closed_ = true;
  changed_.notify_all();
}

}  // namespace heatherlatch
