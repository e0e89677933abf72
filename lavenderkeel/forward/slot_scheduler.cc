#include "lavenderkeel/forward/slot_scheduler.h"

#include <algorithm>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

PaceTracker::Options PaceOptionsOf(const SlotScheduler::Options& options) {
  PaceTracker::Options paces = options.paces;
  paces.enabled = options.placement.server_probes;
  return paces;
}

}  // namespace

SlotScheduler::SlotScheduler(Options options,
                             const ServerDirectory& directory,
                             const ServerNotices& notices,
                             const Clock& clock,
                             OnGrant on_grant)
    : options_(std::move(options)),
      directory_(directory),
      clock_(clock),
      on_grant_(std::move(on_grant)),
      notices_(notices),
      placement_(options_.placement),
      rate_limiter_(options_.rate_limits, notices, clock),
      paces_(PaceOptionsOf(options_)),
      pushbacks_(options_.pushbacks) {}

void SlotScheduler::RequestSlot(const std::string& entry,
                                const SlotRequest& request) {
  const AttemptKey id = {entry, request.attempt};
  last_request_times_[QueueKeyOf(request)] = clock_.Now();
  paces_.OnRequest(request, clock_.Now());
  // The entry asks again after a reconnect: the slot that it has is offered
  // again.
  if (const auto granted = grants_.find(id); granted != grants_.end()) {
    on_grant_(entry,
              {.attempt = request.attempt, .server = granted->second.server});
    return;
  }
  Remove(id);
  const QueuePosition position = PositionOf(id, request);
  waiting_by_attempt_[id] = {.request = request, .position = position};
  queues_[QueueKeyOf(request)].insert(position);
  late_times_.emplace(request.in_time_until, id);
  GrantFreeSlotsOfService(request.service);
}

SlotScheduler::QueuePosition SlotScheduler::PositionOf(
    const AttemptKey& id,
    const SlotRequest& request) const {
  const TimePoint now = clock_.Now();
  const bool late = now >= request.in_time_until;
  if (!late && !request.model_server) {
    // Under a slight overload of plain work, oldest-first order lets every
    // request wait until it is just too late. Newest-first order answers the
    // newest at once, and as many in time as there is capacity for.
    return {.priority = request.priority,
            .route_priority = request.route_priority,
            .sort_time = TimePoint(-now.time_since_epoch()),
            .attempt = id};
  }
  return {
      .priority = request.priority,
      .route_priority = request.route_priority,
      .late = late,
      .sort_time = (late ? request.due : request.in_time_until) +
                   std::chrono::duration_cast<Duration>(
                       LengthPenalty(request) * options_.length_penalty_weight),
      .attempt = id};
}

Duration SlotScheduler::LengthPenalty(const SlotRequest& request) const {
  return request.by_length ? FromMilliseconds(UsualMs(request))
                           : Duration::zero();
}

double SlotScheduler::UsualMs(const SlotRequest& request) const {
  const auto found = speeds_.find(request.service);
  if (found == speeds_.end()) {
    return 0;
  }
  const ServerSpeed& speed = found->second;
  return request.size.prompt_tokens * speed.read_ms_per_token().value_or(0) +
         request.size.events * speed.pace_ms().value_or(0);
}

void SlotScheduler::DemoteLateRequests() {
  // In a burst that exceeds the capacity for some seconds, first come, first
  // served makes every request of the rank late. In this order as many requests
  // as there are slots are in time, and late requests, which are still useful,
  // take the remaining slots.
  const TimePoint now = clock_.Now();
  while (!late_times_.empty() && late_times_.begin()->first <= now) {
    const AttemptKey id = late_times_.begin()->second;
    late_times_.erase(late_times_.begin());
    WaitingRequest& waiting = waiting_by_attempt_.at(id);
    std::set<QueuePosition>& queue = queues_.at(QueueKeyOf(waiting.request));
    queue.erase(waiting.position);
    waiting.position = PositionOf(id, waiting.request);
    queue.insert(waiting.position);
  }
}

void SlotScheduler::Remove(const AttemptKey& id) {
  const auto found = waiting_by_attempt_.find(id);
  if (found == waiting_by_attempt_.end()) {
    return;
  }
  const auto queue = queues_.find(QueueKeyOf(found->second.request));
  queue->second.erase(found->second.position);
  late_times_.erase({found->second.request.in_time_until, id});
  waiting_by_attempt_.erase(found);
}

