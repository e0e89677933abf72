#include "lavenderkeel/crash/crash_archive.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "lavenderkeel/crash.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const RequestTraits kRequest = {.parts = {7}};

/// The object in the store that the entries share.
struct Store {
  uint64_t revision = 0;
  std::vector<CrashReport> reports;
  int writes = 0;
};

struct Entry {
  Entry(Store& shared,
        fuzz::VirtualClock& common,
        const CrashArchive::Options& options = {})
      : store(shared),
        clock(common),
        guard({}, clock, log, metrics),
        archive(options,
                guard,
                clock,
                log,
                [this](const CrashArchiveWrite& write) {
                  ++store.writes;
                  if (write.revision == store.revision) {
                    ++store.revision;
                    store.reports = write.reports;
                  }
                }) {}

  void Read() { archive.OnRead(store.revision, store.reports); }
  void LoseServers(int servers, bool are_requests_different = false) {
    for (int i = 0; i < servers; ++i) {
      const TimePoint sent = clock.Now();
      clock.Advance(milliseconds(50));
      RequestTraits request = kRequest;
      request.fingerprint = are_requests_different ? last_server + 1 : 0;
      guard.OnServerLost(
          {.request = request, .server = ++last_server, .sent = sent});
      clock.Advance(milliseconds(50));
    }
  }
  bool IsBlocked() const {
    return guard.SuspicionOf(kRequest) == CrashSuspicion::kBlocked;
  }

  Store& store;
  fuzz::VirtualClock& clock;
  EventLog log;
  Metrics metrics;
  CrashGuard guard;
  CrashArchive archive;
  uint64_t last_server = 0;
};

struct Fixture {
  Fixture() : entry(store, clock) {
    entry.Read();
    entry.archive.Tick({});
    clock.Advance(seconds(3));
    entry.archive.Tick({});
    entry.Read();
    clock.Advance(seconds(3));
    entry.archive.Tick({});
  }

  fuzz::VirtualClock clock;
  Store store;
  Entry entry;
};

}  // namespace

// Guards against evidence that ends with the processes of all entries.
BOOST_FIXTURE_TEST_CASE(CulpritIsKnownAfterARestart, Fixture) {
  entry.LoseServers(3);
  entry.archive.Tick({});
  BOOST_TEST(!store.reports.empty());
  Entry restarted(store, clock);
  BOOST_TEST(!restarted.IsBlocked());
  restarted.Read();
  BOOST_TEST(restarted.IsBlocked());
}

// Guards against writes for what is no culprit, or is known there already.
BOOST_FIXTURE_TEST_CASE(StoreIsWrittenOncePerCulprit, Fixture) {
  const int before = store.writes;
  entry.LoseServers(2);
  for (int i = 0; i < 100; ++i) {
    entry.archive.Tick({});
    clock.Advance(milliseconds(100));
  }
  BOOST_TEST(store.writes == before);
  entry.LoseServers(1);
  for (int i = 0; i < 100; ++i) {
    entry.archive.Tick({});
    entry.Read();
    clock.Advance(milliseconds(100));
  }
  BOOST_TEST(store.writes == before + 1);
}

// Guards against a part that all entries run again after they have restarted,
// since its losses were too few for a culprit.
BOOST_FIXTURE_TEST_CASE(DoubtfulPartOfDifferentRequestsIsStored, Fixture) {
  entry.LoseServers(2, /*are_requests_different=*/true);
  entry.archive.Tick({});
  Entry restarted(store, clock);
  restarted.Read();
  BOOST_TEST(
      (restarted.guard.SuspicionOf(kRequest) == CrashSuspicion::kDoubtful));
}

// Guards against entries that all write the same, and against a write that is
// never made since the entry before has ended.
BOOST_FIXTURE_TEST_CASE(OtherEntriesWriteAfterTheirRank, Fixture) {
  const int before = store.writes;
  entry.LoseServers(3);
  entry.archive.Tick({.rank = 2});
  clock.Advance(milliseconds(400));
  entry.archive.Tick({.rank = 2});
  BOOST_TEST(store.writes == before);
  clock.Advance(milliseconds(300));
  entry.archive.Tick({.rank = 2});
  BOOST_TEST(store.writes == before + 1);
}

// Guards against a culprit that stays in the store after it was answered, and
// against an entry that has not heard of the answer and writes it again.
BOOST_FIXTURE_TEST_CASE(AnsweredSuspectIsClearedEverywhere, Fixture) {
  entry.LoseServers(3);
  entry.archive.Tick({});
  Entry other(store, clock);
  other.Read();
  entry.Read();
  clock.Advance(seconds(2));
  entry.guard.OnServerSurvived({.request = kRequest, .sent = clock.Now()});
  entry.archive.Tick({});
  entry.Read();
  const int before = store.writes;
  other.Read();
  BOOST_TEST(!other.IsBlocked());
  clock.Advance(seconds(2));
  other.archive.Tick({});
  BOOST_TEST(store.writes == before);
  Entry restarted(store, clock);
  restarted.Read();
  BOOST_TEST(!restarted.IsBlocked());
}

