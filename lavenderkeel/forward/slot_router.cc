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

void SlotRouter::RequestSlot(SlotRequest request) {
  request.group = ChooseGroup(request);
  ++requests_since_report_[{HashBytes(request.service), request.group}];
  const AttemptId attempt = request.attempt;
  Pending& pending = pending_[attempt];
  pending = {.request = std::move(request), .scheduler = {}};
  Send(pending);
}

void SlotRouter::Send(Pending& pending) {
  pending.scheduler =
      SchedulerFor(pending.request.service, pending.request.group);
  pending.granted = false;
  // Copied: a scheduler at this entry may grant the slot within the call, and
  // the attempt may end, which erases `pending`.
  const std::string scheduler = pending.scheduler;
  const SlotRequest request = pending.request;
  hooks_.request_slot(scheduler, request);
}

SlotGroup SlotRouter::ChooseGroup(const SlotRequest& request) {
  const size_t servers = directory_.Usable(request.service).size();
  const auto count = static_cast<uint32_t>(
      std::max<size_t>(1, servers / MinServersPerScheduler()));
  const uint64_t service_hash = HashBytes(request.service);
  // The group with the most free slots by its scheduler's last report, less the
  // requests sent since. Round robin among equals, so that entries spread their
  // requests.
  SlotGroup best;
  int best_net_free_slots = 0;
  const uint32_t first = round_robin_++;
  for (uint32_t i = 0; i < count; ++i) {
    const SlotGroup group = {.index = (first + i) % count, .count = count};
    const auto scheduler =
        schedulers_.find(SchedulerFor(request.service, group));
    int net_free_slots = -requests_since_report_[{service_hash, group}];
    if (scheduler != schedulers_.end()) {
      for (const SlotGroupReport& report : scheduler->second.reports) {
        if (report.service_hash == service_hash && report.group == group) {
          net_free_slots += report.free - report.waiting;
        }
      }
    }
    if (i == 0 || net_free_slots > best_net_free_slots) {
      best = group;
      best_net_free_slots = net_free_slots;
    }
  }
  return best;
}

size_t SlotRouter::MinServersPerScheduler() const {
  return std::max(options_.min_servers_per_scheduler,
                  static_cast<size_t>(options_.min_servers_per_core *
                                      min_host_processor_share_));
}

std::string SlotRouter::SchedulerFor(const std::string& service,
                                     const SlotGroup& group) const {
  const uint64_t key = HashBytes(service, group.index);
  std::string best = options_.self;
  uint64_t best_weight =
      leaving_ || !hosts_schedulers_ ? 0 : RendezvousWeight(key, best);
  for (const auto& [entry, scheduler] : schedulers_) {
    const uint64_t weight = RendezvousWeight(key, entry);
    if (entry != options_.self && weight > best_weight && IsUp(entry)) {
      best = entry;
      best_weight = weight;
    }
  }
  return best;
}

bool SlotRouter::IsUp(const std::string& entry) const {
  const auto found = schedulers_.find(entry);
  return found != schedulers_.end() &&
         clock_.Now() - found->second.last_report_time <=
             options_.scheduler_timeout;
}

bool SlotRouter::OnGrant(const std::string& scheduler, AttemptId attempt) {
  const auto found = pending_.find(attempt);
  // A request that was moved to another scheduler may be granted twice; the
  // first slot is used, the other is returned.
  if (found == pending_.end() || found->second.granted ||
      found->second.scheduler != scheduler) {
    return false;
  }
  found->second.granted = true;
  return true;
}

void SlotRouter::ReleaseSlot(AttemptId attempt, const SlotResult& result) {
  const auto found = pending_.find(attempt);
  if (found == pending_.end()) {
    return;
  }
  const std::string scheduler = found->second.scheduler;
  pending_.erase(found);
  hooks_.release_slot(scheduler, attempt, result);
}

std::string SlotRouter::RequestedScheduler(AttemptId attempt) const {
  const auto found = pending_.find(attempt);
  return found == pending_.end() ? "" : found->second.scheduler;
}

void SlotRouter::OnReport(const std::string& entry,
                          const std::vector<SlotGroupReport>& reports) {
  schedulers_[entry] = {.last_report_time = clock_.Now(), .reports = reports};
  for (const SlotGroupReport& report : reports) {
    requests_since_report_.erase({report.service_hash, report.group});
  }
}

void SlotRouter::OnReconnected(const std::string& entry) {
  Resend(entry);
}

void SlotRouter::OnSchedulerUnavailable(const std::string& entry) {
  if (schedulers_.erase(entry) > 0) {
    Resend(entry);
  }
}

void SlotRouter::Tick() {
  for (const auto& [entry, scheduler] : schedulers_) {
    if (IsUp(entry)) {
      continue;
    }
    if (const size_t moved = Resend(entry); moved > 0) {
      log_.Warn("gate_silent", {{"gate", entry}, {"waiting", moved}});
    }
  }
}

size_t SlotRouter::Resend(const std::string& scheduler) {
  std::vector<AttemptId> waiting;
  for (const auto& [attempt, pending] : pending_) {
    if (pending.scheduler == scheduler && !pending.granted) {
      waiting.push_back(attempt);
    }
  }
  for (const AttemptId attempt : waiting) {
    // A request that was granted during this loop may have ended already.
    const auto found = pending_.find(attempt);
    if (found != pending_.end() && !found->second.granted) {
      Send(found->second);
    }
  }
  return waiting.size();
}

}  // namespace lavenderkeel
