#include "lavenderkeel/forward/team_rates.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));
const TeamConfig kTeam = {.name = "team",
                          .rate = {.per_second = 40, .burst = 20}};

/// Rates of one entry of two that report to each other.
TeamRates SampleRates(bool by_rank) {
  TeamRates rates({.by_rank = by_rank}, kStart);
  rates.share().OnOlderPeer();
  rates.share().OnPeerCount(2, 2, kStart);
  return rates;
}

}  // namespace

// Decisions must not change where the routes have no different priorities, or
// the option is off.
BOOST_AUTO_TEST_CASE(RankMattersOnlyWithTheOptionAndDifferentPriorities) {
  BOOST_TEST(rc::check([] {
    TeamRates plain = SampleRates(false);
    TeamRates without_ranks = SampleRates(true);
    TeamRates off = SampleRates(false);
    TimePoint now = kStart;
    double total = 0;
    for (int step = 0; step < *rc::gen::inRange(1, 200); ++step) {
      now += milliseconds(*rc::gen::inRange(0, 60));
      TeamRates::Request request = {
          .units = static_cast<double>(*rc::gen::inRange(1, 5)),
          .id = "r",
          .is_retry = *rc::gen::arbitrary<bool>(),
          .max_wait = milliseconds(1000)};
      const auto expected = plain.Take(kTeam, request, now).shortage;
      const auto no_rank = without_ranks.Take(kTeam, request, now).shortage;
      request.rank = *rc::gen::inRange(0, 3);
      const auto ignored = off.Take(kTeam, request, now).shortage;
      RC_ASSERT(expected.has_value() == no_rank.has_value());
      RC_ASSERT(expected.has_value() == ignored.has_value());
      if (expected.has_value()) {
        RC_ASSERT(expected->wait == no_rank->wait);
        RC_ASSERT(expected->wait == ignored->wait);
      }
      total += *rc::gen::inRange(0, 2);
      for (TeamRates* rates : {&plain, &without_ranks, &off}) {
        rates->OnPeerTotals("b", {{1, total}}, now);
        rates->OnPeerDemand("b", {{.team = 1, .rank = 0, .units = total}}, now);
      }
    }
    RC_ASSERT(without_ranks.TakeDemand(now).empty());
    RC_ASSERT(off.TakeDemand(now).empty());
  }));
}

// Guards against usage that is not counted, since others report it for the
// first time after all have joined.
BOOST_AUTO_TEST_CASE(FirstReportsAfterAJointStartAreCounted) {
  for (const bool is_relayed : {false, true}) {
    TeamRates rates({}, kStart);
    const TimePoint joined = kStart + milliseconds(200);
    for (const TimePoint at : {kStart, kStart + milliseconds(10), joined}) {
      rates.share().OnPeerCount(2, 2, at);
    }
    BOOST_TEST(!rates.share().IsJoining(joined));
    const TeamRates::Request request = {.id = "r"};
    BOOST_TEST(!rates.Take(kTeam, request, joined).shortage.has_value());
    // More than has been refilled since.
    const UsageTotals used = {{HashBytes(kTeam.name), 30}};
    if (is_relayed) {
      rates.OnRelayedTotals("b", used, joined);
    } else {
      rates.OnPeerTotals("b", used, joined);
    }
    BOOST_TEST(rates.Take(kTeam, request, joined + milliseconds(200))
                   .shortage.has_value());
  }
}

// Ranks must not let more through than the bucket has.
BOOST_AUTO_TEST_CASE(BoundHoldsWithRanks) {
  BOOST_TEST(rc::check([] {
    TeamRates rates = SampleRates(true);
    const TimePoint begin = kStart + milliseconds(100);
    TimePoint now = begin;
    double admitted = 0;
    for (int step = 0; step < *rc::gen::inRange(1, 400); ++step) {
      now += milliseconds(*rc::gen::inRange(0, 30));
      const std::string id = "r" + std::to_string(step);
      const TeamRates::Request request = {
          .units = static_cast<double>(*rc::gen::inRange(1, 5)),
          .rank = *rc::gen::inRange(0, 3),
          .id = id,
          .deadline = now + milliseconds(*rc::gen::inRange(0, 10'000)),
          .is_retry = *rc::gen::arbitrary<bool>(),
          .max_wait = milliseconds(2000)};
      if (!rates.Take(kTeam, request, now).shortage.has_value()) {
        admitted += request.units;
      }
    }
    const double seconds = ToSeconds(now - kStart);
    RC_ASSERT(admitted <=
              kTeam.rate.burst + kTeam.rate.per_second * seconds + 1e-6);
  }));
}

}  // namespace lavenderkeel
