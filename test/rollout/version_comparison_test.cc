#include "lavenderkeel/rollout/version_comparison.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

constexpr uint64_t kRoute = 1;

VersionComparison WithBaseline(uint32_t answered, uint32_t failed) {
  VersionComparison comparison;
  comparison.AddBaseline(
      kRoute, {.answered = answered, .failed = failed, .timed = answered});
  return comparison;
}

/// Adds answers of the canary at four servers in rotation, one in `bad_each` of
/// them bad.
void AddCanary(VersionComparison& comparison, int answers, int bad_each) {
  constexpr uint64_t kServers = 4;
  for (int i = 1; i <= answers; ++i) {
    const uint32_t failed = bad_each > 0 && i % bad_each == 0 ? 1 : 0;
    comparison.AddCanary(kRoute, static_cast<uint64_t>(i) % kServers,
                         {.answered = 1, .failed = failed});
  }
}

/// Adds answers of the canary at eight servers in rotation; all answers of the
/// first `slow_servers` are slow.
void AddSlowCanary(VersionComparison& comparison,
                   int answers,
                   uint64_t slow_servers) {
  constexpr uint64_t kServers = 8;
  comparison.set_servers(kServers);
  for (int i = 0; i < answers; ++i) {
    const uint64_t server = static_cast<uint64_t>(i) % kServers;
    const uint32_t slow = server < slow_servers ? 1 : 0;
    comparison.AddCanary(kRoute, server,
                         {.answered = 1, .timed = 1, .slow = slow});
  }
}

}  // namespace

// Guards against rejecting, by chance, a version that fails as often as the
// baseline.
BOOST_AUTO_TEST_CASE(EqualVersionsAreNotWorse) {
  VersionComparison comparison = WithBaseline(1000, 50);
  AddCanary(comparison, 300, 20);
  BOOST_TEST(!comparison.worse());
}

// Guards against missing a version that fails more often than the baseline.
BOOST_AUTO_TEST_CASE(VersionThatFailsMoreOftenIsFound) {
  VersionComparison comparison = WithBaseline(1000, 50);
  AddCanary(comparison, 100, 3);
  BOOST_TEST(comparison.worse());
}

// Guards against missing a version that becomes bad after many good answers.
BOOST_AUTO_TEST_CASE(VersionThatBecomesBadLaterIsFound) {
  VersionComparison comparison = WithBaseline(1000, 10);
  AddCanary(comparison, 2000, 0);
  AddCanary(comparison, 60, 3);
  BOOST_TEST(comparison.worse());
}

// Guards against rejecting a version because of one bad server.
BOOST_AUTO_TEST_CASE(FailuresOfOneServerDoNotBlameTheVersion) {
  VersionComparison comparison = WithBaseline(1000, 10);
  AddCanary(comparison, 200, 0);
  comparison.AddCanary(kRoute, 2, {.answered = 40, .failed = 20});
  BOOST_TEST(!comparison.worse());
}

// Guards against rejecting a version because of a crash, which ends all
// requests of a server at once.
BOOST_AUTO_TEST_CASE(LostConnectionsOfACrashDoNotBlameTheVersion) {
  VersionComparison comparison = WithBaseline(1000, 10);
  AddCanary(comparison, 50, 0);
  for (const uint64_t server : {1, 3}) {
    comparison.AddCanary(kRoute, server, {.answered = 5, .broken = 5});
  }
  BOOST_TEST(!comparison.in_doubt());
}

// Guards against rejecting a version because of a route whose requests also
// fail at the baseline, before the baseline has samples.
BOOST_AUTO_TEST_CASE(NoVerdictBeforeTheBaselineHasSamples) {
  VersionComparison comparison;
  AddCanary(comparison, 20, 5);
  BOOST_TEST(!comparison.worse());
}

// Guards against rejecting a version because a third of its servers are slow
// hardware, which the baseline has too but avoids.
BOOST_AUTO_TEST_CASE(SlowServersDoNotBlameTheVersion) {
  VersionComparison comparison = WithBaseline(1000, 10);
  AddSlowCanary(comparison, 160, 3);
  BOOST_TEST(!comparison.in_doubt());
  BOOST_TEST(comparison.as_good());
}

// Guards against missing a version that is slow at all of its servers.
BOOST_AUTO_TEST_CASE(VersionThatIsSlowAtAllServersIsFound) {
  VersionComparison comparison = WithBaseline(1000, 10);
  AddSlowCanary(comparison, 40, 8);
  BOOST_TEST(comparison.worse());
}

// Guards against missing a slow version that has a single server.
BOOST_AUTO_TEST_CASE(SlowVersionWithOneServerIsFound) {
  VersionComparison comparison = WithBaseline(1000, 10);
  comparison.set_servers(1);
  for (int i = 0; i < 8; ++i) {
    comparison.AddCanary(kRoute, 1, {.answered = 1, .timed = 1, .slow = 1});
  }
  BOOST_TEST(comparison.worse());
}

// Guards against letting a version through right after a failure on a route
// that doesn't fail at the baseline.
BOOST_AUTO_TEST_CASE(RecentFailureIsNotAsGood) {
  VersionComparison comparison = WithBaseline(1000, 0);
  AddCanary(comparison, 40, 40);
  BOOST_TEST(!comparison.in_doubt());
  BOOST_TEST(!comparison.as_good());
  AddCanary(comparison, 60, 0);
  BOOST_TEST(comparison.as_good());
}

// Guards against holding a version back because of a route that fails as often
// at the baseline.
BOOST_AUTO_TEST_CASE(UsualFailuresAreAsGood) {
  VersionComparison comparison = WithBaseline(1000, 100);
  AddCanary(comparison, 100, 9);
  BOOST_TEST(comparison.as_good());
}

}  // namespace lavenderkeel
