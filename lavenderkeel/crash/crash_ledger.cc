#include "lavenderkeel/crash/crash_ledger.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace lavenderkeel {

namespace {

/// Losses and answers from this time before the first loss of a suspect count
/// for what is usual.
constexpr Duration kRateTime = std::chrono::seconds(2);
/// The resolution of the times at which runs end.
constexpr Duration kMinRun = std::chrono::milliseconds(1);

std::vector<Suspect> SuspectsOf(const CrashReport& report) {
  std::vector<Suspect> suspects = SuspectsOf(report.request);
  if (report.place != 0) {
    suspects.push_back({.kind = Suspect::Kind::kPlace, .first = report.place});
  }
  return suspects;
}

}  // namespace

bool CrashLedger::AddReport(const CrashReport& report, TimePoint now) {
  switch (report.kind) {
    case CrashReport::Kind::kLost:
      if (!AddLoss(report, now)) {
        return false;
      }
      EvictExcess();
      break;
    case CrashReport::Kind::kSurvived:
      if (!AddSurvival(report)) {
        return false;
      }
      break;
    case CrashReport::Kind::kServerAlive:
      if (!AddServerAlive(report)) {
        return false;
      }
      break;
    case CrashReport::Kind::kRequestArrived:
      return AddArrival(report);
    case CrashReport::Kind::kTrialStarted:
      return AddTrial(report);
    case CrashReport::Kind::kTrialEnded:
      return EndTrial(report);
  }
  ++generation_;
  FindCulprits();
  return true;
}

bool CrashLedger::AddArrival(const CrashReport& report) {
  bool changed = false;
  for (const Suspect& suspect : SuspectsOf(report)) {
    const auto found = suspects_.find(suspect);
    if (found != suspects_.end() && found->second.last_arrival < report.ended) {
      found->second.last_arrival = report.ended;
      changed = true;
    }
  }
  return changed;
}

bool CrashLedger::AddTrial(const CrashReport& report) {
  bool changed = false;
  for (const CrashAssessment& assessment : AssessAll(report.request)) {
    if (assessment.suspicion < CrashSuspicion::kDoubtful) {
      continue;
    }
    std::optional<TimePoint>& last_trial =
        suspects_.at(assessment.suspect).last_trial;
    if (!last_trial.has_value() || *last_trial < report.sent) {
      last_trial = report.sent;
      changed = true;
    }
  }
  return changed;
}

bool CrashLedger::EndTrial(const CrashReport& report) {
  bool changed = false;
  for (const Suspect& suspect : SuspectsOf(report)) {
    const auto found = suspects_.find(suspect);
    if (found != suspects_.end() && found->second.last_trial.has_value() &&
        *found->second.last_trial <= report.ended) {
      found->second.last_trial.reset();
      changed = true;
    }
  }
  return changed;
}

bool CrashLedger::AddLoss(const CrashReport& report, TimePoint now) {
  const auto alive = alive_until_.find(report.server);
  if (alive != alive_until_.end() && alive->second >= report.ended) {
    return false;
  }
  const auto known = lost_servers_.find(report.server);
  const bool is_known =
      known != lost_servers_.end() &&
      std::ranges::find(known->second.runs, report.request,
                        &LostRun::request) != known->second.runs.end();
  if (is_known) {
    return false;
  }
  bool counts = false;
  for (const Suspect& suspect : SuspectsOf(report)) {
    counts |= AddLossTo(
        suspect,
        {.server = report.server, .sent = report.sent, .ended = report.ended},
        now);
  }
  const auto lost = lost_servers_.find(report.server);
  if (!counts || lost == lost_servers_.end()) {
    return false;
  }
  lost->second.runs.push_back({.request = report.request,
                               .place = report.place,
                               .sent = report.sent,
                               .ended = report.ended});
  return true;
}

bool CrashLedger::AddLossTo(const Suspect& suspect,
                            const Loss& loss,
                            TimePoint now) {
  const AnsweredSuspects::Answers answered = answered_.Find(suspect, now);
  if (answered.count > 0 && answered.last >= loss.ended) {
    return false;
  }
  Record& record = suspects_[suspect];
  record.last_arrival = std::max(record.last_arrival, now);
  record.answers = std::max(record.answers, answered.count);
  if (record.last_survival.has_value() && *record.last_survival >= loss.ended) {
    return false;
  }
  std::vector<Loss>& losses = record.losses;
  const auto same = std::ranges::find(losses, loss.server, &Loss::server);
  if (same != losses.end()) {
    same->sent = std::min(same->sent, loss.sent);
    return true;
  }
  losses.insert(std::ranges::upper_bound(losses, loss.ended, {}, &Loss::ended),
                loss);
  ++lost_servers_[loss.server].counted;
  if (losses.size() > 1) {
    repeated_.insert(suspect);
  }
  if (losses.size() > options_.max_losses) {
    // Drops a loss that doesn't add to the sequential count, else the oldest.
    const std::vector<size_t> sequential = SequentialLosses(losses);
    size_t redundant = 0;
    while (redundant < sequential.size() &&
           sequential[redundant] == redundant) {
      ++redundant;
    }
    const size_t dropped = redundant < losses.size() ? redundant : 0;
    const uint64_t server = losses[dropped].server;
    losses.erase(losses.begin() + static_cast<ptrdiff_t>(dropped));
    UncountLoss(server);
  }
  return true;
}

