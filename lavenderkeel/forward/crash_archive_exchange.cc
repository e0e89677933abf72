#include "lavenderkeel/forward/crash_archive_exchange.h"

#include <algorithm>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

ObjectWatch::Options WatchOptions(const CrashArchiveExchange::Options& options,
                                  const std::string& kind) {
  ObjectWatch::Options watch = options.watch;
  watch.object_kind = kind;
  watch.wait = options.watch_wait;
  return watch;
}

}  // namespace

CrashArchiveExchange::CrashArchiveExchange(
    const Options& options,
    Source source,
    std::function<void(ObjectWatch&, uint64_t, const ObjectRead&)> read,
    CrashGuard& guard,
    const Clock& clock,
    std::mt19937_64& random,
    const EventLog& log,
    Metrics& metrics)
    : options_(options),
      source_(std::move(source)),
      read_(std::move(read)),
      clock_(clock),
      log_(log),
      metrics_(metrics),
      archive_(options.archive,
               guard,
               clock,
               log,
               [this](const CrashArchiveWrite& write) {
                 ++writes_;
                 source_.write(write);
               }),
      watch_(WatchOptions(options, source_.kind), Hooks(), clock, random, log) {
}

ObjectWatch::Hooks CrashArchiveExchange::Hooks() {
  return {
      .read = [this](uint64_t call,
                     const ObjectRead& read) { read_(watch_, call, read); },
      .on_list =
          [this](const std::vector<StoredObject>& objects) {
            const auto found =
                std::ranges::find(objects, source_.object, &StoredObject::name);
            OnObject(found == objects.end()
                         ? StoredObject{.name = source_.object, .removed = true}
                         : *found);
          },
      .on_change = [this](const StoredObject& object) { OnObject(object); },
      .on_outage = [] {},
      .on_recovery = [] {}};
}

void CrashArchiveExchange::OnObject(const StoredObject& object) {
  if (object.name != source_.object) {
    return;
  }
  if (object.removed) {
    archive_.OnRead(0, {});
    return;
  }
  auto reports = Catch([&] { return source_.decode(object, clock_); });
  if (!reports) {
    log_.Warn("crash_archive_unreadable",
              {{"revision", object.revision},
               {"code", static_cast<uint32_t>(reports.failure.code)},
               {"faults", reports.failure.message}});
  }
  if (reports && reports.value->unreadable > 0) {
    metrics_.Add("crash_reports_unreadable", reports.value->unreadable);
    log_.Warn("crash_reports_unreadable",
              {{"revision", object.revision},
               {"reports", reports.value->unreadable},
               {"readable", reports.value->reports.size()}});
  }
  archive_.OnRead(object.revision, reports ? reports.value->reports
                                           : std::vector<CrashReport>());
}

void CrashArchiveExchange::Start() {
  if (enabled()) {
    watch_.Start();
  }
}

void CrashArchiveExchange::OnFreeze() {
  if (enabled()) {
    watch_.Restart();
  }
}

void CrashArchiveExchange::Tick(const std::function<size_t(uint64_t key)>& rank,
                                bool reaches_all) {
  if (enabled()) {
    watch_.Tick();
    archive_.Tick(
        {.rank = rank(HashBytes(source_.kind)), .reaches_all = reaches_all});
  }
}

}  // namespace lavenderkeel
