#include "lavenderkeel/crash/crash_archive.h"

#include <algorithm>
#include <utility>

namespace lavenderkeel {

namespace {

/// Returns the one suspect that a stored report is about.
std::optional<Suspect> SuspectOf(const CrashReport& report) {
  const std::vector<Suspect> suspects = SuspectsOf(report.request);
  if (suspects.empty()) {
    return std::nullopt;
  }
  // A pair comes after its parts.
  return suspects.back();
}

bool IsCulpritPart(const std::vector<Suspect>& culprits, PromptPartId part) {
  return std::ranges::find(culprits, Suspect{.kind = Suspect::Kind::kPart,
                                             .first = part}) != culprits.end();
}

}  // namespace

CrashArchive::CrashArchive(const Options& options,
                           CrashGuard& guard,
                           const Clock& clock,
                           const EventLog& log,
                           Write write)
    : options_(options),
      guard_(guard),
      clock_(clock),
      log_(log),
      write_(std::move(write)) {}

void CrashArchive::OnRead(uint64_t revision,
                          const std::vector<CrashReport>& reports) {
  read_ = true;
  revision_ = revision;
  stored_.clear();
  for (const CrashReport& report : reports) {
    const std::optional<Suspect> suspect = SuspectOf(report);
    if (!suspect.has_value()) {
      continue;
    }
    Evidence& evidence = stored_[*suspect];
    if (report.kind == CrashReport::Kind::kLost) {
      evidence.losses.push_back(report);
    } else if (report.kind == CrashReport::Kind::kSurvived) {
      evidence.survived = report.ended;
    }
  }
  log_.Info("crash_archive_read", {{"revision", revision},
                                   {"suspects", stored_.size()},
                                   {"reports", reports.size()}});
  guard_.OnStoredReports(reports);
}

CrashArchive::Suspects CrashArchive::Merged(bool with_doubtful,
                                            TimePoint now) const {
  Suspects merged = stored_;
  const CrashLedger& ledger = guard_.ledger();
  const std::vector<Suspect> culprits =
      with_doubtful ? ledger.DoubtfulSuspects() : ledger.Culprits();
  for (const Suspect& suspect : culprits) {
    const bool is_implied = suspect.kind == Suspect::Kind::kPartPair &&
                            (IsCulpritPart(culprits, suspect.first) ||
                             IsCulpritPart(culprits, suspect.second));
    if (suspect.kind != Suspect::Kind::kPlace && !is_implied) {
      merged[suspect] = {.losses = ledger.LossesOf(suspect)};
    }
  }
  for (auto& [suspect, evidence] : merged) {
    const std::optional<TimePoint> survived = ledger.LastSurvival(suspect);
    if (survived.has_value()) {
      evidence.survived =
          std::max(evidence.survived.value_or(*survived), *survived);
    }
    std::erase_if(evidence.losses, [&](const CrashReport& loss) {
      return evidence.survived.has_value() && loss.ended <= *evidence.survived;
    });
  }
  const auto latest = [](const Evidence& evidence) {
    return evidence.losses.empty() ? *evidence.survived
                                   : evidence.losses.back().ended;
  };
  std::erase_if(merged, [&](const auto& item) {
    const Evidence& evidence = item.second;
    const bool is_empty =
        evidence.losses.empty() && !evidence.survived.has_value();
    return is_empty || now - latest(evidence) > options_.max_age;
  });
  while (merged.size() > options_.max_suspects) {
    merged.erase(std::ranges::min_element(
        merged, {}, [&](const auto& item) { return latest(item.second); }));
  }
  return merged;
}

bool CrashArchive::Lacks(const Suspects& wanted) const {
  return std::ranges::any_of(wanted, [this](const auto& item) {
    const auto& [suspect, evidence] = item;
    const auto found = stored_.find(suspect);
    if (found == stored_.end()) {
      return !evidence.losses.empty();
    }
    const std::vector<CrashReport>& stored = found->second.losses;
    if (evidence.losses.empty() || stored.empty()) {
      return evidence.losses.empty() != stored.empty();
    }
    return evidence.losses.back().server != stored.back().server;
  });
}

std::vector<CrashReport> CrashArchive::ReportsOf(const Suspects& suspects) {
  std::vector<CrashReport> reports;
  for (const auto& [suspect, evidence] : suspects) {
    reports.insert(reports.end(), evidence.losses.begin(),
                   evidence.losses.end());
    if (evidence.survived.has_value()) {
      reports.push_back({.kind = CrashReport::Kind::kSurvived,
                         .request = TraitsOf(suspect),
                         .ended = *evidence.survived});
    }
  }
  return reports;
}

void CrashArchive::Tick(const Contact& contact) {
  const TimePoint now = clock_.Now();
  if (!read_ || now < write_due_) {
    return;
  }
  const std::tuple state(guard_.ledger().generation(), revision_,
                         contact.reaches_all);
  if (std::exchange(compared_, state) == state && !lacking_since_.has_value() &&
      revision_ != 0) {
    return;
  }
  const Suspects wanted = Merged(!contact.reaches_all, now);
  // The object is created in advance, so that a culprit costs one write.
  if (!Lacks(wanted) && revision_ != 0) {
    lacking_since_.reset();
    return;
  }
  lacking_since_ = lacking_since_.value_or(now);
  const Duration delay =
      options_.rank_delay * static_cast<int64_t>(contact.rank) +
      (revision_ == 0 ? options_.create_delay : Duration::zero());
  if (now - *lacking_since_ < delay) {
    return;
  }
  // The outcome shows in what is read; until then the store still lacks it.
  lacking_since_ = now;
  write_due_ = now + options_.write_interval;
  const CrashArchiveWrite write = {.revision = revision_,
                                   .reports = ReportsOf(wanted)};
  log_.Info("crash_archive_write", {{"revision", revision_},
                                    {"suspects", wanted.size()},
                                    {"reports", write.reports.size()}});
  write_(write);
}

}  // namespace lavenderkeel
