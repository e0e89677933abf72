#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>

#include "test/forward/scheduler_harness.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Scheduler in the data centre "govan" with one server of two slots there and
/// one in "leith".
struct Harness : SchedulerHarness {
  explicit Harness(double other_data_centre_cost)
      : SchedulerHarness(
            {.placement = {.data_centre = "govan",
                           .other_data_centre_cost = other_data_centre_cost}}) {
    for (const char* data_centre : {"govan", "leith"}) {
      directory.Apply({.id = std::string("in-") + data_centre,
                       .service = "engines",
                       .data_centre = data_centre,
                       .slots = 2});
    }
  }

  /// @return the server that the request is granted
  std::string RequestFrom(const std::string& data_centre) {
    const AttemptId attempt = ++last_;
    scheduler.RequestSlot("entry",
                          {.attempt = attempt,
                           .service = "engines",
                           .model_server = true,
                           .in_time_until = clock.Now() + milliseconds(300),
                           .due = clock.Now() + seconds(10),
                           .data_centre = data_centre});
    return ServerOf(attempt);
  }
  /// Ends all requests, each with the pace of its server.
  void EndAll(const std::function<double(const std::string&)>& pace_ms) {
    for (const auto& [attempt, server] : granted) {
      scheduler.ReleaseSlot(
          "entry", attempt,
          {.kind = SlotResult::Kind::kAnswered, .pace_ms = pace_ms(server)});
    }
  }

 private:
  AttemptId last_ = 0;
};

constexpr double kHighCost = 1;

}  // namespace

// The scheduler runs in one data centre and the entry in another. If the
// scheduler's own counted, the request would cross between them for nothing.
BOOST_AUTO_TEST_CASE(RequestStaysInDataCentreOfItsEntry) {
  for (const char* data_centre : {"govan", "leith"}) {
    Harness h(kHighCost);
    BOOST_TEST(h.RequestFrom(data_centre) == std::string("in-") + data_centre);
    BOOST_TEST(h.RequestFrom(data_centre) == std::string("in-") + data_centre);
  }
}

// An entry of an older version does not name its data centre.
BOOST_AUTO_TEST_CASE(SchedulerStandsInForUnknownDataCentre) {
  Harness h(kHighCost);
  BOOST_TEST(h.RequestFrom("") == "in-govan");
}

// The cost is a preference: with the servers nearby full, requests must not
// wait beside a free one elsewhere.
BOOST_AUTO_TEST_CASE(RequestsSpillOverToOtherDataCentre) {
  Harness h(kHighCost);
  h.RequestFrom("leith");
  h.RequestFrom("leith");
  BOOST_TEST(h.RequestFrom("leith") == "in-govan");
  BOOST_TEST(h.RequestFrom("leith") == "in-govan");
  BOOST_TEST(h.RequestFrom("leith") == "none");
}

// The near server is half as slow again as the far one. The operator's cost
// decides whether the distance is worth it.
BOOST_AUTO_TEST_CASE(OperatorWeighsDistanceAgainstSpeed) {
  constexpr double kLowCost = 0.05;
  for (const double cost : {kLowCost, kHighCost}) {
    Harness h(cost);
    for (int i = 0; i < 4; ++i) {
      BOOST_REQUIRE(h.RequestFrom("leith") != "none");
    }
    h.EndAll([](const std::string& server) {
      constexpr double kFastMs = 100;
      constexpr double kSlowMs = 150;
      return server == "in-leith" ? kSlowMs : kFastMs;
    });
    BOOST_TEST(h.RequestFrom("leith") ==
               (cost == kLowCost ? "in-govan" : "in-leith"));
  }
}

}  // namespace lavenderkeel