// Guards against entries out of contact that each need all losses themselves.
BOOST_FIXTURE_TEST_CASE(EntriesOutOfContactAddUpTheirLosses, Fixture) {
  entry.LoseServers(2);
  entry.archive.Tick({.reaches_all = false});
  Entry other(store, clock);
  other.last_server = 100;
  other.Read();
  other.LoseServers(1);
  BOOST_TEST(other.IsBlocked());
}

// Guards against evidence that grows in the store without end.
BOOST_FIXTURE_TEST_CASE(OldEvidenceIsLeftOut, Fixture) {
  entry.LoseServers(3);
  entry.archive.Tick({});
  entry.Read();
  clock.Advance(minutes(11));
  entry.guard.Tick();
  const RequestTraits other = {.parts = {8}};
  for (uint64_t server = 50; server < 53; ++server) {
    const TimePoint sent = clock.Now();
    clock.Advance(milliseconds(50));
    entry.guard.OnServerLost(
        {.request = other, .server = server, .sent = sent});
    clock.Advance(milliseconds(50));
  }
  entry.archive.Tick({});
  BOOST_TEST(std::ranges::all_of(store.reports, [&](const CrashReport& report) {
    return report.request == other;
  }));
  BOOST_TEST(store.reports.size() == 3U);
}

// Guards against entries that replace each other's losses in a full store
// without end.
BOOST_AUTO_TEST_CASE(FullStoreIsNotRewritten) {
  fuzz::VirtualClock clock;
  Store store;
  const CrashArchive::Options options = {.max_losses = 4};
  Entry entries[] = {{store, clock, options}, {store, clock, options}};
  const TimePoint sent = clock.Now();
  clock.Advance(milliseconds(50));
  for (Entry& entry : entries) {
    for (uint64_t i = 0; i < options.max_losses; ++i) {
      const auto own = static_cast<uint64_t>(&entry - entries);
      entry.guard.OnServerLost(
          {.request = {.fingerprint = 100 * own + i, .parts = {own + 1}},
           .server = 100 * own + i + 1,
           .sent = sent});
    }
  }
  for (int i = 0; i < 100; ++i) {
    for (Entry& entry : entries) {
      entry.Read();
      entry.archive.Tick({.reaches_all = false});
    }
    clock.Advance(seconds(1));
  }
  BOOST_TEST(store.reports.size() == options.max_losses);
  BOOST_TEST(store.writes <= 4);
}

// Guards against evidence that the store refuses since it is too large, and
// against a store that is rewritten since it lacks the parts left out.
BOOST_FIXTURE_TEST_CASE(EvidenceOfLongPromptsIsLimited, Fixture) {
  constexpr PromptPartId kCulprit = 7;
  PromptPartId own = 1000;
  for (uint64_t i = 1; i <= 20; ++i) {
    std::vector<PromptPartId> parts(4000);
    std::ranges::generate(parts, [&own] { return ++own; });
    parts.insert(parts.begin() + 2000, kCulprit);
    const TimePoint sent = clock.Now();
    clock.Advance(milliseconds(50));
    entry.guard.OnServerLost({.request = {.fingerprint = i, .parts = parts},
                              .server = i,
                              .sent = sent});
    clock.Advance(milliseconds(50));
  }
  for (int i = 0; i < 20; ++i) {
    entry.archive.Tick({.reaches_all = true});
    clock.Advance(seconds(2));
    entry.Read();
  }
  BOOST_TEST(store.writes <= 2);
  BOOST_TEST(store.reports.size() >= 16U);
  size_t total = 0;
  for (const CrashReport& report : store.reports) {
    total += report.request.parts.size();
    BOOST_TEST(HasSuspect(report.request,
                          {.kind = Suspect::Kind::kPart, .first = kCulprit}));
  }
  BOOST_TEST(total <= CrashArchive::Options().max_parts);
}

// Guards against a write that is not made again though the store did not take
// it.
BOOST_FIXTURE_TEST_CASE(WriteWithoutEffectIsRepeated, Fixture) {
  entry.LoseServers(3);
  entry.archive.Tick({});
  store.reports.clear();
  clock.Advance(seconds(2));
  const int before = store.writes;
  entry.archive.Tick({});
  BOOST_TEST(store.writes == before + 1);
}

// Guards against a conditional write that another entry overtook.
BOOST_FIXTURE_TEST_CASE(LostWriteIsRepeated, Fixture) {
  ++store.revision;
  entry.LoseServers(3);
  entry.archive.Tick({});
  BOOST_TEST(store.reports.empty());
  entry.Read();
  clock.Advance(seconds(2));
  entry.archive.Tick({});
  BOOST_TEST(store.reports.size() == 3U);
}

}  // namespace lavenderkeel
