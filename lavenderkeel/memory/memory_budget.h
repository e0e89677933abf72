#ifndef LAVENDERKEEL_MEMORY_MEMORY_BUDGET_H_
#define LAVENDERKEEL_MEMORY_MEMORY_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <utility>

namespace lavenderkeel {

/// Account of the bytes that a process holds for its clients, against a limit.
///
/// Charges state what is held and are never rejected. Whoever is about to hold
/// more asks first whether it fits.
class MemoryBudget {
 public:
  explicit MemoryBudget(size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  size_t limit() const { return limit_; }
  size_t used() const { return used_; }
  size_t peak() const { return peak_; }
  bool is_over() const { return used_ > limit_; }
  bool Fits(size_t bytes) const {
    return used_ <= limit_ && bytes <= limit_ - used_;
  }

 private:
  friend class MemoryCharge;

  void Replace(size_t former, size_t bytes) {
    used_ += bytes;
    used_ -= former;
    peak_ = std::max(peak_, used_);
  }

  size_t limit_;
  size_t used_ = 0;
  size_t peak_ = 0;
};

/// Bytes that are held of a budget until this object ends. The budget has to
/// outlive it.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  explicit MemoryCharge(MemoryBudget& budget, size_t bytes = 0)
      : budget_(&budget) {
    Resize(bytes);
  }
  ~MemoryCharge() { Resize(0); }
  MemoryCharge(MemoryCharge&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)),
        bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }

  /// Changes what is held. Without a budget nothing is accounted.
  void Resize(size_t bytes) {
    if (budget_ != nullptr) {
      budget_->Replace(bytes_, bytes);
      bytes_ = bytes;
    }
  }
  /// Returns an empty charge to the same budget.
  MemoryCharge Another() const {
    MemoryCharge another;
    another.budget_ = budget_;
    return another;
  }
  size_t bytes() const { return bytes_; }
  /// Returns whether the budget is exceeded.
  bool is_over() const { return budget_ != nullptr && budget_->is_over(); }

 private:
  MemoryBudget* budget_ = nullptr;
  size_t bytes_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMORY_MEMORY_BUDGET_H_
