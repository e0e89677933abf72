#include "lavenderkeel/forward/internal/forward_wire.h"

#include <algorithm>
#include <memory>

namespace lavenderkeel::internal {

namespace {

/// If a peer sends lists of different lengths, the surplus is ignored.
UsageTotals ToTotals(const std::vector<uint64_t>& teams,
                     const std::vector<double>& drawn) {
  UsageTotals totals;
  const size_t count = std::min(teams.size(), drawn.size());
  totals.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    totals.emplace_back(teams[i], drawn[i]);
  }
  return totals;
}

void PutTotals(const UsageTotals& totals,
               std::vector<uint64_t>& teams,
               std::vector<double>& drawn) {
  for (const auto& [team, total] : totals) {
    teams.push_back(team);
    drawn.push_back(total);
  }
}

std::vector<RankLoad> RanksFromWire(const GateStatus& gate_status) {
  std::vector<RankLoad> ranks;
  for (const auto& rank : gate_status.ranks) {
    if (rank != nullptr) {
      ranks.push_back({.priority = rank->priority,
                       .route_priority = rank->route_priority,
                       .waiting = static_cast<int>(rank->waiting),
                       .granted = rank->granted,
                       .late = static_cast<int>(rank->late)});
    }
  }
  return ranks;
}

using WireDemand = std::vector<std::unique_ptr<fbs::TeamRankDemandT>>;

void PutDemand(const DemandTotals& demand, WireDemand& wire) {
  for (const TeamRankDemand& total : demand) {
    auto item = std::make_unique<fbs::TeamRankDemandT>();
    item->team = total.team;
    item->rank = total.rank;
    item->units = total.units;
    wire.push_back(std::move(item));
  }
}

DemandTotals ToDemand(const WireDemand& wire) {
  DemandTotals demand;
  for (const auto& item : wire) {
    if (item != nullptr) {
      demand.push_back(
          {.team = item->team, .rank = item->rank, .units = item->units});
    }
  }
  return demand;
}

fbs::LoadReportT& LoadReportOf(ForwardStatus& status) {
  if (status.load == nullptr) {
    status.load = std::make_unique<fbs::LoadReportT>();
  }
  return *status.load;
}

}  // namespace

ServerFeed ToWire(const ObjectDelta& delta) {
  ServerFeed feed;
  feed.complete = delta.complete;
  feed.revision = delta.revision;
  for (const StoredObject& object : delta.objects) {
    auto fed_object = std::make_unique<fbs::FedObjectT>();
    fed_object->name = object.name;
    fed_object->revision = object.revision;
    fed_object->removed = object.removed;
    fed_object->content = object.content;
    feed.objects.push_back(std::move(fed_object));
  }
  return feed;
}

ObjectDelta FromWire(const ServerFeed& feed) {
  ObjectDelta delta = {.complete = feed.complete, .revision = feed.revision};
  for (const auto& fed_object : feed.objects) {
    if (fed_object != nullptr) {
      delta.objects.push_back({.name = fed_object->name,
                               .revision = fed_object->revision,
                               .removed = fed_object->removed,
                               .content = fed_object->content});
    }
  }
  return delta;
}

WantSlot ToWire(const SlotRequest& slot_request, TimePoint now) {
  WantSlot want;
  want.attempt = slot_request.attempt;
  want.service = slot_request.service;
  want.model_server = slot_request.model_server;
  want.group = slot_request.group.index;
  want.groups = slot_request.group.count;
  want.priority = slot_request.priority;
  want.route_priority = slot_request.route_priority;
  // Clocks differ between machines, so a point in time is sent as the time left
  // until it.
  want.left_us = (slot_request.due - now).count();
  want.in_time_us = (slot_request.in_time_until - now).count();
  want.tried = slot_request.tried;
  want.prompt_tokens = slot_request.size.prompt_tokens;
  want.events = slot_request.size.events;
  want.gap_us = slot_request.event_gap_target.count();
  want.by_length = slot_request.by_length;
  want.crash_standing = static_cast<uint8_t>(slot_request.suspicion);
  want.version = slot_request.version;
  want.canary_version = slot_request.canary_version;
  want.team = slot_request.team;
  want.weight = slot_request.team_weight;
  want.data_centre = slot_request.data_centre;
  want.repeatable = slot_request.repeatable;
  return want;
}

SlotRequest FromWire(const WantSlot& want, TimePoint now) {
  constexpr auto kLastSuspicion =
      static_cast<uint8_t>(CrashSuspicion::kBlocked);
  return {.attempt = want.attempt,
          .service = want.service,
          .model_server = want.model_server,
          .group = {.index = want.group,
                    .count = std::max<uint32_t>(1, want.groups)},
          .priority = want.priority,
          .route_priority = want.route_priority,
          .in_time_until = now + Duration(want.in_time_us),
          .due = now + Duration(want.left_us),
          .tried = want.tried,
          .size = {.prompt_tokens = want.prompt_tokens, .events = want.events},
          .event_gap_target = Duration(want.gap_us),
          .by_length = want.by_length,
          .version = want.version,
          .canary_version = want.canary_version,
          .suspicion = static_cast<CrashSuspicion>(
              std::min(want.crash_standing, kLastSuspicion)),
          .team = want.team,
          .team_weight = want.weight > 0 ? want.weight : 1,
          .data_centre = want.data_centre,
          .repeatable = want.repeatable};
}

