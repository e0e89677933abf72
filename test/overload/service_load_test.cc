#include "lavenderkeel/overload/service_load.h"

#include <boost/test/unit_test.hpp>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SlotRank kUrgent = {0, 0};
constexpr SlotRank kUsual = {0, 1};

/// Load of a service with one group, reported every 100 ms.
struct ReportedService {
  fuzz::VirtualClock clock;
  ServiceLoad load{{}};
  uint64_t urgent_granted = 1000;
  uint64_t usual_granted = 1000;
  std::string scheduler = "a";
  int free = 0;

  void Report(int urgent_waiting, int usual_waiting, int usual_late = 0) {
    load.OnReport(scheduler,
                  {.service_hash = 1,
                   .free = free,
                   .waiting = urgent_waiting + usual_waiting,
                   .ranks = {{.priority = 0,
                              .route_priority = 0,
                              .waiting = urgent_waiting,
                              .granted = urgent_granted},
                             {.priority = 0,
                              .route_priority = 1,
                              .waiting = usual_waiting,
                              .granted = usual_granted,
                              .late = usual_late}}},
                  clock.Now());
  }
  /// Reports for a second with a constant queue; 20 and 80 grants a second.
  void ReportFullSecond() {
    for (int i = 0; i < 10; ++i) {
      Report(4, 30, 10);
      clock.Advance(milliseconds(100));
      urgent_granted += 2;
      usual_granted += 8;
    }
    Report(4, 30, 10);
  }
};

}  // namespace

// A rank that is predicted with the grants of more urgent ranks, or with late
// requests before it, is refused although it gets slots.
BOOST_AUTO_TEST_CASE(MoreUrgentRanksTakeTheirGrantsFirst) {
  ReportedService service;
  service.ReportFullSecond();
  const TimePoint now = service.clock.Now();
  const std::optional<QueueAhead> urgent = service.load.Predict(kUrgent, now);
  const std::optional<QueueAhead> usual = service.load.Predict(kUsual, now);
  BOOST_REQUIRE(urgent.has_value());
  BOOST_REQUIRE(usual.has_value());
  BOOST_TEST(urgent->requests == 4);
  BOOST_TEST(urgent->rank_rate == 100, boost::test_tools::tolerance(0.01));
  BOOST_TEST(usual->requests == 24);
  BOOST_TEST(usual->late == 10);
  BOOST_TEST(usual->rank_rate == 80, boost::test_tools::tolerance(0.01));
  BOOST_TEST(usual->total_rate == 100, boost::test_tools::tolerance(0.01));
}

// Requests that were sent since the report are not in it: without them every
// entry sends its whole burst between two reports.
BOOST_AUTO_TEST_CASE(RequestsSentSinceTheReportCount) {
  ReportedService service;
  service.ReportFullSecond();
  for (int i = 0; i < 50; ++i) {
    service.load.OnSlotRequest(kUsual, false);
  }
  BOOST_TEST(service.load.Predict(kUsual, service.clock.Now())->requests == 74);
  BOOST_TEST(service.load.Predict(kUrgent, service.clock.Now())->requests == 4);
  service.Report(4, 80, 10);
  BOOST_TEST(service.load.Predict(kUsual, service.clock.Now())->requests == 74);
}

// What other entries send between two reports is expected at the rate of the
// last second.
BOOST_AUTO_TEST_CASE(QueueStaysAsLongWhileArrivalsEqualGrants) {
  ReportedService service;
  service.ReportFullSecond();
  service.clock.Advance(milliseconds(50));
  BOOST_TEST(service.load.Predict(kUsual, service.clock.Now())->requests == 24,
             boost::test_tools::tolerance(0.01));
}

