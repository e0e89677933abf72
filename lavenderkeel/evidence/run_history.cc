#include "lavenderkeel/evidence/run_history.h"

#include <utility>

namespace lavenderkeel {

void RunHistory::OnSent() {
  under_way_ = true;
}

void RunHistory::OnEnded(RunEvidence evidence) {
  under_way_ = false;
  runs_ += ProvesNotRun(evidence) ? 0 : 1;
  arrivals_ += evidence == RunEvidence::kNotSent ? 0 : 1;
  if (ended_.size() == kMaxLogged) {
    ended_.erase(ended_.begin());
  }
  ended_.push_back(evidence);
}

ResultCode RunHistory::CodeFor(ResultCode code, ResultCode if_in_doubt) const {
  const bool states_not_run = Describe(code).outcome == Outcome::kNotRun;
  return states_not_run && may_have_run() ? if_in_doubt : code;
}

std::string RunHistory::ToString() const {
  std::string text;
  for (const RunEvidence evidence : ended_) {
    text += text.empty() ? "" : ",";
    text += RunEvidenceName(evidence);
  }
  if (under_way_) {
    text += text.empty() ? "under_way" : ",under_way";
  }
  return text.empty() ? "none" : text;
}

}  // namespace lavenderkeel
