// Measures in one run the latency to the first token through an entry and an
// agent, compared with calling the fake engine directly, and the requests per
// second through one entry and one agent. Real processes on loopback.
// Prints JSON on standard output.
#include <algorithm>
#include <boost/json.hpp>
#include <iostream>
#include <random>

#include "lavenderkeel/base.h"
#include "test/process/cluster.h"

namespace lavenderkeel::bench {

namespace {

namespace json = boost::json;
using test::Cluster;

constexpr int kSamples = 300;
constexpr int kMaxInFlight = 32;
constexpr int kRequests = 2000;

double Microseconds(Duration duration) {
  return static_cast<double>(duration.count());
}

/// Returns the time to the first bytes of a stream.
Duration FirstTokenTime(Cluster& cluster, bool direct, int number) {
  // Sends the request at a random phase of the fake engine's steps; otherwise
  // requests and steps could stay in a fixed phase.
  static std::mt19937_64 random(1);
  const TimePoint start =
      SystemClock().Now() + Duration(static_cast<int64_t>(random() % 7000));
  while (SystemClock().Now() < start) {
  }
  Duration first{};
  const TimePoint begin = SystemClock().Now();
  HttpClient::Call call{
      .address = direct ? cluster.EngineAddress(0) : cluster.EntryAddress(0),
      .method = "POST",
      .path = "/v1/completions",
      .headers = {{"Authorization", "Bearer board-key"},
                  {"Lavenderkeel-Work", "check"}},
      .body = json::serialize(
          json::object{{"model", "m"},
                       {"prompt", "bench " + std::to_string(number)},
                       {"max_tokens", 2},
                       {"stream", true}})};
  call.on_data = [&first, begin](std::string_view) {
    if (first == Duration()) {
      first = SystemClock().Now() - begin;
    }
  };
  const auto exchange = cluster.Send(std::move(call));
  cluster.Wait([&] { return exchange->done; });
  return first;
}

json::object Percentiles(std::vector<Duration> samples) {
  std::ranges::sort(samples);
  return {{"p50_us", Microseconds(samples[samples.size() / 2])},
          {"p99_us", Microseconds(samples[samples.size() * 99 / 100])}};
}

double Throughput(Cluster& cluster) {
  const TimePoint begin = SystemClock().Now();
  std::vector<std::shared_ptr<test::Exchange>> open;
  int sent = 0;
  int done = 0;
  cluster.Wait([&] {
    done += static_cast<int>(
        std::erase_if(open, [](const auto& e) { return e->done; }));
    while (sent < kRequests && open.size() < kMaxInFlight) {
      open.push_back(cluster.SubmitRequest(0, "", "check", 1));
      ++sent;
    }
    return done >= kRequests;
  });
  const Duration took = SystemClock().Now() - begin;
  return kRequests * 1e6 / Microseconds(took);
}

json::object MeasurePath() {
  Cluster cluster({.entries = 1,
                   .agents = 1,
                   .step_ms = 1,
                   .agent_tuning = R"("first_in_flight": 64)"});
  std::vector<Duration> direct;
  std::vector<Duration> path;
  for (int i = 0; i < kSamples; ++i) {
    // Alternates, so that both measurements see the same state of the machine.
    direct.push_back(FirstTokenTime(cluster, true, i));
    path.push_back(FirstTokenTime(cluster, false, i));
  }
  return {{"samples", kSamples},
          {"straight", Percentiles(direct)},
          {"path", Percentiles(path)},
          {"requests_per_second", Throughput(cluster)},
          {"at_once", kMaxInFlight}};
}

}  // namespace

}  // namespace lavenderkeel::bench

int main() {
  std::cout << boost::json::serialize(lavenderkeel::bench::MeasurePath())
            << "\n";
  return 0;
}
