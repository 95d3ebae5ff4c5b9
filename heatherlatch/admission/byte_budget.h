// Bounds the memory that a host holds for bytes of others: responses on their
// way to callers, and bodies of requests on their way to servers.
//
// A holder takes a reservation and grows it before it stores more bytes. A
// reservation may only grow as long as it is at most a share of what is then
// left of the budget:
//
//   held by the reservation <= share * (capacity - held by all)
//
// So the bound of each holder falls as others hold more, a single holder never
// takes more than capacity * share / (1 + share), and with any number of
// holders that grow without end some of the budget stays free for small ones.
//
// Example:
//   auto budget = std::make_shared<ByteBudget>(80 << 20);
//   ByteReservation held(budget);
//   if (!held.TryGrowTo(body.size(), 1.0 / 16)) ...  // The response fails.
//
// Thread safety: none; the caller serialises access.
#ifndef HEATHERLATCH_ADMISSION_BYTE_BUDGET_H_
#define HEATHERLATCH_ADMISSION_BYTE_BUDGET_H_

#include <cstdint>
#include <memory>
#include <utility>

namespace heatherlatch {

class ByteBudget {
 public:
  // @param capacity  in bytes
  explicit ByteBudget(std::uint64_t capacity) : capacity_(capacity) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  // @param bytes  size of a new reservation
  // @param share  as for `ByteReservation::TryGrowTo`
  // @return whether a reservation could grow to this size now
  bool HasRoom(std::uint64_t bytes, double share) const {
    return MayHold(bytes, bytes, share);
  }

  // Changes the capacity. Reservations keep what they hold.
  void SetCapacity(std::uint64_t capacity) { capacity_ = capacity; }

  std::uint64_t capacity() const { return capacity_; }
  // @return the bytes that all reservations hold now
  std::uint64_t held() const { return held_; }
  // @return the most bytes that were held at any time
  std::uint64_t max_held() const { return max_held_; }

 private:
  friend class ByteReservation;

  // @return whether a reservation may hold `size` bytes, `growth` of them new
  bool MayHold(std::uint64_t size, std::uint64_t growth, double share) const;
  void Add(std::uint64_t bytes);

  std::uint64_t capacity_;
  std::uint64_t held_ = 0;
  std::uint64_t max_held_ = 0;
};

// Bytes taken from a budget. Returns them when it is destroyed or assigned to.
// Shares the ownership of the budget, since callbacks that hold a response may
// be destroyed after the host.
class ByteReservation {
 public:
  // Holds nothing and cannot grow.
  ByteReservation() = default;
  // Holds nothing yet.
  explicit ByteReservation(std::shared_ptr<ByteBudget> budget)
      : budget_(std::move(budget)) {}
  ByteReservation(ByteReservation&& other) noexcept;
  ByteReservation& operator=(ByteReservation&& other) noexcept;
  ~ByteReservation() { Release(); }

  // Grows to `size` bytes if the budget allows that. A reservation that holds
  // as much already does not change.
  // @param share  the most that this holder may hold, as a share of what is
  //               left of the budget then; above 0. With 1, half of an unused
  //               budget; a larger one for a holder that comes before others.
  // @return whether `size` bytes are held
  bool TryGrowTo(std::uint64_t size, double share);
  // Grows to `size` bytes even beyond the capacity. For bytes without which the
  // host cannot work, and whose size has another bound.
  void GrowTo(std::uint64_t size);
  // Adds the bytes of another reservation of the same budget to this one.
  void Absorb(ByteReservation other);
  // Returns all bytes.
  void Release();

  std::uint64_t size() const { return size_; }

 private:
  std::shared_ptr<ByteBudget> budget_;
  std::uint64_t size_ = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ADMISSION_BYTE_BUDGET_H_
