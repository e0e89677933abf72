// Measures what the search for the cause of crashes costs a request, by the
// number of parts of its prompt: while no server was lost, and after a part
// that all the prompts have has crashed servers. Prints JSON on standard
// output.
#include <boost/json.hpp>
#include <iostream>

#include "lavenderkeel/base.h"
#include "lavenderkeel/crash.h"

namespace lavenderkeel::bench {

namespace {

namespace json = boost::json;

constexpr int kSamples = 50;
constexpr int kLosses = 6;

/// A clock that the measured code reads and the benchmark sets.
class SetClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  WallTime WallNow() const override { return {}; }
  void Advance(Duration duration) { now_ += duration; }

 private:
  TimePoint now_ = TimePoint(std::chrono::hours(1));
};

class Requests {
 public:
  explicit Requests(size_t parts) : parts_(parts) {}

  /// Returns a request whose prompt has a common part, then parts of its own,
  /// then the last part.
  RequestTraits Next(PromptPartId last) {
    RequestTraits request = {.fingerprint = ++count_, .parts = {1}};
    while (request.parts.size() + 1 < parts_) {
      request.parts.push_back(1'000'000 + ++ids_);
    }
    request.parts.push_back(last);
    return request;
  }

 private:
  size_t parts_;
  uint64_t count_ = 0;
  uint64_t ids_ = 0;
};

/// Returns the mean time of a call.
template <typename Function>
double MicrosecondsOf(int calls, Function function) {
  const SystemClock clock;
  const TimePoint begin = clock.Now();
  for (int i = 0; i < calls; ++i) {
    function();
  }
  return static_cast<double>((clock.Now() - begin).count()) / calls;
}

json::object Measure(size_t parts) {
  constexpr PromptPartId kCulprit = 7;
  constexpr PromptPartId kSound = 8;
  SetClock clock;
  EventLog log;
  Metrics metrics;
  CrashGuard guard({}, clock, log, metrics);
  Requests requests(parts);
  const auto serve = [&](PromptPartId last) {
    const RequestTraits request = requests.Next(last);
    clock.Advance(std::chrono::milliseconds(10));
    const TimePoint sent = clock.Now();
    guard.OnRequestArrived(request);
    guard.Decide(request, [](const Suspect&) { return false; });
    guard.OnSent(request);
    clock.Advance(std::chrono::milliseconds(100));
    guard.OnServerSurvived(
        {.request = request, .server = 1, .place = 1, .sent = sent});
  };
  const double sound_before = MicrosecondsOf(kSamples, [&] { serve(kSound); });
  uint64_t server = 1000;
  const double loss = MicrosecondsOf(kLosses, [&] {
    const TimePoint sent = clock.Now();
    clock.Advance(std::chrono::milliseconds(50));
    guard.OnServerLost({.request = requests.Next(kCulprit),
                        .server = ++server,
                        .place = server,
                        .sent = sent});
  });
  const double sound_after = MicrosecondsOf(kSamples, [&] { serve(kSound); });
  bool blocked = true;
  const double culprit = MicrosecondsOf(kSamples, [&] {
    const RequestTraits request = requests.Next(kCulprit);
    guard.OnRequestArrived(request);
    blocked = blocked && guard.Decide(request, [](const Suspect&) {
                                return false;
                              }).kind == CrashDecision::Kind::kRefuse;
  });
  return {{"parts", parts},        {"sound_us", sound_before},
          {"loss_us", loss},       {"sound_after_losses_us", sound_after},
          {"culprit_us", culprit}, {"culprit_refused", blocked}};
}

}  // namespace

}  // namespace lavenderkeel::bench

int main() {
  boost::json::array results;
  // The last is what a head of 16 KiB holds.
  for (const size_t parts : {4U, 64U, 256U, 1200U, 4000U}) {
    results.push_back(lavenderkeel::bench::Measure(parts));
  }
  std::cout << results << "\n";
  return 0;
}
