#include "heatherlatch/admission/byte_budget.h"

#include <algorithm>
#include <utility>

namespace heatherlatch {

bool ByteBudget::MayHold(std::uint64_t size, std::uint64_t growth,
                         double share) const {
  if (held_ >= capacity_ || growth > capacity_ - held_) return false;
  const std::uint64_t left = capacity_ - held_ - growth;
  return static_cast<double>(size) <= share * static_cast<double>(left);
}

void ByteBudget::Add(std::uint64_t bytes) {
  held_ += bytes;
  max_held_ = std::max(max_held_, held_);
}

ByteReservation::ByteReservation(ByteReservation&& other) noexcept
    : budget_(std::move(other.budget_)), size_(std::exchange(other.size_, 0)) {}

ByteReservation& ByteReservation::operator=(ByteReservation&& other) noexcept {
  if (this == &other) return *this;
  Release();
  budget_ = std::move(other.budget_);
  size_ = std::exchange(other.size_, 0);
  return *this;
}

bool ByteReservation::TryGrowTo(std::uint64_t size, double share) {
  if (size <= size_) return true;
  if (budget_ == nullptr || !budget_->MayHold(size, size - size_, share)) {
    return false;
  }
  GrowTo(size);
  return true;
}

void ByteReservation::GrowTo(std::uint64_t size) {
  if (budget_ == nullptr || size <= size_) return;
  budget_->Add(size - size_);
  size_ = size;
}

void ByteReservation::Absorb(ByteReservation other) {
  if (budget_ == nullptr) budget_ = other.budget_;
  size_ += std::exchange(other.size_, 0);
}

void ByteReservation::Release() {
  if (budget_ != nullptr) budget_->held_ -= size_;
  size_ = 0;
}

}  // namespace heatherlatch
