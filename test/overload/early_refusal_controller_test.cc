#include <boost/test/unit_test.hpp>

#include "lavenderkeel/base/rendezvous.h"
#include "test/fakes/forward_simulation.h"
#include "test/forward/scheduler_harness.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kUnavailable = 503;

/// Entry whose only team has a rate, and whose service is full for seconds by
/// the reports of another scheduler.
struct FullService {
  fakes::ForwardSimulation simulation;

  explicit FullService(bool early_refusal)
      : simulation({.controller = {.early_refusal = early_refusal}}) {
    RouteTableContent table = fakes::ForwardSimulation::Table(2);
    table.teams.front().rate = {.per_second = 1000, .burst = 1000};
    simulation.controller.OnRouteTable(
        std::make_shared<const RouteTable>(std::move(table)));
    // Rates of teams are decided on half a second after the start.
    simulation.Advance(seconds(2));
    uint64_t granted = 0;
    for (int i = 0; i <= 10; ++i) {
      const std::vector<RankLoad> ranks = {
          {.waiting = 300, .granted = granted}};
      simulation.controller.OnSlotGroupReports(
          "other", {{.service_hash = HashBytes("engines"),
                     .waiting = 300,
                     .ranks = ranks}});
      granted += 10;
      if (i < 10) {
        simulation.clock.Advance(milliseconds(100));
      }
    }
  }
  double UnitsUsed() {
    double sum = 0;
    for (const auto& [team, units] :
         simulation.controller.Report().team_totals) {
      sum += units;
    }
    return sum;
  }
};

}  // namespace

// A request that is refused early must not use up the rate of its team.
BOOST_AUTO_TEST_CASE(EarlyRefusalUsesNoTeamRate) {
  FullService service(/*early_refusal=*/true);
  const ExchangeId exchange = service.simulation.Request("lookup");
  const fakes::ClientView& client = service.simulation.client(exchange);
  BOOST_TEST((client.status == kUnavailable));
  BOOST_TEST(client.ended);
  const std::string* retry_after = FindField(client.fields, "Retry-After");
  BOOST_REQUIRE(retry_after != nullptr);
  BOOST_TEST(std::stod(*retry_after) >= 2.9);
  BOOST_TEST(std::stod(*retry_after) <= 3.4);
  BOOST_TEST(service.UnitsUsed() == 0);
  BOOST_TEST(service.simulation.port.sent.empty());
  BOOST_TEST(service.simulation.controller.open() == 0U);
}

// Without the option the request is admitted as before.
BOOST_AUTO_TEST_CASE(NoEarlyRefusalWithoutTheOption) {
  FullService service(/*early_refusal=*/false);
  const ExchangeId exchange = service.simulation.Request("lookup");
  BOOST_TEST(!service.simulation.client(exchange).status.has_value());
  BOOST_TEST(service.simulation.port.sent.size() == 1U);
  BOOST_TEST(service.UnitsUsed() == 1);
}

// A client that has a part of a stream, or that was refused before, gets no
// early refusal.
BOOST_AUTO_TEST_CASE(BegunStreamsAndRetriesAreNotRefusedEarly) {
  FullService service(/*early_refusal=*/true);
  const ExchangeId begun =
      service.simulation.Request("stream", {{"Last-Event-Id", "7"}});
  BOOST_TEST(!service.simulation.client(begun).status.has_value());
  // Retries are told by the usual time left of the route's requests.
  for (int i = 0; i < 20; ++i) {
    service.simulation.Request("lookup");
  }
  const ExchangeId retry =
      service.simulation.Request("lookup", {{"Deadline-Ms", "6800"}});
  BOOST_TEST(!service.simulation.client(retry).status.has_value());
}

// Entries predict by the queue and the grants of each rank.
BOOST_AUTO_TEST_CASE(SchedulerReportsTheQueueOfEachRank) {
  SchedulerHarness harness({.reports_ranks = true});
  harness.directory.ApplyList(
      {{.id = "s", .service = "engines", .address = "10.0.0.1:1", .slots = 2}},
      harness.clock.Now());
  const auto request = [&harness](AttemptId attempt, int route_priority,
                                  Duration in_time) {
    harness.scheduler.RequestSlot(
        "e", {.attempt = attempt,
              .service = "engines",
              .model_server = true,
              .route_priority = route_priority,
              .in_time_until = harness.clock.Now() + in_time,
              .due = harness.clock.Now() + seconds(10)});
  };
  request(1, 0, seconds(1));
  request(2, 1, seconds(1));
  request(3, 1, seconds(1));
  request(4, 1, -seconds(1));
  request(5, 2, seconds(1));
  const std::vector<SlotGroupReport> reports = harness.scheduler.Reports();
  BOOST_REQUIRE(reports.size() == 1U);
  const std::vector<RankLoad> expected = {
      {.route_priority = 0, .granted = 1},
      {.route_priority = 1, .waiting = 2, .granted = 1, .late = 1},
      {.route_priority = 2, .waiting = 1}};
  BOOST_TEST((reports.front().ranks == expected));
}

}  // namespace lavenderkeel
