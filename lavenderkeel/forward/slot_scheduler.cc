#include "lavenderkeel/forward/slot_scheduler.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

/// Returns whether a result leaves it possible that the request ran.
bool MayHaveRun(SlotResult::Kind kind) {
  switch (kind) {
    case SlotResult::Kind::kUnused:
    case SlotResult::Kind::kFull:
    case SlotResult::Kind::kReplaced:
    case SlotResult::Kind::kUnreachable:
      return false;
    case SlotResult::Kind::kAnswered:
    case SlotResult::Kind::kServerError:
    case SlotResult::Kind::kFailed:
      return true;
  }
  return true;
}

/// Entry, version, canary version and suspicion of a request: whether a server
/// may get it if it fits there.
using RequestKind =
    std::tuple<std::string, std::string, std::string, CrashSuspicion>;

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
  const QueueKey key = QueueKeyOf(request);
  const TimePoint now = clock_.Now();
  groups_[key].last_request_time = now;
  paces_.OnRequest(request, now);
  // The entry asks again after a reconnect: the slot that it has is offered
  // again.
  if (const auto granted = grants_.find(id); granted != grants_.end()) {
    on_grant_(entry,
              {.attempt = request.attempt, .server = granted->second.server});
    return;
  }
  Remove(id);
  const QueuePosition position = PositionOf(id, request);
  const TeamWork work = work_estimators_[request.service].EstimateFor(request);
  waiting_by_attempt_[id] = {
      .request = request, .position = position, .work = work, .since = now};
  queues_
      .try_emplace(key, SlotQueue::Options{.fair_shares = options_.fair_shares})
      .first->second.Insert(position, work);
  late_times_.emplace(request.in_time_until, id);
  GrantFreeSlotsOfService(request.service);
}

QueuePosition SlotScheduler::PositionOf(const AttemptKey& id,
                                        const SlotRequest& request) const {
  const TimePoint now = clock_.Now();
  const bool late = now >= request.in_time_until;
  const RequestRank rank = {.priority = request.priority,
                            .route_priority = request.route_priority};
  if (!late && !request.model_server) {
    // Under a slight overload of plain work, oldest-first order lets every
    // request wait until it is just too late. Newest-first order answers the
    // newest at once, and as many in time as there is capacity for.
    return {.rank = rank,
            .sort_time = TimePoint(-now.time_since_epoch()),
            .attempt = id};
  }
  return {
      .rank = rank,
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
    SlotQueue& queue = queues_.at(QueueKeyOf(waiting.request));
    const QueuePosition former = waiting.position;
    waiting.position = PositionOf(id, waiting.request);
    if (waiting.position != former) {
      // Inserted first: a team or rank without waiting requests loses its
      // state.
      queue.Insert(waiting.position, waiting.work);
      queue.Erase(former, waiting.work);
    }
  }
}

void SlotScheduler::Remove(const AttemptKey& id) {
  const auto found = waiting_by_attempt_.find(id);
  if (found == waiting_by_attempt_.end()) {
    return;
  }
  const auto queue = queues_.find(QueueKeyOf(found->second.request));
  queue->second.Erase(found->second.position, found->second.work);
  late_times_.erase({found->second.request.in_time_until, id});
  waiting_by_attempt_.erase(found);
}

void SlotScheduler::ReleaseSlot(const std::string& entry,
                                AttemptId attempt,
                                const SlotResult& result) {
  const AttemptKey id = {entry, attempt};
  if (const auto waiting = waiting_by_attempt_.find(id);
      waiting != waiting_by_attempt_.end()) {
    ReportShareDecision(waiting->second, /*granted=*/false);
    Remove(id);
  }
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
  EraseGrant(granted, /*ran=*/MayHaveRun(result.kind));
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
    EraseGrant(grant, /*ran=*/false);
  }
  return !lost_grants.empty();
}

SlotScheduler::Grants::iterator SlotScheduler::EraseGrant(
    Grants::iterator grant,
    bool ran) {
  paces_.OnGrantGone(grant->first);
  if (const auto queue = queues_.find(grant->second.queue);
      queue != queues_.end()) {
    queue->second.End(grant->second.charge, ran);
  }
  suspects_.Remove(HashBytes(grant->second.server), grant->second.suspicion);
  return grants_.erase(grant);
}

