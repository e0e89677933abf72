#include "lavenderkeel/fairness/share_log.h"

namespace lavenderkeel {

void ShareLog::OnDecision(const ShareDecision& decision) const {
  metrics_.Add(decision.granted ? "shared_slots{outcome=\"granted\"}"
                                : "shared_slots{outcome=\"withdrawn\"}");
  // An entry writes a `send` line for each grant.
  const LogLevel level = decision.granted ? LogLevel::kDebug : LogLevel::kInfo;
  if (!log_.enabled(level)) {
    return;
  }
  log_.Write(level, decision.granted ? "share_granted" : "share_withdrawn",
             {{"entry", decision.position.attempt.first},
              {"slot_request", decision.position.attempt.second},
              {"service", decision.service},
              {"priority", decision.position.rank.priority},
              {"route_priority", decision.position.rank.route_priority},
              {"late", static_cast<int>(decision.position.late)},
              {"waited_ms", ToMilliseconds(decision.waited)},
              {"team_hash", decision.work.team},
              {"weight", decision.work.weight},
              {"work", decision.work.units},
              {"teams_waiting", decision.state.teams_waiting},
              {"ahead", decision.state.ahead},
              {"running", decision.state.running},
              {"team_work", decision.recent.team},
              {"rank_work", decision.recent.total},
              {"top_team_hash", decision.recent.top_team},
              {"top_work", decision.recent.top},
              {"age_ms", ToMilliseconds(decision.recent.age)}});
}

}  // namespace lavenderkeel
