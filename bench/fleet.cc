// Measures an idle fleet of real processes on loopback: control bytes,
// processor time and memory per daemon, and the time until a preset switch is
// in force at every entry, also with an outage of the platform right after
// acceptance.
// Usage: fleet ENTRIES AGENTS. Prints JSON on standard output and exits.
#include <unistd.h>

#include <boost/json.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "lavenderkeel/base.h"
#include "test/process/cluster.h"

namespace lavenderkeel::bench {

namespace {

namespace json = boost::json;
using test::Cluster;

constexpr Duration kIdleTime = std::chrono::seconds(20);

double MetricOf(const std::string& text, const std::string& name) {
  const size_t position = text.find("lavenderkeel_" + name + " ");
  return position == std::string::npos
             ? 0
             : std::atof(text.c_str() + position + name.size() + 14);
}

/// Processor time, memory and peer traffic of a process.
struct Usage {
  double processor_us = 0;
  double memory_bytes = 0;
  double peer_bytes = 0;
};

Usage UsageOf(Cluster& cluster, const std::string& name) {
  Usage usage;
  const std::string base = "/proc/" + std::to_string(cluster.Pid(name));
  std::ifstream stat(base + "/stat");
  std::string field;
  double user = 0;
  double system = 0;
  for (int i = 1; i <= 15 && stat >> field; ++i) {
    user = i == 14 ? std::atof(field.c_str()) : user;
    system = i == 15 ? std::atof(field.c_str()) : system;
  }
  usage.processor_us =
      (user + system) * 1e6 / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream rollup(base + "/statm");
  double pages = 0;
  double resident = 0;
  double shared = 0;
  rollup >> pages >> resident >> shared;
  // Private memory, without the shared program text.
  usage.memory_bytes =
      (resident - shared) * static_cast<double>(sysconf(_SC_PAGESIZE));
  return usage;
}

Usage EntryUsage(Cluster& cluster, size_t entry) {
  Usage usage = UsageOf(cluster, "entry-" + std::to_string(entry));
  const std::string metrics =
      cluster.Call(cluster.EntryAddress(entry), "GET", "/metrics").body;
  usage.peer_bytes = MetricOf(metrics, "peer_bytes_sent") +
                     MetricOf(metrics, "peer_bytes_received");
  return usage;
}

void StayIdle(Cluster& cluster) {
  const TimePoint end = SystemClock().Now() + kIdleTime;
  cluster.Wait([end] { return SystemClock().Now() >= end; });
}

/// Returns the milliseconds from the request to switch the preset until every
/// entry has the new configuration version.
double SwitchTime(Cluster& cluster,
                  size_t entries,
                  const std::string& preset,
                  bool outage) {
  const uint64_t before = cluster.VersionAt(0);
  const TimePoint begin = SystemClock().Now();
  cluster.Admin(0, "POST", "/admin/v1/preset",
                R"({"name": ")" + preset + "\"}");
  if (outage) {
    cluster.Call(cluster.PlatformAddress(), "POST", "/fault/outage");
  }
  for (size_t i = 0; i < entries; ++i) {
    cluster.Wait([&] { return cluster.VersionAt(i) > before; });
  }
  return static_cast<double>((SystemClock().Now() - begin).count()) / 1000;
}

json::object MeasureFleet(size_t entries, size_t agents) {
  Cluster cluster({.entries = entries, .agents = agents});
  StayIdle(cluster);
  std::vector<Usage> before;
  for (size_t i = 0; i < entries; ++i) {
    before.push_back(EntryUsage(cluster, i));
  }
  const Usage agent_before = UsageOf(cluster, "agent-0");
  StayIdle(cluster);
  const double seconds = std::chrono::duration<double>(kIdleTime).count();
  Usage sum;
  for (size_t i = 0; i < entries; ++i) {
    const Usage after = EntryUsage(cluster, i);
    sum.processor_us += after.processor_us - before[i].processor_us;
    sum.peer_bytes += after.peer_bytes - before[i].peer_bytes;
    sum.memory_bytes += after.memory_bytes;
  }
  const Usage agent = UsageOf(cluster, "agent-0");
  const auto count = static_cast<double>(entries);
  json::object result{
      {"entries", entries},
      {"agents", agents},
      {"entry_core_share", sum.processor_us / count / seconds / 1e6},
      {"entry_memory_bytes", sum.memory_bytes / count},
      {"entry_peer_bytes_per_s", sum.peer_bytes / count / seconds},
      {"agent_core_share",
       (agent.processor_us - agent_before.processor_us) / seconds / 1e6},
      {"agent_memory_bytes", agent.memory_bytes}};
  result["switch_ms"] = SwitchTime(cluster, entries, "peak", false);
  result["switch_then_outage_ms"] =
      SwitchTime(cluster, entries, "ordinary", true);
  return result;
}

}  // namespace

}  // namespace lavenderkeel::bench

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: fleet ENTRIES AGENTS\n";
    return 2;
  }
  std::cout << boost::json::serialize(lavenderkeel::bench::MeasureFleet(
                   std::strtoul(argv[1], nullptr, 10),
                   std::strtoul(argv[2], nullptr, 10)))
            << "\n";
  return 0;
}