void SlotScheduler::ForgetEntry(const std::string& entry) {
  occupancy_.Forget(entry);
  pushbacks_.ForgetEntry(entry);
  for (auto grant = grants_.lower_bound({entry, 0});
       grant != grants_.end() && grant->first.first == entry;) {
    grant = EraseGrant(grant, /*ran=*/true);
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
  std::erase_if(groups_, [this](const auto& item) {
    return clock_.Now() - item.second.last_request_time > options_.group_expiry;
  });
  std::erase_if(queues_, [this](const auto& item) {
    return item.second.empty() && item.second.running() == 0 &&
           (item.second.teams() == 0 || !groups_.contains(item.first));
  });
  std::erase_if(work_estimators_, [this](const auto& item) {
    const auto group =
        groups_.lower_bound({.service = item.first, .group = {0, 0}});
    return group == groups_.end() || group->first.service != item.first;
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
                                          SlotQueue& queue) {
  if (queue.empty()) {
    return;
  }
  const bool model_server =
      waiting_by_attempt_.at(queue.front().attempt).request.model_server;
  Placement::Candidates candidates = placement_.Find(
      key.service, model_server, key.group, State(), clock_.Now());
  // A request that fits no free server leaves the slot to those behind it.
  const TimePoint now = clock_.Now();
  int skipped = 0;
  int passed_over = 0;
  // No free server may get these. Counted, they would use up the limit of
  // skipped requests, and those behind them would not get the free slots.
  std::set<RequestKind, std::less<>> blocked;
  std::optional<SlotQueue::Pass> pass(std::in_place, queue);
  while (candidates.free > 0 && skipped < options_.max_skipped_requests &&
         passed_over < options_.max_blocked_requests) {
    const std::optional<QueuePosition> current = pass->Next();
    if (!current.has_value()) {
      break;
    }
    const std::string& entry = current->attempt.first;
    const SlotRequest& request =
        waiting_by_attempt_.at(current->attempt).request;
    const auto kind = std::tie(entry, request.version, request.canary_version,
                               request.suspicion);
    if (blocked.contains(kind)) {
      ++passed_over;
      continue;
    }
    const Placement::Admits admits = [&](uint64_t server) {
      return pushbacks_.Admits(entry, server, now);
    };
    Placement::Candidate* chosen = placement_.Choose(
        request, current->late,
        candidates.probes_due && paces_.CanProbe(request, now), candidates,
        suspects_, admits, now);
    if (chosen == nullptr) {
      if (!Placement::HasFreeServerFor(request, candidates, suspects_,
                                       admits)) {
        blocked.insert(RequestKind(kind));
        continue;
      }
      ++skipped;
      pass->OnSkipped();
      continue;
    }
    const bool probe = chosen->probe_due;
    candidates.AddRequest(*chosen);
    // The grant may add or remove other requests.
    Grant(current->attempt, *chosen->server, probe);
  }
  pass.reset();
  if (candidates.free > 0) {
    queue.OnSlotsLeft();
  }
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
  const TimePoint now = clock_.Now();
  const WaitingRequest& waiting = waiting_by_attempt_.at(id);
  const CrashSuspicion suspicion = waiting.request.suspicion;
  const QueueKey queue = QueueKeyOf(waiting.request);
  ReportShareDecision(waiting, /*granted=*/true);
  if (const auto group = groups_.find(queue); group != groups_.end()) {
    RankGrants& rank = group->second.grants[waiting.position.rank];
    ++rank.count;
    if (options_.fair_shares) {
      rank.work.Add(waiting.work, now);
    }
  }
  const SlotCharge charge =
      queues_.at(queue).Grant(waiting.position, waiting.work);
  paces_.OnGrant(id, key, waiting.request, UsualMs(waiting.request), probe,
                 now);
  Remove(id);
  grants_[id] = {.server = key,
                 .granted_at = now,
                 .suspicion = suspicion,
                 .queue = queue,
                 .charge = charge};
  suspects_.Add(hash, suspicion);
  occupancy_.AddGrant(id.first, hash);
  rate_limiter_.Take(key);
  pushbacks_.OnGranted(id.first, hash, now);
  on_grant_(id.first, grant);
}

void SlotScheduler::ReportShareDecision(const WaitingRequest& waiting,
                                        bool granted) {
  if (!options_.fair_shares || !options_.on_share_decision) {
    return;
  }
  const QueueKey key = QueueKeyOf(waiting.request);
  const RequestRank& rank = waiting.position.rank;
  const SlotQueue::TeamState state =
      queues_.at(key).StateOf(rank, waiting.work);
  const auto group = groups_.find(key);
  if (state.teams_waiting < 2 || group == groups_.end()) {
    return;
  }
  const TimePoint now = clock_.Now();
  options_.on_share_decision(
      {.granted = granted,
       .service = key.service,
       .position = waiting.position,
       .work = waiting.work,
       .waited = now - waiting.since,
       .state = state,
       .recent =
           group->second.grants[rank].work.SummaryFor(waiting.work.team, now)});
}

std::vector<SlotGroupReport> SlotScheduler::Reports() const {
  std::vector<SlotGroupReport> reports;
  for (const auto& [key, group] : groups_) {
    reports.push_back(
        {.service_hash = HashBytes(key.service),
         .group = key.group,
         .free = FreeCapacity(key.service, key.group),
         .waiting = static_cast<int>(waiting(key.service, key.group)),
         .ranks = options_.reports_ranks ? RankLoads(key, group)
                                         : std::vector<RankLoad>()});
  }
  return reports;
}

std::vector<RankLoad> SlotScheduler::RankLoads(const QueueKey& key,
                                               const Group& group) const {
  std::map<RequestRank, RankLoad> by_rank;
  for (const auto& [rank, grants] : group.grants) {
    by_rank[rank].granted = grants.count;
  }
  if (const auto queue = queues_.find(key); queue != queues_.end()) {
    for (const SlotQueue::RankSize& size : queue->second.RankSizes()) {
      RankLoad& load = by_rank[size.rank];
      load.waiting = static_cast<int>(size.waiting);
      load.late = static_cast<int>(size.late);
    }
  }
  std::vector<RankLoad> loads;
  loads.reserve(by_rank.size());
  for (auto& [rank, load] : by_rank) {
    load.priority = rank.priority;
    load.route_priority = rank.route_priority;
    loads.push_back(load);
  }
  return loads;
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
