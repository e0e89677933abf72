#include "lavenderkeel/crash/crash_ledger.h"

#include <algorithm>

namespace lavenderkeel {

bool CrashLedger::AddReport(const CrashReport& report, TimePoint now) {
  switch (report.kind) {
    case CrashReport::Kind::kLost:
      if (!AddLoss(report)) {
        return false;
      }
      requests_.at(report.request).last_arrival = now;
      EvictExcess();
      return true;
    case CrashReport::Kind::kSurvived:
      return AddSurvival(report);
    case CrashReport::Kind::kServerAlive:
      return AddServerAlive(report);
    case CrashReport::Kind::kRequestArrived:
      return AddArrival(report);
    case CrashReport::Kind::kTrialStarted:
      return AddTrial(report);
  }
  return false;
}

bool CrashLedger::AddArrival(const CrashReport& report) {
  const auto found = requests_.find(report.request);
  if (found == requests_.end() || found->second.last_arrival >= report.ended) {
    return false;
  }
  found->second.last_arrival = report.ended;
  return true;
}

bool CrashLedger::AddTrial(const CrashReport& report) {
  const auto found = requests_.find(report.request);
  if (found == requests_.end()) {
    return false;
  }
  std::optional<TimePoint>& last_trial = found->second.last_trial;
  if (last_trial.has_value() && *last_trial >= report.sent) {
    return false;
  }
  last_trial = report.sent;
  return true;
}

bool CrashLedger::AddLoss(const CrashReport& report) {
  const auto alive = alive_until_.find(report.server);
  if (alive != alive_until_.end() && alive->second >= report.ended) {
    return false;
  }
  Request& request = requests_[report.request];
  if (request.last_survival.has_value() &&
      *request.last_survival >= report.ended) {
    return false;
  }
  std::vector<Loss>& losses = request.losses;
  if (std::ranges::find(losses, report.server, &Loss::server) != losses.end()) {
    return false;
  }
  const auto after =
      std::ranges::upper_bound(losses, report.ended, {}, &Loss::ended);
  losses.insert(
      after,
      {.server = report.server, .sent = report.sent, .ended = report.ended});
  CountLoss(report.server);
  if (losses.size() > options_.max_losses) {
    // Drops a loss that doesn't add to the sequential count, else the oldest.
    const std::vector<size_t> sequential = SequentialLosses(losses);
    size_t redundant = 0;
    while (redundant < sequential.size() &&
           sequential[redundant] == redundant) {
      ++redundant;
    }
    const size_t dropped = redundant < losses.size() ? redundant : 0;
    UncountLoss(losses[dropped].server);
    losses.erase(losses.begin() + static_cast<ptrdiff_t>(dropped));
  }
  return true;
}

bool CrashLedger::AddSurvival(const CrashReport& report) {
  const auto found = requests_.find(report.request);
  if (found == requests_.end()) {
    return false;
  }
  Request& request = found->second;
  const bool has_earlier_loss = std::ranges::any_of(
      request.losses,
      [&](const Loss& loss) { return loss.ended <= report.ended; });
  if (!has_earlier_loss) {
    return false;
  }
  request.last_survival =
      std::max(request.last_survival.value_or(report.ended), report.ended);
  std::erase_if(request.losses, [&](const Loss& loss) {
    const bool before = loss.ended <= report.ended;
    if (before) {
      UncountLoss(loss.server);
    }
    return before;
  });
  return true;
}

bool CrashLedger::AddServerAlive(const CrashReport& report) {
  if (!HasLossOf(report.server)) {
    return false;
  }
  bool changed = false;
  for (auto& [fingerprint, request] : requests_) {
    const size_t voided = std::erase_if(request.losses, [&](const Loss& loss) {
      return loss.server == report.server && loss.ended < report.sent;
    });
    for (size_t i = 0; i < voided; ++i) {
      UncountLoss(report.server);
    }
    changed = changed || voided > 0;
  }
  if (changed) {
    alive_until_[report.server] = report.sent;
  }
  return changed;
}

std::vector<CrashReport> CrashLedger::All() const {
  std::vector<CrashReport> all;
  for (const auto& [fingerprint, request] : requests_) {
    for (const Loss& loss : request.losses) {
      all.push_back({.kind = CrashReport::Kind::kLost,
                     .request = fingerprint,
                     .server = loss.server,
                     .sent = loss.sent,
                     .ended = loss.ended});
    }
  }
  return all;
}

std::vector<size_t> CrashLedger::SequentialLosses(
    const std::vector<Loss>& losses) {
  // Greedy choice by earliest end gives the largest set.
  std::vector<size_t> sequential;
  for (size_t i = 0; i < losses.size(); ++i) {
    if (sequential.empty() ||
        losses[i].sent > losses[sequential.back()].ended) {
      sequential.push_back(i);
    }
  }
  return sequential;
}

CrashAssessment CrashLedger::Assess(RequestFingerprint request) const {
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second.losses.empty()) {
    return {};
  }
  const std::vector<Loss>& losses = found->second.losses;
  const TimePoint last = losses.back().ended;
  CrashAssessment assessment = {.suspicion = CrashSuspicion::kSuspect,
                                .lost = losses.size(),
                                .in_turn = SequentialLosses(losses).size(),
                                .next_run = last};
  if (assessment.in_turn >= options_.blocked_at_losses) {
    assessment.suspicion = CrashSuspicion::kBlocked;
    const bool retests_used_up =
        assessment.in_turn >= options_.blocked_at_losses + options_.max_retests;
    assessment.next_run =
        retests_used_up ? found->second.last_arrival + options_.forget_after
                        : last + options_.retest_delay;
  } else if (assessment.in_turn + 1 >= options_.blocked_at_losses ||
             assessment.lost >= options_.blocked_at_losses) {
    assessment.suspicion = CrashSuspicion::kDoubtful;
  }
  const std::optional<TimePoint>& last_trial = found->second.last_trial;
  if (last_trial.has_value() && *last_trial > last) {
    assessment.next_run =
        std::max(assessment.next_run, *last_trial + options_.trial_timeout);
  }
  return assessment;
}

void CrashLedger::UncountLoss(uint64_t server) {
  const auto found = loss_counts_.find(server);
  if (--found->second == 0) {
    loss_counts_.erase(found);
  }
}

void CrashLedger::Erase(Requests::iterator request) {
  for (const Loss& loss : request->second.losses) {
    UncountLoss(loss.server);
  }
  requests_.erase(request);
}

void CrashLedger::EvictExcess() {
  while (requests_.size() > options_.max_requests) {
    // Blocked requests are evicted last.
    Erase(std::ranges::min_element(requests_, {}, [this](const auto& item) {
      const bool blocked =
          Assess(item.first).suspicion == CrashSuspicion::kBlocked;
      return std::pair(blocked, item.second.last_arrival);
    }));
  }
}

void CrashLedger::ForgetExpired(TimePoint now) {
  for (auto request = requests_.begin(); request != requests_.end();) {
    const auto current = request++;
    if (now - current->second.last_arrival > options_.forget_after) {
      Erase(current);
    }
  }
  std::erase_if(alive_until_, [&](const auto& item) {
    return now - item.second > options_.forget_after;
  });
}

}  // namespace lavenderkeel
