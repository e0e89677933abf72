#include "lavenderkeel/crash/crash_archive.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace lavenderkeel {

namespace {

/// Returns whether these are the same run, of which one report may lack parts.
bool IsSameRun(const CrashReport& a, const CrashReport& b) {
  if (a.server != b.server || a.request.fingerprint != b.request.fingerprint) {
    return false;
  }
  const auto& [fewer, more] =
      std::minmax(a.request.parts, b.request.parts,
                  [](const auto& left, const auto& right) {
                    return left.size() < right.size();
                  });
  if (fewer.size() == more.size()) {
    return fewer == more;
  }
  const std::unordered_set<PromptPartId> parts(more.begin(), more.end());
  return !fewer.empty() &&
         std::ranges::all_of(fewer, [&parts](PromptPartId part) {
           return parts.contains(part);
         });
}

size_t CountParts(const std::vector<CrashReport>& losses) {
  size_t count = 0;
  for (const CrashReport& loss : losses) {
    count += loss.request.parts.size();
  }
  return count;
}

bool Contains(const std::vector<CrashReport>& losses, const CrashReport& loss) {
  return std::ranges::any_of(losses, [&loss](const CrashReport& other) {
    return IsSameRun(other, loss);
  });
}

/// Returns the servers that were lost with each suspect that has survived some
/// run.
std::map<Suspect, std::set<uint64_t>> ServersBySuspect(
    const std::vector<CrashReport>& losses,
    const CrashLedger& ledger) {
  std::map<Suspect, std::set<uint64_t>> servers;
  for (const CrashReport& loss : losses) {
    for (const Suspect& suspect : SuspectsOf(loss.request)) {
      if (ledger.LastSurvival(suspect).has_value()) {
        servers[suspect].insert(loss.server);
      }
    }
  }
  return servers;
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
  stored_ = {};
  for (const CrashReport& report : reports) {
    if (report.kind == CrashReport::Kind::kLost) {
      stored_.losses.push_back(report);
    } else if (report.kind == CrashReport::Kind::kSurvived) {
      for (const Suspect& suspect : SuspectsOf(report.request)) {
        TimePoint& last = stored_.survivals[suspect];
        last = std::max(last, report.ended);
      }
    }
  }
  log_.Info("crash_archive_read", {{"revision", revision},
                                   {"losses", stored_.losses.size()},
                                   {"survivals", stored_.survivals.size()}});
  guard_.OnStoredReports(reports);
}

CrashArchive::Evidence CrashArchive::Wanted(bool with_doubtful,
                                            TimePoint now) const {
  const CrashLedger& ledger = guard_.ledger();
  Evidence wanted = {.losses = {}, .survivals = stored_.survivals};
  for (const CrashReport& loss : stored_.losses) {
    if (ledger.IsEvidence(loss)) {
      wanted.losses.push_back(loss);
    }
  }
  std::vector<Suspect> suspects =
      with_doubtful ? ledger.DoubtfulSuspects() : ledger.SharedDoubtfulParts();
  const std::vector<Suspect> culprits = ledger.Culprits();
  suspects.insert(suspects.end(), culprits.begin(), culprits.end());
  for (const Suspect& suspect : suspects) {
    for (const CrashReport& loss : ledger.LossesOf(suspect)) {
      if (!Contains(wanted.losses, loss)) {
        wanted.losses.push_back(loss);
      }
    }
  }
  std::vector<CrashReport> losses = stored_.losses;
  losses.insert(losses.end(), wanted.losses.begin(), wanted.losses.end());
  for (const auto& [suspect, servers] : ServersBySuspect(losses, ledger)) {
    const std::optional<TimePoint> survived = ledger.LastSurvival(suspect);
    if (survived.has_value()) {
      TimePoint& last = wanted.survivals[suspect];
      last = std::max(last, *survived);
    }
  }
  Limit(wanted, now);
  return wanted;
}

void CrashArchive::Limit(Evidence& evidence, TimePoint now) const {
  std::erase_if(evidence.losses, [&](const CrashReport& loss) {
    return now - loss.ended > options_.max_age;
  });
  std::erase_if(evidence.survivals, [&](const auto& item) {
    return now - item.second > options_.max_age;
  });
  const auto rank = [this](const CrashReport& loss) {
    return std::pair(HasCulprit(loss), loss.ended);
  };
  while (evidence.losses.size() > options_.max_losses) {
    evidence.losses.erase(std::ranges::min_element(evidence.losses, {}, rank));
  }
  LimitParts(evidence);
  while (evidence.survivals.size() > options_.max_survivals) {
    evidence.survivals.erase(std::ranges::min_element(
        evidence.survivals, {}, [](const auto& item) { return item.second; }));
  }
}

void CrashArchive::LimitParts(Evidence& evidence) const {
  std::vector<CrashReport>& losses = evidence.losses;
  if (CountParts(losses) <= options_.max_parts) {
    return;
  }
  std::unordered_map<PromptPartId, size_t> counts;
  for (const CrashReport& loss : losses) {
    for (const PromptPartId part : loss.request.parts) {
      ++counts[part];
    }
  }
  for (CrashReport& loss : losses) {
    std::vector<PromptPartId>& parts = loss.request.parts;
    if (!parts.empty()) {
      // The last part belongs to the request and identifies it.
      const PromptPartId last = parts.back();
      std::erase_if(parts, [&](PromptPartId part) {
        return counts[part] < 2 && part != last;
      });
    }
  }
  const auto oldest = [](const CrashReport& loss) { return loss.ended; };
  while (CountParts(losses) > options_.max_parts) {
    losses.erase(std::ranges::min_element(losses, {}, oldest));
  }
}

bool CrashArchive::HasCulprit(const CrashReport& loss) const {
  const std::vector<Suspect> culprits = guard_.ledger().Culprits();
  return std::ranges::any_of(culprits, [&loss](const Suspect& culprit) {
    return HasSuspect(loss.request, culprit);
  });
}

bool CrashArchive::Lacks(const Evidence& wanted) const {
  // Entries would replace each other's losses in a full store without end.
  const bool is_full = stored_.losses.size() >= options_.max_losses;
  const auto is_missing = [&](const CrashReport& loss) {
    return !Contains(stored_.losses, loss) && (!is_full || HasCulprit(loss));
  };
  return std::ranges::any_of(wanted.losses, is_missing) || IsOutdated();
}

bool CrashArchive::IsOutdated() const {
  const CrashLedger& ledger = guard_.ledger();
  const std::map<Suspect, std::set<uint64_t>> stored =
      ServersBySuspect(stored_.losses, ledger);
  return std::ranges::any_of(stored, [&](const auto& item) {
    const Suspect& suspect = item.first;
    const std::optional<TimePoint> survived = ledger.LastSurvival(suspect);
    if (suspect.kind == Suspect::Kind::kPartPair || item.second.size() < 2 ||
        !survived.has_value()) {
      return false;
    }
    const auto known = stored_.survivals.find(suspect);
    return std::ranges::any_of(stored_.losses, [&](const CrashReport& loss) {
      return HasSuspect(loss.request, suspect) && loss.ended <= *survived &&
             (known == stored_.survivals.end() || loss.ended > known->second);
    });
  });
}

std::vector<CrashReport> CrashArchive::ReportsOf(const Evidence& evidence) {
  std::vector<CrashReport> reports = evidence.losses;
  for (const auto& [suspect, survived] : evidence.survivals) {
    reports.push_back({.kind = CrashReport::Kind::kSurvived,
                       .request = TraitsOf(suspect),
                       .ended = survived});
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
  const Evidence wanted = Wanted(!contact.reaches_all, now);
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
                                    {"losses", wanted.losses.size()},
                                    {"survivals", wanted.survivals.size()}});
  write_(write);
}

}  // namespace lavenderkeel
