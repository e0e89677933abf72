#include "lavenderkeel/memory/body_memory.h"

namespace lavenderkeel {

BodyMemory::BodyMemory(Options options,
                       MemoryBudget& budget,
                       const Clock& clock)
    : options_(std::move(options)), budget_(budget), clock_(clock) {}

BodyMemory::Reservation BodyMemory::Request(size_t bytes,
                                            int rank,
                                            Hooks hooks) {
  const BodyId id = ++last_;
  Body& body = bodies_[id];
  body.rank = rank;
  body.hooks = std::move(hooks);
  body.charge = MemoryCharge(budget_);
  body.needed = bytes;
  body.waiting_since = clock_.Now();
  waiting_.insert({rank, id});
  return {.body = id, .granted = TryGrant(id, body)};
}

bool BodyMemory::Extend(BodyId id, size_t bytes) {
  Body& body = bodies_.at(id);
  body.needed = bytes;
  body.waiting_since = clock_.Now();
  reading_.erase({body.progressed_at, id});
  waiting_.insert({body.rank, id});
  return TryGrant(id, body);
}

void BodyMemory::OnProgress(BodyId id, size_t total_bytes) {
  const auto found = bodies_.find(id);
  if (found == bodies_.end()) {
    return;
  }
  Body& body = found->second;
  if (total_bytes - body.counted_bytes < options_.min_progress_bytes) {
    return;
  }
  body.counted_bytes = total_bytes;
  const bool reading = reading_.erase({body.progressed_at, id}) > 0;
  body.progressed_at = clock_.Now();
  if (reading) {
    reading_.insert({body.progressed_at, id});
  }
}

bool BodyMemory::Fits(size_t bytes, size_t held) const {
  if (!budget_.Fits(bytes - held)) {
    return false;
  }
  const size_t other_large = large_ - (IsLarge(held) ? held : 0);
  const auto large_limit = static_cast<size_t>(
      options_.large_part * static_cast<double>(budget_.limit()));
  // A single large body may be larger than the part of all of them.
  return !IsLarge(bytes) || other_large == 0 ||
         other_large + bytes <= large_limit;
}

void BodyMemory::Grant(BodyId id, Body& body) {
  const size_t held = body.charge.bytes();
  reserved_ += body.needed - held;
  large_ -= IsLarge(held) ? held : 0;
  large_ += IsLarge(body.needed) ? body.needed : 0;
  body.charge.Resize(body.needed);
  waiting_.erase({body.rank, id});
  body.progressed_at = clock_.Now();
  reading_.insert({body.progressed_at, id});
}

bool BodyMemory::TryGrant(BodyId id, Body& body) {
  const size_t held = body.charge.bytes();
  // A large body waits for its turn.
  if (IsLarge(body.needed)) {
    for (const auto& [rank, other] : waiting_) {
      if (other == id) {
        break;
      }
      if (IsLarge(bodies_.at(other).needed)) {
        return false;
      }
    }
  }
  if (!Fits(body.needed, held)) {
    EndStalled(body.needed, held);
  }
  if (!IsLarge(body.needed)) {
    EndWaiting(body.needed, held);
  }
  if (!Fits(body.needed, held) && options_.reclaim) {
    options_.reclaim(body.rank, body.needed - held);
  }
  if (!Fits(body.needed, held)) {
    return false;
  }
  Grant(id, body);
  return true;
}

void BodyMemory::EndStalled(size_t bytes, size_t held) {
  const TimePoint now = clock_.Now();
  while (!reading_.empty() && !Fits(bytes, held)) {
    const auto [progressed_at, id] = *reading_.begin();
    if (now - progressed_at < options_.stall_time) {
      return;
    }
    EndBody(id, End::kStalled);
  }
}

void BodyMemory::EndWaiting(size_t bytes, size_t held) {
  std::vector<BodyId> large;
  for (const auto& [rank, id] : waiting_) {
    if (IsLarge(bodies_.at(id).needed)) {
      large.push_back(id);
    }
  }
  while (!large.empty() && !Fits(bytes, held)) {
    EndBody(large.back(), End::kWaitOver);
    large.pop_back();
  }
}

void BodyMemory::EndBody(BodyId id, End end) {
  const auto found = bodies_.find(id);
  const std::function<void(End)> on_ended =
      std::move(found->second.hooks.on_ended);
  Release(id);
  on_ended(end);
}

void BodyMemory::Release(BodyId id) {
  const auto found = bodies_.find(id);
  if (found == bodies_.end()) {
    return;
  }
  Body& body = found->second;
  const size_t held = body.charge.bytes();
  reserved_ -= held;
  large_ -= IsLarge(held) ? held : 0;
  waiting_.erase({body.rank, id});
  reading_.erase({body.progressed_at, id});
  bodies_.erase(found);
}

void BodyMemory::Reclaim() {
  EndStalled(/*bytes=*/0, /*held=*/0);
  EndWaiting(/*bytes=*/0, /*held=*/0);
}

void BodyMemory::Process() {
  const TimePoint now = clock_.Now();
  const std::vector<Order> waiting(waiting_.begin(), waiting_.end());
  for (const auto& [rank, id] : waiting) {
    const auto found = bodies_.find(id);
    if (found == bodies_.end() || !waiting_.contains({rank, id})) {
      continue;
    }
    Body& body = found->second;
    if (body.needed > budget_.limit()) {
      EndBody(id, End::kTooLarge);
    } else if (TryGrant(id, body)) {
      // The body, and with it the hook, may end in the call.
      const std::function<void()> on_granted = body.hooks.on_granted;
      on_granted();
    } else if (now - body.waiting_since > options_.max_wait) {
      EndBody(id, End::kWaitOver);
    }
  }
}

}  // namespace lavenderkeel