template <typename Predicate>
bool CrashLedger::RemoveLosses(const Suspect& suspect,
                               Record& record,
                               Predicate predicate) {
  std::vector<uint64_t> servers;
  std::erase_if(record.losses, [&](const Loss& loss) {
    const bool removed = predicate(loss);
    if (removed) {
      servers.push_back(loss.server);
    }
    return removed;
  });
  for (const uint64_t server : servers) {
    UncountLoss(server);
  }
  if (record.losses.size() < 2) {
    repeated_.erase(suspect);
  }
  return !servers.empty();
}

bool CrashLedger::AddSurvival(const CrashReport& report) {
  bool changed = false;
  for (const Suspect& suspect : SuspectsOf(report)) {
    const auto found = suspects_.find(suspect);
    if (found == suspects_.end()) {
      continue;
    }
    Record& record = found->second;
    const bool cleared = RemoveLosses(suspect, record, [&](const Loss& loss) {
      return loss.ended <= report.ended;
    });
    if (cleared) {
      ++record.answers;
      record.last_survival =
          std::max(record.last_survival.value_or(report.ended), report.ended);
      record.last_trial.reset();
    }
    changed |= cleared;
  }
  return changed;
}

bool CrashLedger::AddServerAlive(const CrashReport& report) {
  const auto lost = lost_servers_.find(report.server);
  if (lost == lost_servers_.end()) {
    return false;
  }
  bool changed = false;
  // Removing the last loss of the server also removes its runs.
  const std::vector<LostRun> runs = lost->second.runs;
  for (const LostRun& run : runs) {
    for (const Suspect& suspect :
         SuspectsOf({.request = run.request, .place = run.place})) {
      const auto found = suspects_.find(suspect);
      changed |=
          found != suspects_.end() &&
          RemoveLosses(suspect, found->second, [&](const Loss& loss) {
            return loss.server == report.server && loss.ended < report.sent;
          });
    }
  }
  if (changed) {
    alive_until_[report.server] = report.sent;
  }
  return changed;
}