void SlotScheduler::ReleaseSlot(const std::string& entry,
                                AttemptId attempt,
                                const SlotResult& result) {
  const AttemptKey id = {entry, attempt};
  Remove(id);
  const auto granted = grants_.find(id);
  if (granted == grants_.end()) {
    return;
  }
  const std::string server = granted->second.server;
  // Failures count before the pace tracker sees whether they led to a backoff.
  const BackendServer* known = directory_.Find(server);
  if (known != nullptr) {
    ServerLoad& load = loads_[server];
    load.OnEnd(result, clock_.Now());
    paces_.OnEnd(id, result, load.IsInBackoff(clock_.Now()), clock_.Now());
  }
  EraseGrant(granted);
  occupancy_.RemoveGrant(entry, HashBytes(server));
  if (result.pushback > Duration::zero()) {
    pushbacks_.OnPushback(entry, HashBytes(server),
                          clock_.Now() + result.pushback);
  }
  if (known != nullptr) {
    speeds_[known->service].OnEnd(result);
    GrantFreeSlotsOfService(std::string(known->service));
  }
}

void SlotScheduler::OnReport(const std::string& entry,
                             const std::vector<ServerCount>& counts) {
  // A coordinator receives a thousand reports a second, few of which free a
  // slot.
  const bool slot_freed = occupancy_.SetReport(entry, counts);
  const bool grants_lost = VoidLostGrants(entry);
  if (slot_freed || grants_lost) {
    GrantFreeSlots();
  }
}

bool SlotScheduler::VoidLostGrants(const std::string& entry) {
  // A connection can break with a grant or the end of an attempt in transit,
  // which would leave an unused slot reserved forever. The entry's reports show
  // its actual requests; grants in excess of these that are old enough to be
  // reported are void.
  const TimePoint now = clock_.Now();
  std::map<uint64_t, int> grants_by_server;
  std::vector<AttemptKey> lost_grants;
  for (auto grant = grants_.lower_bound({entry, 0});
       grant != grants_.end() && grant->first.first == entry; ++grant) {
    if (now - grant->second.granted_at < options_.grant_report_time) {
      continue;
    }
    const uint64_t server = HashBytes(grant->second.server);
    if (++grants_by_server[server] >
        occupancy_.ReportedInFlight(entry, server)) {
      lost_grants.push_back(grant->first);
    }
  }
  for (const AttemptKey& id : lost_grants) {
    const auto grant = grants_.find(id);
    occupancy_.VoidGrant(entry, HashBytes(grant->second.server));
    EraseGrant(grant);
  }
  return !lost_grants.empty();
}

SlotScheduler::Grants::iterator SlotScheduler::EraseGrant(
    Grants::iterator grant) {
  paces_.OnGrantGone(grant->first);
  suspects_.Remove(HashBytes(grant->second.server), grant->second.suspicion);
  return grants_.erase(grant);
}

void SlotScheduler::ForgetEntry(const std::string& entry) {
  occupancy_.Forget(entry);
  pushbacks_.ForgetEntry(entry);
  for (auto grant = grants_.lower_bound({entry, 0});
       grant != grants_.end() && grant->first.first == entry;) {
    grant = EraseGrant(grant);
  }
  std::vector<AttemptKey> attempts;
  for (const auto& [id, waiting] : waiting_by_attempt_) {
    if (id.first == entry) {
      attempts.push_back(id);
    }
  }
  for (const AttemptKey& id : attempts) {
    Remove(id);
  }
  GrantFreeSlots();
}

void SlotScheduler::GrantFreeSlots() {
  // A grant may end at once and re-enter this function; the outer call
  // continues.
  if (std::exchange(granting_, true)) {
    return;
  }
  DemoteLateRequests();
  for (auto& [key, queue] : queues_) {
    GrantFreeSlotsInQueue(key, queue);
  }
  granting_ = false;
}

void SlotScheduler::GrantFreeSlotsOfService(const std::string& service) {
  if (std::exchange(granting_, true)) {
    return;
  }
  DemoteLateRequests();
  for (auto item = queues_.lower_bound({.service = service, .group = {0, 0}});
       item != queues_.end() && item->first.service == service; ++item) {
    GrantFreeSlotsInQueue(item->first, item->second);
  }
  granting_ = false;
}

void SlotScheduler::Tick() {
  std::erase_if(queues_, [](const auto& item) { return item.second.empty(); });
  std::erase_if(last_request_times_, [this](const auto& item) {
    return clock_.Now() - item.second > options_.group_expiry;
  });
  std::erase_if(loads_, [this](const auto& item) {
    return directory_.Find(item.first) == nullptr;
  });
  paces_.Tick(directory_);
  rate_limiter_.Tick();
  pushbacks_.Tick(clock_.Now());
  GrantFreeSlots();
}

