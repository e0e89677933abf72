#include "lavenderkeel/forward/team_bucket.h"

#include <rapidcheck.h>

#include <array>
#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

const TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr TeamRate kRate = {.per_second = 1000,
                            .burst = 2000,
                            .in_tokens = true};

}  // namespace

BOOST_AUTO_TEST_CASE(BurstThenRateThenAWaitThatIsEnough) {
  TeamBucket bucket;
  BOOST_TEST(!bucket.Take(kRate, 2000, 1, kStart).has_value());
  const auto wait = bucket.Take(kRate, 500, 1, kStart);
  BOOST_REQUIRE(wait.has_value());
  BOOST_TEST((*wait == std::chrono::milliseconds(500)));
  BOOST_TEST(!bucket.Take(kRate, 500, 1, kStart + *wait).has_value());
}

BOOST_AUTO_TEST_CASE(RequestLargerThanTheBurstPassesWhenTheBucketIsFull) {
  TeamBucket bucket;
  BOOST_TEST(!bucket.Take(kRate, 5000, 1, kStart).has_value());
  BOOST_TEST(bucket.Take(kRate, 1, 1, kStart).has_value());
}

BOOST_AUTO_TEST_CASE(WhatOtherEntriesReportCounts) {
  TeamBucket bucket;
  bucket.Take(kRate, 1, 1, kStart);
  bucket.OnPeerTotal("b", 100);
  bucket.OnPeerTotal("b", 2100);
  BOOST_TEST(bucket.Take(kRate, 200, 1, kStart).has_value());
}

// An entry joins and hears of all that another drew in its long life. The team
// is not locked out for that: most of it was refilled long since.
BOOST_AUTO_TEST_CASE(FirstReportLeavesNoDebt) {
  TeamBucket bucket;
  bucket.Take(kRate, 1, 1, kStart);
  bucket.OnPeerTotal("b", 1'000'000);
  BOOST_TEST(bucket.level() == 0);
}

// Four entries that hear of each other with a delay let a team through that
// asks for far more than its rate. Over any eight seconds, what passes stays
// within the tolerated bound.
BOOST_AUTO_TEST_CASE(FourEntriesTogetherKeepWithinTheTolerance) {
  rc::check([] {
    constexpr size_t kEntries = 4;
    constexpr TeamRate kLimit = {
        .per_second = 30'000, .burst = 110'000, .in_tokens = true};
    constexpr TeamBucket::Tolerance kTolerance = {.over = 0.1,
                                                  .slack = 190'000};
    constexpr Duration kWindow = std::chrono::seconds(8);
    const TeamRate aim = TeamBucket::Aim(kLimit, kTolerance);
    std::array<TeamBucket, kEntries> buckets;
    std::vector<std::pair<TimePoint, double>> passed;
    const int units = *rc::gen::inRange(200, 6000);
    constexpr int kSteps = 1500;
    for (int i = 0; i < kSteps; ++i) {
      const TimePoint now = kStart + std::chrono::milliseconds(10 * i);
      const auto entry =
          static_cast<size_t>(*rc::gen::inRange<int>(0, kEntries));
      if (!buckets.at(entry).Take(aim, units, 1, now).has_value()) {
        passed.emplace_back(now, units);
      }
      constexpr int kReportEvery = 20;
      if (i % kReportEvery == 0) {
        for (size_t from = 0; from < kEntries; ++from) {
          for (size_t to = 0; to < kEntries; ++to) {
            if (from != to) {
              buckets.at(to).OnPeerTotal(std::to_string(from),
                                         buckets.at(from).used());
            }
          }
        }
      }
    }
    const double bound =
        (kLimit.per_second * 8 + kLimit.burst) * (1 + kTolerance.over) +
        kTolerance.slack;
    double sum = 0;
    size_t first = 0;
    for (const auto& [time, amount] : passed) {
      sum += amount;
      while (time - passed[first].first > kWindow) {
        sum -= passed[first++].second;
      }
      RC_ASSERT(sum <= bound);
    }
  });
}

}  // namespace lavenderkeel