std::vector<CrashReport> CrashLedger::All() const {
  std::vector<CrashReport> all;
  for (const auto& [server, lost] : lost_servers_) {
    for (const LostRun& run : lost.runs) {
      all.push_back({.kind = CrashReport::Kind::kLost,
                     .request = run.request,
                     .server = server,
                     .place = run.place,
                     .sent = run.sent,
                     .ended = run.ended});
    }
  }
  for (const auto& [suspect, record] : suspects_) {
    if (record.last_survival.has_value()) {
      const bool is_place = suspect.kind == Suspect::Kind::kPlace;
      all.push_back({.kind = CrashReport::Kind::kSurvived,
                     .request = TraitsOf(suspect),
                     .place = is_place ? suspect.first : 0,
                     .ended = *record.last_survival});
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

double CrashLedger::ChanceOf(const Record& record,
                             const std::vector<Duration>& runs,
                             TimePoint since) const {
  const LossRate::Estimate rate = loss_rate_.Since(since, [&](uint64_t server) {
    return !explained_.contains(server) &&
           std::ranges::find(record.losses, server, &Loss::server) ==
               record.losses.end();
  });
  // The probability that none of the runs would have been answered, times that
  // of ends as early as these, which are uniform if the cause is another: for
  // the product z of n uniform numbers, the sum of z (-ln z)^i / i! for i < n.
  if (runs.empty()) {
    return 1;
  }
  double all_lost = 1;
  double product = 1;
  for (const Duration run : runs) {
    const double seconds =
        ToSeconds(std::max({run, rate.answer_time, kMinRun}));
    all_lost *= 1 - std::exp(-rate.per_second * seconds);
    product *= ToSeconds(std::max(run, kMinRun)) / seconds;
  }
  double ends_early = 0;
  double term = product;
  for (size_t i = 0; i < runs.size(); ++i) {
    ends_early += term;
    term *= -std::log(product) / static_cast<double>(i + 1);
  }
  return all_lost * ends_early;
}

std::vector<Duration> CrashLedger::SequentialRuns(
    const std::vector<Loss>& losses) {
  std::vector<Duration> runs;
  for (const size_t index : SequentialLosses(losses)) {
    runs.push_back(losses[index].ended - losses[index].sent);
  }
  return runs;
}

CrashLedger::Count CrashLedger::CountOf(const Record& record,
                                        const std::vector<Loss>& losses) const {
  Count count = {.lost = losses.size()};
  if (losses.empty()) {
    return count;
  }
  std::vector<Duration> runs = SequentialRuns(losses);
  if (record.answers > 0) {
    const size_t forgiven =
        std::min({static_cast<size_t>(std::bit_width(record.answers)),
                  options_.max_forgiven, runs.size()});
    // The latest ends are the least conspicuous.
    std::ranges::sort(runs);
    runs.resize(runs.size() - forgiven);
    count.lost = runs.size();
  }
  count.in_turn = runs.size();
  if (count.in_turn + 1 < options_.blocked_at_losses) {
    return count;  // Too few for the probability to matter.
  }
  // Includes what was usual right before.
  count.chance = ChanceOf(record, runs, losses.front().sent - kRateTime);
  return count;
}

CrashSuspicion CrashLedger::SuspicionOf(const Count& count) const {
  if (count.lost == 0) {
    return CrashSuspicion::kClear;
  }
  if (count.in_turn >= options_.blocked_at_losses &&
      count.chance <= options_.max_chance) {
    return CrashSuspicion::kBlocked;
  }
  const bool doubtful = (count.in_turn + 1 >= options_.blocked_at_losses &&
                         count.chance <= std::sqrt(options_.max_chance)) ||
                        count.lost >= options_.blocked_at_losses;
  return doubtful ? CrashSuspicion::kDoubtful : CrashSuspicion::kSuspect;
}

void CrashLedger::FindCulprits() {
  culprits_.clear();
  explained_.clear();
  std::vector<std::pair<Suspect, Record*>> candidates;
  for (const Suspect& suspect : repeated_) {
    Record& record = suspects_.at(suspect);
    if (record.losses.size() >= options_.blocked_at_losses) {
      candidates.emplace_back(suspect, &record);
    }
  }
  for (size_t order = 0; !candidates.empty(); ++order) {
    // Zero for those that are not blocked.
    std::vector<size_t> counts;
    for (const auto& [suspect, record] : candidates) {
      const Count count = CountOf(*record, UnexplainedLosses(suspect, *record));
      const bool blocked = SuspicionOf(count) == CrashSuspicion::kBlocked;
      counts.push_back(blocked ? count.in_turn : 0);
    }
    const size_t most = *std::ranges::max_element(counts);
    if (most == 0) {
      return;
    }
    std::vector<std::pair<Suspect, Record*>> others;
    std::vector<uint64_t> servers;
    for (size_t i = 0; i < candidates.size(); ++i) {
      const auto& [suspect, record] = candidates[i];
      if (counts[i] < most) {
        others.push_back(candidates[i]);
        continue;
      }
      for (const Loss& loss : UnexplainedLosses(suspect, *record)) {
        servers.push_back(loss.server);
      }
      culprits_[suspect] = order;
    }
    for (const uint64_t server : servers) {
      explained_.try_emplace(server, order);
    }
    candidates = std::move(others);
  }
}

std::vector<CrashLedger::Loss> CrashLedger::UnexplainedLosses(
    const Suspect& suspect,
    const Record& record) const {
  const auto culprit = culprits_.find(suspect);
  std::vector<Loss> losses;
  for (const Loss& loss : record.losses) {
    const auto explained = explained_.find(loss.server);
    const bool counts =
        explained == explained_.end() ||
        (culprit != culprits_.end() && culprit->second <= explained->second);
    if (counts) {
      losses.push_back(loss);
    }
  }
  return losses;
}

std::vector<Suspect> CrashLedger::AlternativesFor(
    const std::vector<Loss>& losses,
    size_t min_losses,
    const RequestTraits& request) const {
  constexpr size_t kHalf = 2;
  std::vector<Suspect> alternatives;
  for (const Suspect& suspect : repeated_) {
    if (suspects_.at(suspect).losses.size() < min_losses ||
        HasSuspect(request, suspect)) {
      continue;
    }
    const auto count =
        std::ranges::count_if(losses, [&, &cause = suspect](const Loss& loss) {
          return WasLostWith(loss.server, cause);
        });
    if (static_cast<size_t>(count) * kHalf >= losses.size()) {
      alternatives.push_back(suspect);
    }
  }
  return alternatives;
}

bool CrashLedger::WasLostWith(uint64_t server, const Suspect& suspect) const {
  const auto lost = lost_servers_.find(server);
  return lost != lost_servers_.end() &&
         std::ranges::any_of(lost->second.runs, [&](const LostRun& run) {
           return suspect.kind == Suspect::Kind::kPlace
                      ? run.place == suspect.first
                      : HasSuspect(run.request, suspect);
         });
}

bool CrashLedger::HasAlternative(const std::vector<Loss>& losses,
                                 const Count& count,
                                 const RequestTraits& request) const {
  const TimePoint since = losses.front().sent - kRateTime;
  const auto explains = [&](const Suspect& suspect) {
    const Record& record = suspects_.at(suspect);
    const std::vector<Loss> own = UnexplainedLosses(suspect, record);
    if (CountOf(record, own).in_turn < count.in_turn) {
      return false;
    }
    std::vector<Loss> others = losses;
    std::erase_if(others, [&own](const Loss& loss) {
      return std::ranges::find(own, loss.server, &Loss::server) != own.end();
    });
    return ChanceOf(record, SequentialRuns(others), since) >=
           options_.min_plausible_chance;
  };
  return std::ranges::any_of(AlternativesFor(losses, count.in_turn, request),
                             explains);
}

Duration CrashLedger::RetestDelay(const std::vector<Loss>& losses) const {
  Duration delay = options_.retest_delay;
  const std::vector<size_t> sequential = SequentialLosses(losses);
  for (size_t i = options_.blocked_at_losses; i < sequential.size(); ++i) {
    const Duration since_last =
        losses[sequential[i]].sent - losses[sequential[i - 1]].ended;
    if (since_last >= options_.retest_delay) {
      delay =
          std::min(delay * options_.retest_backoff, options_.max_retest_delay);
    }
  }
  return delay;
}

CrashAssessment CrashLedger::AssessSuspect(const Suspect& suspect,
                                           const Record& record,
                                           const RequestTraits& request) const {
  const std::vector<Loss> losses = UnexplainedLosses(suspect, record);
  const Count count = CountOf(record, losses);
  CrashAssessment assessment = {.suspicion = SuspicionOf(count),
                                .suspect = suspect,
                                .lost = count.lost,
                                .in_turn = count.in_turn,
                                .chance = count.chance,
                                .answers = record.answers};
  if (assessment.suspicion == CrashSuspicion::kClear) {
    return assessment;
  }
  const TimePoint last = losses.back().ended;
  assessment.next_run = last;
  if (assessment.suspicion == CrashSuspicion::kBlocked) {
    assessment.has_alternative = HasAlternative(losses, count, request);
    if (assessment.has_alternative) {
      assessment.suspicion = CrashSuspicion::kDoubtful;
    } else {
      assessment.next_run = last + RetestDelay(losses);
    }
  }
  if (record.last_trial.has_value() && *record.last_trial > last) {
    assessment.next_run = std::max(assessment.next_run,
                                   *record.last_trial + options_.trial_timeout);
  }
  return assessment;
}

std::vector<CrashAssessment> CrashLedger::AssessAll(
    const RequestTraits& request) const {
  std::vector<CrashAssessment> assessments;
  if (suspects_.empty()) {
    return assessments;
  }
  for (const Suspect& suspect : SuspectsOf(request)) {
    const auto found = suspects_.find(suspect);
    if (found == suspects_.end()) {
      continue;
    }
    const CrashAssessment assessment =
        AssessSuspect(suspect, found->second, request);
    if (assessment.suspicion != CrashSuspicion::kClear) {
      assessments.push_back(assessment);
    }
  }
  std::ranges::stable_sort(
      assessments, std::ranges::greater(), [](const CrashAssessment& item) {
        return std::tuple(item.suspicion, item.in_turn, item.lost);
      });
  return assessments;
}

CrashAssessment CrashLedger::Assess(const RequestTraits& request) const {
  const std::vector<CrashAssessment> all = AssessAll(request);
  return all.empty() ? CrashAssessment() : all.front();
}

std::vector<Suspect> CrashLedger::Culprits() const {
  std::vector<Suspect> culprits;
  for (const auto& [suspect, order] : culprits_) {
    culprits.push_back(suspect);
  }
  std::ranges::sort(culprits);
  return culprits;
}

std::vector<Suspect> CrashLedger::DoubtfulSuspects() const {
  std::vector<Suspect> doubtful;
  // One loss makes nothing doubtful.
  for (const Suspect& suspect : repeated_) {
    const Record& record = suspects_.at(suspect);
    if (SuspicionOf(CountOf(record, UnexplainedLosses(suspect, record))) >=
        CrashSuspicion::kDoubtful) {
      doubtful.push_back(suspect);
    }
  }
  return doubtful;
}

std::vector<Suspect> CrashLedger::SharedDoubtfulParts() const {
  std::vector<Suspect> shared = DoubtfulSuspects();
  std::erase_if(shared, [this](const Suspect& suspect) {
    return suspect.kind != Suspect::Kind::kPart ||
           !IsShared(suspect, suspects_.at(suspect));
  });
  return shared;
}

bool CrashLedger::IsShared(const Suspect& suspect, const Record& record) const {
  std::optional<uint64_t> first;
  for (const Loss& loss : record.losses) {
    const auto lost = lost_servers_.find(loss.server);
    if (lost == lost_servers_.end()) {
      continue;
    }
    for (const LostRun& run : lost->second.runs) {
      if (!HasSuspect(run.request, suspect)) {
        continue;
      }
      if (run.request.fingerprint != first.value_or(run.request.fingerprint)) {
        return true;
      }
      first = run.request.fingerprint;
    }
  }
  return false;
}

std::vector<CrashReport> CrashLedger::LossesOf(const Suspect& suspect) const {
  std::vector<CrashReport> reports;
  const auto found = suspects_.find(suspect);
  if (found == suspects_.end()) {
    return reports;
  }
  for (const Loss& loss : UnexplainedLosses(suspect, found->second)) {
    for (const LostRun& run : lost_servers_.at(loss.server).runs) {
      if (HasSuspect(run.request, suspect)) {
        reports.push_back({.kind = CrashReport::Kind::kLost,
                           .request = run.request,
                           .server = loss.server,
                           .sent = run.sent,
                           .ended = run.ended});
      }
    }
  }
  return reports;
}

bool CrashLedger::IsEvidence(const CrashReport& loss) const {
  const std::vector<Suspect> suspects = SuspectsOf(loss.request);
  return std::ranges::any_of(suspects, [&](const Suspect& suspect) {
    const auto found = suspects_.find(suspect);
    if (found == suspects_.end() || found->second.losses.size() < 2) {
      return false;
    }
    const std::vector<Loss>& losses = found->second.losses;
    return std::ranges::find(losses, loss.server, &Loss::server) !=
           losses.end();
  });
}

std::optional<TimePoint> CrashLedger::LastSurvival(
    const Suspect& suspect) const {
  const auto found = suspects_.find(suspect);
  return found == suspects_.end() ? std::nullopt : found->second.last_survival;
}

bool CrashLedger::IsKnown(const RequestTraits& request) const {
  return !suspects_.empty() &&
         std::ranges::any_of(
             SuspectsOf(request),
             [this](const Suspect& suspect) { return IsKnown(suspect); });
}

void CrashLedger::UncountLoss(uint64_t server) {
  const auto found = lost_servers_.find(server);
  if (--found->second.counted == 0) {
    lost_servers_.erase(found);
  }
}

void CrashLedger::Erase(Suspects::iterator suspect) {
  for (const Loss& loss : suspect->second.losses) {
    UncountLoss(loss.server);
  }
  repeated_.erase(suspect->first);
  suspects_.erase(suspect);
}

void CrashLedger::EvictExcess() {
  if (suspects_.size() <= options_.max_suspects) {
    return;
  }
  using Rank = std::tuple<bool, TimePoint, size_t, Suspect>;
  std::vector<Rank> ranks;
  for (const auto& [suspect, record] : suspects_) {
    // Culprits are evicted last; of those that arrived together, the ones that
    // were lost most often.
    ranks.emplace_back(culprits_.contains(suspect), record.last_arrival,
                       record.losses.size(), suspect);
  }
  const auto excess =
      static_cast<ptrdiff_t>(suspects_.size() - options_.max_suspects);
  std::ranges::nth_element(ranks, ranks.begin() + excess);
  for (auto rank = ranks.begin(); rank != ranks.begin() + excess; ++rank) {
    Erase(suspects_.find(std::get<Suspect>(*rank)));
  }
}

void CrashLedger::ForgetExpired(TimePoint now) {
  const size_t before = suspects_.size();
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
    const auto current = suspect++;
    if (now - current->second.last_arrival > options_.forget_after) {
      Erase(current);
    }
  }
  std::erase_if(alive_until_, [&](const auto& item) {
    return now - item.second > options_.forget_after;
  });
  if (suspects_.size() != before) {
    ++generation_;
    FindCulprits();
  }
}

}  // namespace lavenderkeel
