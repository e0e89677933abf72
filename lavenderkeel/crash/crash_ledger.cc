#include "lavenderkeel/crash/crash_ledger.h"

#include <algorithm>

namespace lavenderkeel {

bool CrashLedger::Learn(const CrashReport& report, TimePoint now) {
  switch (report.kind) {
    case CrashReport::Kind::kLost:
      if (!LearnLoss(report)) {
        return false;
      }
      requests_.at(report.request).seen = now;
      MakeRoom();
      return true;
    case CrashReport::Kind::kSurvived:
      return LearnSurvival(report);
    case CrashReport::Kind::kServerLives:
      return LearnServerLives(report);
    case CrashReport::Kind::kComesAgain:
      return LearnArrival(report);
    case CrashReport::Kind::kTried:
      return LearnTrial(report);
  }
  return false;
}

bool CrashLedger::LearnArrival(const CrashReport& report) {
  const auto found = requests_.find(report.request);
  if (found == requests_.end() || found->second.seen >= report.ended) {
    return false;
  }
  found->second.seen = report.ended;
  return true;
}

bool CrashLedger::LearnTrial(const CrashReport& report) {
  const auto found = requests_.find(report.request);
  if (found == requests_.end()) {
    return false;
  }
  std::optional<TimePoint>& tried = found->second.tried;
  if (tried.has_value() && *tried >= report.sent) {
    return false;
  }
  tried = report.sent;
  return true;
}

bool CrashLedger::LearnLoss(const CrashReport& report) {
  const auto alive = alive_.find(report.server);
  if (alive != alive_.end() && alive->second >= report.ended) {
    return false;
  }
  Request& request = requests_[report.request];
  if (request.survived.has_value() && *request.survived >= report.ended) {
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
  Count(report.server);
  if (losses.size() > options_.most_losses) {
    // One that adds nothing to the count in turn, else the oldest.
    const std::vector<size_t> in_turn = InTurn(losses);
    size_t spare = 0;
    while (spare < in_turn.size() && in_turn[spare] == spare) {
      ++spare;
    }
    const size_t dropped = spare < losses.size() ? spare : 0;
    Uncount(losses[dropped].server);
    losses.erase(losses.begin() + static_cast<ptrdiff_t>(dropped));
  }
  return true;
}

bool CrashLedger::LearnSurvival(const CrashReport& report) {
  const auto found = requests_.find(report.request);
  if (found == requests_.end()) {
    return false;
  }
  Request& request = found->second;
  const bool counts = std::ranges::any_of(
      request.losses,
      [&](const Loss& loss) { return loss.ended <= report.ended; });
  if (!counts) {
    return false;
  }
  request.survived =
      std::max(request.survived.value_or(report.ended), report.ended);
  std::erase_if(request.losses, [&](const Loss& loss) {
    const bool before = loss.ended <= report.ended;
    if (before) {
      Uncount(loss.server);
    }
    return before;
  });
  return true;
}

bool CrashLedger::LearnServerLives(const CrashReport& report) {
  if (!CountsLossOf(report.server)) {
    return false;
  }
  bool changed = false;
  for (auto& [fingerprint, request] : requests_) {
    const size_t voided = std::erase_if(request.losses, [&](const Loss& loss) {
      return loss.server == report.server && loss.ended < report.sent;
    });
    for (size_t i = 0; i < voided; ++i) {
      Uncount(report.server);
    }
    changed = changed || voided > 0;
  }
  if (changed) {
    alive_[report.server] = report.sent;
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

std::vector<size_t> CrashLedger::InTurn(const std::vector<Loss>& losses) {
  // Taking whatever ends first leaves the most room for the rest.
  std::vector<size_t> in_turn;
  for (size_t i = 0; i < losses.size(); ++i) {
    if (in_turn.empty() || losses[i].sent > losses[in_turn.back()].ended) {
      in_turn.push_back(i);
    }
  }
  return in_turn;
}

CrashAssessment CrashLedger::Assess(RequestFingerprint request) const {
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second.losses.empty()) {
    return {};
  }
  const std::vector<Loss>& losses = found->second.losses;
  const TimePoint last = losses.back().ended;
  CrashAssessment assessment = {.standing = CrashStanding::kSuspect,
                                .lost = losses.size(),
                                .in_turn = InTurn(losses).size(),
                                .next_run = last};
  if (assessment.in_turn >= options_.blocked_at) {
    assessment.standing = CrashStanding::kBlocked;
    const bool retested =
        assessment.in_turn >= options_.blocked_at + options_.retests;
    assessment.next_run = retested ? found->second.seen + options_.forget_after
                                   : last + options_.first_retest;
  } else if (assessment.in_turn + 1 >= options_.blocked_at ||
             assessment.lost >= options_.blocked_at) {
    assessment.standing = CrashStanding::kDoubtful;
  }
  const std::optional<TimePoint>& tried = found->second.tried;
  if (tried.has_value() && *tried > last) {
    assessment.next_run =
        std::max(assessment.next_run, *tried + options_.trial_patience);
  }
  return assessment;
}

void CrashLedger::Uncount(uint64_t server) {
  const auto found = servers_.find(server);
  if (--found->second == 0) {
    servers_.erase(found);
  }
}

void CrashLedger::Erase(Requests::iterator request) {
  for (const Loss& loss : request->second.losses) {
    Uncount(loss.server);
  }
  requests_.erase(request);
}

void CrashLedger::MakeRoom() {
  while (requests_.size() > options_.most_requests) {
    // What is blocked is kept for as long as there is anything else.
    Erase(std::ranges::min_element(requests_, {}, [this](const auto& item) {
      const bool blocked =
          Assess(item.first).standing == CrashStanding::kBlocked;
      return std::pair(blocked, item.second.seen);
    }));
  }
}

void CrashLedger::Forget(TimePoint now) {
  for (auto request = requests_.begin(); request != requests_.end();) {
    const auto current = request++;
    if (now - current->second.seen > options_.forget_after) {
      Erase(current);
    }
  }
  std::erase_if(alive_, [&](const auto& item) {
    return now - item.second > options_.forget_after;
  });
}

}  // namespace lavenderkeel