// No request may be refused on old or insufficient data, or with free slots.
BOOST_AUTO_TEST_CASE(NothingIsPredictedWithoutData) {
  ReportedService service;
  service.Report(4, 30);
  BOOST_TEST(!service.load.Predict(kUsual, service.clock.Now()).has_value());
  service.ReportFullSecond();
  const TimePoint now = service.clock.Now();
  BOOST_TEST(service.load.Predict(kUsual, now + milliseconds(400)).has_value());
  BOOST_TEST(
      !service.load.Predict(kUsual, now + milliseconds(401)).has_value());
  service.free = 1;
  service.Report(4, 30);
  BOOST_TEST(!service.load.Predict(kUsual, now).has_value());
}

// The grants of a scheduler that takes over, or restarts, count from zero and
// say nothing about the capacity.
BOOST_AUTO_TEST_CASE(RatesStartAnewWithAnotherScheduler) {
  ReportedService service;
  service.ReportFullSecond();
  service.scheduler = "b";
  service.Report(4, 30);
  BOOST_TEST(!service.load.Predict(kUsual, service.clock.Now()).has_value());

  ReportedService restarted;
  restarted.ReportFullSecond();
  restarted.urgent_granted = 0;
  restarted.usual_granted = 5;
  restarted.Report(4, 30);
  BOOST_TEST(
      !restarted.load.Predict(kUsual, restarted.clock.Now()).has_value());
}

// While slots are free, grants follow the arrivals: taken for the capacity, the
// rate of a quiet second would refuse most requests at the start of a burst.
BOOST_AUTO_TEST_CASE(RatesAreTakenWhileRequestsWait) {
  ReportedService service;
  for (int i = 0; i < 5; ++i) {
    service.Report(0, 0);
    service.clock.Advance(milliseconds(100));
    service.usual_granted += 1;
  }
  for (int i = 0; i < 4; ++i) {
    service.Report(0, 20);
    service.clock.Advance(milliseconds(100));
    service.usual_granted += 10;
  }
  service.Report(0, 20);
  BOOST_TEST(
      service.load.Predict(kUsual, service.clock.Now())->rank_rate == 100,
      boost::test_tools::tolerance(0.01));
}

// A rank that is reported again after a pause shows all grants since the start
// of its scheduler; taken for those of 100 ms, they admit a whole burst.
BOOST_AUTO_TEST_CASE(GrantsBeforeTheFirstReportOfARankDoNotCount) {
  ReportedService service;
  service.ReportFullSecond();
  service.clock.Advance(milliseconds(100));
  service.load.OnReport(
      service.scheduler,
      {.service_hash = 1,
       .waiting = 30,
       .ranks = {{.route_priority = 1,
                  .waiting = 20,
                  .granted = service.usual_granted + 8},
                 {.route_priority = 2, .waiting = 10, .granted = 1'000'000}}},
      service.clock.Now());
  const std::optional<QueueAhead> ahead =
      service.load.Predict(kUsual, service.clock.Now());
  BOOST_REQUIRE(ahead.has_value());
  BOOST_TEST(ahead->total_rate < 110);
}

// With two groups a request goes to the one that has slots.
BOOST_AUTO_TEST_CASE(FreeSlotsOfAnyGroupCount) {
  ReportedService service;
  service.ReportFullSecond();
  service.load.OnReport("b",
                        {.service_hash = 1,
                         .group = {.index = 1, .count = 2},
                         .free = 2,
                         .ranks = {{.granted = 7}}},
                        service.clock.Now());
  BOOST_TEST(!service.load.Predict(kUsual, service.clock.Now()).has_value());
}

// A scheduler of an old version reports no ranks; nothing is known of its
// group.
BOOST_AUTO_TEST_CASE(GroupWithoutRanksIsNotPredicted) {
  ReportedService service;
  service.ReportFullSecond();
  service.load.OnReport(
      "old",
      {.service_hash = 1, .group = {.index = 1, .count = 2}, .waiting = 40},
      service.clock.Now());
  BOOST_TEST(!service.load.Predict(kUsual, service.clock.Now()).has_value());
}

}  // namespace lavenderkeel
