#ifndef LAVENDERKEEL_FORWARD_CRASH_ARCHIVE_EXCHANGE_H_
#define LAVENDERKEEL_FORWARD_CRASH_ARCHIVE_EXCHANGE_H_

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "lavenderkeel/base.h"
#include "lavenderkeel/crash/crash_archive.h"
#include "lavenderkeel/watch.h"

namespace lavenderkeel {

/// Reads the evidence against culprits from the platform's store, and writes it
/// there.
class CrashArchiveExchange {
 public:
  struct Options {
    CrashArchive::Options archive;
    ObjectWatch::Options watch;
    /// How long the store may hold a watch; the evidence hardly changes.
    Duration watch_wait = std::chrono::seconds(12);
  };

  /// Access to the evidence in the store.
  struct Source {
    /// Empty: the store keeps none.
    std::string kind;
    /// The one object of the kind.
    std::string object;
    std::function<leaf::result<StoredCrashReports>(const StoredObject&,
                                                   const Clock&)>
        decode;
    CrashArchive::Write write;
  };

  CrashArchiveExchange(
      const Options& options,
      Source source,
      std::function<void(ObjectWatch&, uint64_t, const ObjectRead&)> read,
      CrashGuard& guard,
      const Clock& clock,
      std::mt19937_64& random,
      const EventLog& log,
      Metrics& metrics);

  bool enabled() const { return !source_.kind.empty(); }
  void Start();
  void OnFreeze();
  /// Stops reading the store while other entries send what they read.
  void SetPaused(bool paused) { watch_.SetPaused(paused); }
  /// @param reaches_all whether this entry is connected to all others
  void Tick(const std::function<size_t(uint64_t key)>& rank, bool reaches_all);
  uint64_t store_calls() const { return watch_.calls() + writes_; }

 private:
  ObjectWatch::Hooks Hooks();
  void OnObject(const StoredObject& object);

  Options options_;
  Source source_;
  std::function<void(ObjectWatch&, uint64_t, const ObjectRead&)> read_;
  const Clock& clock_;
  const EventLog& log_;
  Metrics& metrics_;
  CrashArchive archive_;
  ObjectWatch watch_;
  uint64_t writes_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_CRASH_ARCHIVE_EXCHANGE_H_