HaveSlot ToWire(const SlotGrant& grant) {
  HaveSlot have;
  have.attempt = grant.attempt;
  have.server = grant.server;
  have.in_flight = static_cast<uint32_t>(std::max(0, grant.in_flight));
  have.pace_ms = grant.pace_ms;
  return have;
}

SlotGrant FromWire(const HaveSlot& have) {
  return {.attempt = have.attempt,
          .server = have.server,
          .in_flight = static_cast<int>(have.in_flight),
          .pace_ms = have.pace_ms};
}

SlotEnd ToWire(AttemptId attempt, const SlotResult& result) {
  SlotEnd end;
  end.attempt = attempt;
  end.kind = static_cast<uint8_t>(result.kind);
  end.pace_ms = result.pace_ms.value_or(-1);
  if (result.read.has_value()) {
    end.read_ms = result.read->ms;
    end.read_tokens = result.read->tokens;
  }
  end.pushback_us = result.pushback.count();
  return end;
}

SlotResult FromWire(const SlotEnd& end) {
  // A kind known only to newer entries is no evidence about the server.
  constexpr auto kLastKind =
      static_cast<uint8_t>(SlotResult::Kind::kUnreachable);
  return {
      .kind = end.kind <= kLastKind ? static_cast<SlotResult::Kind>(end.kind)
                                    : SlotResult::Kind::kUnused,
      .pace_ms = end.pace_ms < 0 ? std::nullopt : std::optional(end.pace_ms),
      .read = end.read_ms < 0
                  ? std::nullopt
                  : std::optional(PromptRead{.tokens = end.read_tokens,
                                             .ms = end.read_ms}),
      .pushback = std::max(Duration::zero(), Duration(end.pushback_us))};
}

ForwardStatus ToWire(const ForwardReport& report,
                     const std::vector<SlotGroupReport>& group_reports) {
  ForwardStatus status;
  status.table_version = report.table_version;
  for (const ServerCount& count : report.in_flight) {
    status.servers.push_back(count.server_hash);
    status.in_flight.push_back(static_cast<uint32_t>(count.in_flight));
  }
  PutTotals(report.team_totals, status.teams, status.drawn);
  if (!report.demand.empty()) {
    PutDemand(report.demand, LoadReportOf(status).demand);
  }
  for (const SlotGroupReport& group_report : group_reports) {
    auto gate_status = std::make_unique<GateStatus>();
    gate_status->service = group_report.service_hash;
    gate_status->group = group_report.group.index;
    gate_status->groups = group_report.group.count;
    gate_status->free = group_report.free;
    gate_status->waiting = static_cast<uint32_t>(group_report.waiting);
    for (const RankLoad& load : group_report.ranks) {
      auto rank = std::make_unique<fbs::RankLoadT>();
      rank->priority = load.priority;
      rank->route_priority = load.route_priority;
      rank->waiting = static_cast<uint32_t>(load.waiting);
      rank->granted = load.granted;
      rank->late = static_cast<uint32_t>(load.late);
      gate_status->ranks.push_back(std::move(rank));
    }
    status.gates.push_back(std::move(gate_status));
  }
  return status;
}

std::vector<SlotGroupReport> GroupReportsFromWire(const ForwardStatus& status) {
  std::vector<SlotGroupReport> group_reports;
  for (const auto& gate_status : status.gates) {
    if (gate_status != nullptr) {
      group_reports.push_back(
          {.service_hash = gate_status->service,
           .group = {.index = gate_status->group, .count = gate_status->groups},
           .free = gate_status->free,
           .waiting = static_cast<int>(gate_status->waiting),
           .ranks = RanksFromWire(*gate_status)});
    }
  }
  return group_reports;
}

void PutRelayed(const UsageTotals& relayed, ForwardStatus& status) {
  PutTotals(relayed, status.relayed_teams, status.relayed);
}

UsageTotals RelayedFromWire(const ForwardStatus& status) {
  return ToTotals(status.relayed_teams, status.relayed);
}

void PutRelayedDemand(const DemandTotals& relayed, ForwardStatus& status) {
  if (!relayed.empty()) {
    PutDemand(relayed, LoadReportOf(status).relayed_demand);
  }
}

DemandTotals RelayedDemandFromWire(const ForwardStatus& status) {
  return status.load == nullptr ? DemandTotals()
                                : ToDemand(status.load->relayed_demand);
}

ForwardReport FromWire(const ForwardStatus& status) {
  ForwardReport report{.table_version = status.table_version};
  const size_t servers =
      std::min(status.servers.size(), status.in_flight.size());
  for (size_t i = 0; i < servers; ++i) {
    report.in_flight.push_back(
        {.server_hash = status.servers[i],
         .in_flight = static_cast<int>(status.in_flight[i])});
  }
  report.team_totals = ToTotals(status.teams, status.drawn);
  if (status.load != nullptr) {
    report.demand = ToDemand(status.load->demand);
  }
  return report;
}

}  // namespace lavenderkeel::internal
