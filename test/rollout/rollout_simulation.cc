#include "test/rollout/rollout_simulation.h"

#include <algorithm>

namespace lavenderkeel {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr double kExposeShare = 0.1;
constexpr double kExposeSlack = 50;
constexpr Duration kRollbackTime = std::chrono::seconds(5);

}  // namespace

RolloutSimulation::RolloutSimulation(const Options& options)
    : options_(options),
      fleet_({.entries = options.entries,
              .seeds = std::min(3, options.entries),
              .with_server = false,
              .log = options.log,
              .node = {.exposure = {.enabled = true,
                                    .share = kExposeShare,
                                    .slack = kExposeSlack}}}),
      versions_(fleet_,
                [&options] {
                  SimulatedVersions::Options versions = options.versions;
                  versions.seed = options.seed;
                  return versions;
                }()),
      random_(options.seed),
      rate_(options.requests_per_second) {
  versions_.AddVersion("v1");
  versions_.Advance(std::chrono::seconds(2));
}

void RolloutSimulation::RunFor(Duration duration,
                               const std::function<void()>& during) {
  const TimePoint end = fleet_.Now() + duration;
  while (fleet_.Now() < end) {
    during();
    due_requests_ += rate_ * ToSeconds(kStep);
    while (due_requests_ >= 1) {
      due_requests_ -= 1;
      Send();
    }
    versions_.Advance(kStep);
    ApplyState();
  }
}

void RolloutSimulation::Send() {
  const auto number = random_();
  const int entry =
      static_cast<int>(number % static_cast<uint64_t>(options_.entries));
  constexpr uint64_t kTenths = 10;
  const uint64_t tenth = (number >> 32U) % kTenths;
  const char* route = tenth < 6 ? "lookup" : tenth < 9 ? "once" : "stream";
  if (fleet_.IsRunning(entry)) {
    sent_requests_.push_back(
        {.entry = entry,
         .incarnation = fleet_.incarnation(entry),
         .exchange = fleet_.Request(entry, route, std::to_string(number))});
  }
}

void RolloutSimulation::OrderRollout() {
  versions_.AddVersion("v2");
  WriteOrder();
}

void RolloutSimulation::WriteOrder() {
  ordered_at_ = fleet_.Now();
  fleet_.PutObject(
      "rollouts", "engines",
      R"({"service":"engines","to":"v2","durationS":)" +
          std::to_string(static_cast<int>(ToSeconds(options_.order_duration))) +
          "}");
}

void RolloutSimulation::Restart(int entry) {
  fleet_.Kill(entry);
  fleet_.Start(entry);
}

std::string RolloutSimulation::State() const {
  const std::string status = fleet_.StatusOf("rollouts", "engines");
  for (const char* state : {"serving", "completed", "rolled_back"}) {
    if (status.find('"' + std::string(state) + '"') != std::string::npos) {
      return state;
    }
  }
  return "";
}

void RolloutSimulation::ApplyState() {
  const std::string state = State();
  if (ended_at_.has_value()) {
    constexpr Duration kDrainsAfter = std::chrono::seconds(3);
    if (state == "rolled_back" && fleet_.Now() == *ended_at_ + kDrainsAfter) {
      versions_.DrainVersion("v2");
    }
    return;
  }
  if (state == "completed") {
    ended_at_ = fleet_.Now();
    versions_.StopVersion("v1");
  } else if (state == "rolled_back") {
    ended_at_ = fleet_.Now();
  }
}

double RolloutSimulation::ExcessExposure() const {
  double all = 0;
  double exposed = 0;
  for (const SimulatedVersions::Arrival& arrival : versions_.arrivals()) {
    if (arrival.at >= ordered_at_ && arrival.at < due()) {
      ++all;
      exposed += arrival.version == "v2" ? 1 : 0;
    }
  }
  return exposed - kExposeShare * all - kExposeSlack;
}

int RolloutSimulation::LateArrivals() const {
  constexpr size_t kFiftieth = 49;
  const std::vector<TimePoint>& bad = versions_.bad_answers();
  if (bad.size() <= kFiftieth) {
    return 0;
  }
  return static_cast<int>(std::ranges::count_if(
      versions_.arrivals(), [&](const SimulatedVersions::Arrival& arrival) {
        return arrival.version == "v2" &&
               arrival.at > bad[kFiftieth] + kRollbackTime;
      }));
}

double RolloutSimulation::Served() const {
  constexpr int kOk = 200;
  double served = 0;
  double all = 0;
  for (const SentRequest& request : sent_requests_) {
    const bool here = fleet_.IsRunning(request.entry) &&
                      fleet_.incarnation(request.entry) == request.incarnation;
    if (!here) {
      continue;
    }
    ++all;
    const auto& clients =
        const_cast<fakes::FleetSimulation&>(fleet_).port(request.entry).clients;
    const auto found = clients.find(request.exchange);
    served += found != clients.end() && found->second.status == kOk ? 1 : 0;
  }
  return all == 0 ? 1 : served / all;
}

}  // namespace lavenderkeel
