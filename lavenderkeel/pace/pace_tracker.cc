#include "lavenderkeel/pace/pace_tracker.h"

#include <algorithm>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

LeastUrgentRank::Rank RankOf(const SlotRequest& request) {
  return {request.priority, request.route_priority};
}

}  // namespace

void PaceTracker::OnRequest(const SlotRequest& request, TimePoint now) {
  if (options_.enabled) {
    services_[request.service].least_urgent_rank.OnRequest(RankOf(request),
                                                           now);
  }
}

void PaceTracker::OnGrant(const GrantId& grant,
                          const std::string& server,
                          const SlotRequest& request,
                          double usual_ms,
                          bool probe,
                          TimePoint now) {
  if (!options_.enabled) {
    return;
  }
  const uint64_t hash = HashBytes(server);
  Server& state =
      servers_
          .try_emplace(hash, Server{.start_key = server,
                                    .pace = RelativePace(options_.pace),
                                    .overdue = OverdueGrants(options_.overdue),
                                    .trial = ServerTrial(options_.trial)})
          .first->second;
  const double limit_ms =
      request.model_server
          ? options_.stream_overdue_factor * usual_ms
          : options_.plain_overdue_factor *
                services_[request.service].pace.upper_quantile_ms();
  const Running running = {.server = hash,
                           .service = request.service,
                           .granted_at = now,
                           .limit = FromMilliseconds(limit_ms),
                           .probe = probe};
  running_[grant] = running;
  ++state.running;
  state.last_grant_at = now;
  if (running.limit > Duration::zero()) {
    state.overdue.Add(grant, running.limit, now);
  }
  if (probe) {
    state.trial.OnProbe(grant, now);
    Emit(PaceEvent::Kind::kProbe, state, grant, now);
  }
}

void PaceTracker::OnEnd(const GrantId& grant,
                        const SlotResult& result,
                        bool backed_off,
                        TimePoint now) {
  const auto found = running_.find(grant);
  if (found == running_.end()) {
    return;
  }
  const Running running = found->second;
  running_.erase(found);
  const auto item = servers_.find(running.server);
  if (item == servers_.end()) {
    return;
  }
  Server& server = item->second;
  Remove(grant, running);
  switch (result.kind) {
    case SlotResult::Kind::kUnused:
    // The server is well but full, or it is gone.
    case SlotResult::Kind::kFull:
    case SlotResult::Kind::kReplaced:
      server.trial.EndProbe(grant);
      return;
    case SlotResult::Kind::kAnswered:
      OnAnswered(grant, running, server, result, now);
      return;
    case SlotResult::Kind::kServerError:
    case SlotResult::Kind::kFailed:
    case SlotResult::Kind::kUnreachable:
      const bool failed_before = server.trial.failed();
      server.trial.OnFailed(backed_off, grant);
      if (!failed_before && server.trial.failed()) {
        Emit(PaceEvent::Kind::kFailed, server, grant, now);
      }
      return;
  }
}

void PaceTracker::OnAnswered(const GrantId& grant,
                             const Running& running,
                             Server& server,
                             const SlotResult& result,
                             TimePoint now) {
  const bool slow_before = server.pace.was_slow();
  bool improved = false;
  if (result.pace_ms.has_value()) {
    ServicePace& service = services_[running.service].pace;
    const double sample =
        service.empty()
            ? 1
            : std::max(*result.pace_ms, ServicePace::kMinMs) / service.ms();
    improved = sample * options_.pace.slow_ratio < server.pace.At(now);
    server.pace.Add(sample, running.probe, now);
    improved = improved || server.pace.IsFast(now);
    service.Add(*result.pace_ms);
  }
  if (server.trial.OnAnswered(improved, grant, now)) {
    Emit(PaceEvent::Kind::kReturned, server, grant, now);
  }
  const bool slow = server.pace.was_slow();
  if (slow == slow_before) {
    return;
  }
  if (!slow) {
    server.trial.BeginSlowStart(server.running);
  }
  Emit(slow ? PaceEvent::Kind::kSlow : PaceEvent::Kind::kReturned, server,
       grant, now);
}

void PaceTracker::Remove(const GrantId& grant, const Running& running) {
  const auto server = servers_.find(running.server);
  if (server != servers_.end()) {
    --server->second.running;
    server->second.overdue.Remove(grant, running.limit, running.granted_at);
  }
}

void PaceTracker::OnGrantGone(const GrantId& grant) {
  const auto found = running_.find(grant);
  if (found == running_.end()) {
    return;
  }
  Remove(grant, found->second);
  const auto server = servers_.find(found->second.server);
  if (server != servers_.end()) {
    server->second.trial.EndProbe(grant);
  }
  running_.erase(found);
}

void PaceTracker::Tick(const ServerDirectory& directory) {
  std::erase_if(servers_, [&directory](const auto& item) {
    return directory.Find(item.second.start_key) == nullptr;
  });
}

PaceTracker::View PaceTracker::ViewOf(uint64_t server,
                                      bool model_server,
                                      TimePoint now) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return {.probe_due = true, .capacity = std::numeric_limits<int>::max()};
  }
  const Server& state = found->second;
  // The lengths of streams differ tenfold and more, so that long ones are the
  // larger part of those that run; only a majority says something.
  const int tolerated =
      model_server ? std::max(1, static_cast<int>(state.overdue.size() / 2))
                   : 1;
  const double pace = state.pace.At(now);
  const bool out_of_use = state.trial.failed() || state.pace.IsSlow(now) ||
                          !state.pace.IsEstablished(now);
  return {.relative_pace = state.overdue.Apply(pace, tolerated, now),
          .probes_only = state.trial.failed(),
          .probe_due = state.trial.IsProbeDue(out_of_use, now),
          .capacity = state.trial.capacity(),
          .last_grant_at = state.last_grant_at};
}

double PaceTracker::ServicePaceMs(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() || found->second.pace.empty()
             ? 0
             : found->second.pace.ms();
}

bool PaceTracker::CanProbe(const SlotRequest& request, TimePoint now) const {
  const auto service = services_.find(request.service);
  return service != services_.end() &&
         request.suspicion == CrashSuspicion::kClear &&
         service->second.least_urgent_rank.Contains(RankOf(request), now);
}

void PaceTracker::Emit(PaceEvent::Kind kind,
                       const Server& server,
                       const GrantId& grant,
                       TimePoint now) const {
  if (!options_.on_event) {
    return;
  }
  options_.on_event({.kind = kind,
                     .server = server.start_key,
                     .relative_pace = server.pace.At(now),
                     .sample_age = server.pace.empty()
                                       ? Duration::zero()
                                       : now - server.pace.last_sample_at(),
                     .entry = grant.first,
                     .attempt = grant.second});
}

}  // namespace lavenderkeel
