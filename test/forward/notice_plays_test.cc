// Random plays of everything that servers say about themselves.
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>
#include <string>
#include <utility>

#include "test/forward/notice_simulation.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServers = 8;
constexpr int kSteps = 24;
/// Time in which a machine that restarted or was cut off is in touch again, and
/// the length of the period in which requests are counted.
constexpr Duration kExcused = seconds(7);
constexpr int kMaxArrivalsDuringPushback = 2;

/// One play: servers state limits, rests and their end, crash and start again
/// at their addresses, while entries restart and are cut from each other and
/// the store goes away.
class NoticePlay {
 public:
  explicit NoticePlay(uint64_t seed)
      : random_(seed),
        entries_(1 + Draw(6)),
        simulation_({.entries = entries_,
                     .servers = {.servers = kServers},
                     .every = milliseconds(8)}) {}

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      if (cut_) {
        ExcuseAll();
      }
      if (Draw(3) == 0) {
        DisturbEntries();
      } else {
        ChangeServer(Draw(kServers));
      }
      simulation_.SendTraffic(milliseconds(300 + 100 * Draw(25)));
    }
  }

  NoticeSimulation& simulation() { return simulation_; }
  int entries() const { return entries_; }

 private:
  int Draw(int count) {
    return static_cast<int>(random_() % static_cast<uint64_t>(count));
  }

  void ExcuseAll() {
    for (int entry = 0; entry < entries_; ++entry) {
      Excuse(entry);
    }
  }
  void Excuse(int entry) {
    simulation_.history().Excuse(entry, simulation_.fleet().Now() + kExcused);
  }

  void DisturbEntries() {
    const int entry = Draw(entries_);
    switch (Draw(3)) {
      case 0:
        simulation_.Restart(entry);
        Excuse(entry);
        break;
      case 1:
        for (int first = 0; first < entries_; ++first) {
          simulation_.SetPartition(first, false);
        }
        if (!std::exchange(cut_, !cut_)) {
          simulation_.SetPartition(entry, true);
        }
        ExcuseAll();
        break;
      default:
        simulation_.fleet().set_store_down(Draw(2) == 0);
    }
  }

  void ChangeServer(int server) {
    fakes::SimulatedServers& servers = simulation_.servers();
    switch (Draw(6)) {
      case 0:
      case 1:
        servers.SetLimit(server, Draw(80) / 10.0);
        break;
      case 2:
        servers.SetLimit(server, std::nullopt);
        servers.SetPushback(server, std::nullopt);
        break;
      case 3:
      case 4:
        servers.SetPushback(server, milliseconds(500 * Draw(10)),
                            Draw(2) == 0 ? -1 : Draw(entries_));
        break;
      default:
        // A leaving server ends and is replaced at its address.
        if (servers.IsLeaving(server)) {
          servers.Crash(server);
        } else {
          servers.SetLeaving(server);
        }
    }
  }

  std::mt19937_64 random_;
  int entries_;
  NoticeSimulation simulation_;
  bool cut_ = false;
};

}  // namespace

// Guards against sequences of notices and disturbances in which a server gets
// requests that it does not take. NOTICE_PLAYS sets the number of seeds.
BOOST_AUTO_TEST_CASE(NoticesAreKeptInRandomPlays) {
  const char* const plays_text = std::getenv("NOTICE_PLAYS");
  const uint64_t plays = plays_text == nullptr ? 4 : std::stoull(plays_text);
  for (uint64_t seed = 1; seed <= plays; ++seed) {
    NoticePlay play(seed);
    play.Run();
    const fakes::ServerHistory& history = play.simulation().history();
    BOOST_TEST_CONTEXT("seed " << seed << " entries " << play.entries()) {
      BOOST_TEST(history.MaxExcessOverLimit() == 0);
      BOOST_TEST(history.arrivals_after_leaving() == 0);
      BOOST_TEST(history.MaxArrivalsDuringPushback() <=
                 kMaxArrivalsDuringPushback);
    }
  }
}

}  // namespace lavenderkeel
