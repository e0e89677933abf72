#include "lavenderkeel/forward/slot_router.h"

#include <algorithm>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

SlotRouter::SlotRouter(Options options,
                       const ServerDirectory& directory,
                       const Clock& clock,
                       const EventLog& log,
                       Hooks hooks)
    : options_(std::move(options)),
      directory_(directory),
      clock_(clock),
      log_(log),
      hooks_(std::move(hooks)) {}

void SlotRouter::Ask(SlotAsk ask) {
  ask.group = ChooseGroup(ask);
  ++asked_[{HashBytes(ask.service), ask.group}];
  const AttemptId attempt = ask.attempt;
  Pending& pending = pending_[attempt];
  pending = {.ask = std::move(ask), .gate = {}};
  Send(pending);
}

void SlotRouter::Send(Pending& pending) {
  pending.gate = GateOf(pending.ask.service, pending.ask.group);
  pending.granted = false;
  // A copy: the gate may be here, grant at once, and the attempt may be over.
  const std::string gate = pending.gate;
  const SlotAsk ask = pending.ask;
  hooks_.ask(gate, ask);
}

SlotGroup SlotRouter::ChooseGroup(const SlotAsk& ask) {
  const size_t servers = directory_.Usable(ask.service).size();
  const auto count =
      static_cast<uint32_t>(std::max<size_t>(1, servers / ServersPerGate()));
  const uint64_t service_hash = HashBytes(ask.service);
  // The group with the most room by its gate's last report, less what was asked
  // of it since. In turn among equals, so that entries spread.
  SlotGroup best;
  int best_room = 0;
  const uint32_t first = turn_++;
  for (uint32_t i = 0; i < count; ++i) {
    const SlotGroup group = {.index = (first + i) % count, .count = count};
    const auto gate = gates_.find(GateOf(ask.service, group));
    int room = -asked_[{service_hash, group}];
    if (gate != gates_.end()) {
      for (const GateReport& report : gate->second.reports) {
        if (report.service_hash == service_hash && report.group == group) {
          room += report.free - report.waiting;
        }
      }
    }
    if (i == 0 || room > best_room) {
      best = group;
      best_room = room;
    }
  }
  return best;
}

size_t SlotRouter::ServersPerGate() const {
  return std::max(
      options_.servers_per_gate,
      static_cast<size_t>(options_.servers_per_core * weakest_host_));
}

std::string SlotRouter::GateOf(const std::string& service,
                               const SlotGroup& group) const {
  const uint64_t key = HashBytes(service, group.index);
  std::string best = options_.self;
  uint64_t best_weight =
      leaving_ || !hosts_gates_ ? 0 : RendezvousWeight(key, best);
  for (const auto& [entry, gate] : gates_) {
    const uint64_t weight = RendezvousWeight(key, entry);
    if (entry != options_.self && weight > best_weight && IsUp(entry)) {
      best = entry;
      best_weight = weight;
    }
  }
  return best;
}

bool SlotRouter::IsUp(const std::string& entry) const {
  const auto found = gates_.find(entry);
  return found != gates_.end() &&
         clock_.Now() - found->second.heard <= options_.gate_silence;
}

bool SlotRouter::OnGrant(const std::string& gate, AttemptId attempt) {
  const auto found = pending_.find(attempt);
  // A wish that was taken elsewhere meanwhile may be granted twice; the first
  // slot is used, the other goes back.
  if (found == pending_.end() || found->second.granted ||
      found->second.gate != gate) {
    return false;
  }
  found->second.granted = true;
  return true;
}

void SlotRouter::Done(AttemptId attempt, const SlotResult& result) {
  const auto found = pending_.find(attempt);
  if (found == pending_.end()) {
    return;
  }
  const std::string gate = found->second.gate;
  pending_.erase(found);
  hooks_.done(gate, attempt, result);
}

std::string SlotRouter::GateAsked(AttemptId attempt) const {
  const auto found = pending_.find(attempt);
  return found == pending_.end() ? "" : found->second.gate;
}

void SlotRouter::OnHeard(const std::string& entry,
                         const std::vector<GateReport>& gates) {
  gates_[entry] = {.heard = clock_.Now(), .reports = gates};
  for (const GateReport& report : gates) {
    asked_.erase({report.service_hash, report.group});
  }
}

void SlotRouter::OnReconnected(const std::string& entry) {
  AskAgain(entry);
}

void SlotRouter::OnGone(const std::string& entry) {
  if (gates_.erase(entry) > 0) {
    AskAgain(entry);
  }
}

void SlotRouter::Tick() {
  for (const auto& [entry, gate] : gates_) {
    if (IsUp(entry)) {
      continue;
    }
    if (const size_t moved = AskAgain(entry); moved > 0) {
      log_.Warn("gate_silent", {{"gate", entry}, {"waiting", moved}});
    }
  }
}

size_t SlotRouter::AskAgain(const std::string& gate) {
  std::vector<AttemptId> waiting;
  for (const auto& [attempt, pending] : pending_) {
    if (pending.gate == gate && !pending.granted) {
      waiting.push_back(attempt);
    }
  }
  for (const AttemptId attempt : waiting) {
    // One that was granted on the way may be over by now.
    const auto found = pending_.find(attempt);
    if (found != pending_.end() && !found->second.granted) {
      Send(found->second);
    }
  }
  return waiting.size();
}

}  // namespace lavenderkeel