Placement::ServerState SlotScheduler::State() const {
  return {.directory = directory_,
          .loads = loads_,
          .occupancy = occupancy_,
          .notices = notices_,
          .rate_limiter = rate_limiter_,
          .paces = paces_};
}

void SlotScheduler::GrantFreeSlotsInQueue(const QueueKey& key,
                                          std::set<QueuePosition>& queue) {
  if (queue.empty()) {
    return;
  }
  const bool model_server =
      waiting_by_attempt_.at(queue.begin()->attempt).request.model_server;
  Placement::Candidates candidates = placement_.Find(
      key.service, model_server, key.group, State(), clock_.Now());
  // A request that fits no free server leaves the slot to those behind it.
  const TimePoint now = clock_.Now();
  int skipped = 0;
  std::set<std::string> blocked_entries;
  auto position = queue.begin();
  while (position != queue.end() && candidates.free > 0 &&
         skipped < options_.max_skipped_requests) {
    const QueuePosition current = *position;
    const std::string& entry = current.attempt.first;
    if (blocked_entries.contains(entry)) {
      ++position;
      continue;
    }
    const SlotRequest& request =
        waiting_by_attempt_.at(current.attempt).request;
    Placement::Candidate* chosen = placement_.Choose(
        request, current.late,
        candidates.probes_due && paces_.CanProbe(request, now), candidates,
        suspects_,
        [&](uint64_t server) { return pushbacks_.Admits(entry, server, now); },
        now);
    if (chosen == nullptr) {
      // Its other requests would use up the limit of skipped requests, and
      // those of other entries behind them would not get the free slots.
      if (IsPushedBackByAll(entry, candidates)) {
        blocked_entries.insert(entry);
        continue;
      }
      ++skipped;
      ++position;
      continue;
    }
    const bool probe = chosen->probe_due;
    candidates.AddRequest(*chosen);
    Grant(current.attempt, *chosen->server, probe);
    // The grant may have added or removed other requests.
    position = queue.upper_bound(current);
  }
}

bool SlotScheduler::IsPushedBackByAll(
    const std::string& entry,
    const Placement::Candidates& candidates) const {
  return std::ranges::none_of(
      candidates.servers, [&](const Placement::Candidate& candidate) {
        return candidate.in_flight < candidate.capacity &&
               pushbacks_.Admits(entry, candidate.hash, clock_.Now());
      });
}

void SlotScheduler::Grant(const AttemptKey& id,
                          const BackendServer& server,
                          bool probe) {
  const std::string key = server.start_key();
  const uint64_t hash = HashBytes(key);
  const ServerLoad& load = loads_[key];
  const SlotGrant grant = {.attempt = id.second,
                           .server = key,
                           .in_flight = occupancy_.InFlight(hash),
                           .pace_ms = load.speed().pace_ms().value_or(0)};
  const SlotRequest& request = waiting_by_attempt_.at(id).request;
  const CrashSuspicion suspicion = request.suspicion;
  paces_.OnGrant(id, key, request, UsualMs(request), probe, clock_.Now());
  Remove(id);
  grants_[id] = {
      .server = key, .granted_at = clock_.Now(), .suspicion = suspicion};
  suspects_.Add(hash, suspicion);
  occupancy_.AddGrant(id.first, hash);
  rate_limiter_.Take(key);
  pushbacks_.OnGranted(id.first, hash, clock_.Now());
  on_grant_(id.first, grant);
}

std::vector<SlotGroupReport> SlotScheduler::Reports() const {
  std::vector<SlotGroupReport> reports;
  for (const auto& [key, last_request_time] : last_request_times_) {
    reports.push_back(
        {.service_hash = HashBytes(key.service),
         .group = key.group,
         .free = FreeCapacity(key.service, key.group),
         .waiting = static_cast<int>(waiting(key.service, key.group))});
  }
  return reports;
}

size_t SlotScheduler::waiting(const std::string& service,
                              const SlotGroup& group) const {
  const auto found = queues_.find({.service = service, .group = group});
  return found == queues_.end() ? 0 : found->second.size();
}

int SlotScheduler::FreeCapacity(const std::string& service,
                                const SlotGroup& group) const {
  return placement_
      .Find(service, /*model_server=*/true, group, State(), clock_.Now())
      .free;
}

}  // namespace lavenderkeel
