#ifndef LAVENDERKEEL_CRASH_CRASH_ARCHIVE_H_
#define LAVENDERKEEL_CRASH_CRASH_ARCHIVE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/crash/crash_guard.h"
#include "lavenderkeel/crash/crash_report.h"

namespace lavenderkeel {

/// A write of the evidence in the store; the outcome shows in what is read.
struct CrashArchiveWrite {
  /// The revision that the object must still have; zero: it is created, and
  /// written once it exists.
  uint64_t revision = 0;
  std::vector<CrashReport> reports = {};

  friend bool operator==(const CrashArchiveWrite&,
                         const CrashArchiveWrite&) = default;
};

/// The evidence as read from the store.
struct StoredCrashReports {
  std::vector<CrashReport> reports;
  /// Number of reports that can't be read; they are left out.
  size_t unreadable = 0;

  friend bool operator==(const StoredCrashReports&,
                         const StoredCrashReports&) = default;
};

/// Keeps the evidence against culprits, and against doubtful parts of prompts
/// that different requests share, in the platform's store.
///
/// All entries may end at the same moment, and some may reach the store but not
/// each other. Without the archive each would lose as many servers again before
/// it knew the culprit. What was answered since is recorded, too, so that an
/// entry that has not heard of it does not write the losses anew.
class CrashArchive {
 public:
  struct Options {
    /// Time between two writes of an entry.
    Duration write_interval = std::chrono::seconds(1);
    /// An entry waits for this time per entry before it in rank order, which
    /// knows the same.
    Duration rank_delay = std::chrono::milliseconds(300);
    /// Entries that start together know each other, and so their ranks, after
    /// this time.
    Duration create_delay = std::chrono::seconds(2);
    /// Evidence of this age is left out of the next write.
    Duration max_age = std::chrono::minutes(10);
    /// Above this number, losses are left out: those of doubtful suspects
    /// before those of culprits, and the oldest first.
    size_t max_losses = 128;
    /// Above this number, the oldest survivals are left out.
    size_t max_survivals = 256;
    /// Above this number of parts of all losses together, parts that only one
    /// loss has are left out. It keeps the object well below 1 MiB.
    size_t max_parts = 32768;
  };

  using Write = std::function<void(const CrashArchiveWrite&)>;

  CrashArchive(const Options& options,
               CrashGuard& guard,
               const Clock& clock,
               const EventLog& log,
               Write write);

  /// Handles the object as read; revision zero: it does not exist.
  void OnRead(uint64_t revision, const std::vector<CrashReport>& reports);
  /// Whom this entry reaches.
  struct Contact {
    /// The number of entries that write before this one.
    size_t rank = 0;
    /// Whether reports reach all entries. If not, all doubtful suspects are
    /// written, so that entries which reach only the store add up what they
    /// know.
    bool reaches_all = true;
  };
  /// Writes what the store lacks.
  void Tick(const Contact& contact);

 private:
  struct Evidence {
    /// The runs that were lost with a suspect, and all that they had.
    std::vector<CrashReport> losses;
    /// When each suspect of the losses was last answered after one.
    std::map<Suspect, TimePoint> survivals;
  };

  /// Returns what the store should have.
  Evidence Wanted(bool with_doubtful, TimePoint now) const;
  /// Removes what is too old or exceeds the limits.
  void Limit(Evidence& evidence, TimePoint now) const;
  void LimitParts(Evidence& evidence) const;
  bool HasCulprit(const CrashReport& loss) const;
  /// Returns whether the store lacks something that matters.
  bool Lacks(const Evidence& wanted) const;
  /// Returns whether a suspect that the store has several losses of was
  /// answered since.
  bool IsOutdated() const;
  static std::vector<CrashReport> ReportsOf(const Evidence& evidence);

  Options options_;
  CrashGuard& guard_;
  const Clock& clock_;
  const EventLog& log_;
  Write write_;
  bool read_ = false;
  uint64_t revision_ = 0;
  Evidence stored_;
  /// What was compared last.
  std::tuple<uint64_t, uint64_t, bool> compared_;
  /// When the store was first found to lack something.
  std::optional<TimePoint> lacking_since_;
  TimePoint write_due_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_CRASH_ARCHIVE_H_
