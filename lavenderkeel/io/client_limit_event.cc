#include "lavenderkeel/io/client_limit_event.h"

namespace lavenderkeel {

void RecordLimitEvent(const ClientLimitEvent& event,
                      const EventLog& log,
                      Metrics& metrics) {
  metrics.Add("clients_limited{port=\"" + event.port + "\",limit=\"" +
              event.limit + "\",state=\"" + event.state + "\"}");
  log.Info("client_limited", {{"port", event.port},
                              {"limit", event.limit},
                              {"state", event.state},
                              {"client", event.address},
                              {"exchange", event.exchange},
                              {"age_ms", ToMilliseconds(event.age)},
                              {"held_bytes", event.held_bytes},
                              {"used_bytes", event.used_bytes},
                              {"limit_bytes", event.limit_bytes},
                              {"connections", event.connections}});
}

void PutMemoryMetrics(const BodyMemory& bodies, Metrics& metrics) {
  const MemoryBudget& budget = bodies.budget();
  metrics.Set("client_memory_bytes", static_cast<double>(budget.used()));
  metrics.Set("client_memory_peak_bytes", static_cast<double>(budget.peak()));
  metrics.Set("client_memory_limit_bytes", static_cast<double>(budget.limit()));
  metrics.Set("bodies_waiting_for_memory",
              static_cast<double>(bodies.waiting()));
}

}  // namespace lavenderkeel
