#ifndef LAVENDERKEEL_OVERLOAD_EARLY_REFUSAL_H_
#define LAVENDERKEEL_OVERLOAD_EARLY_REFUSAL_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/base/metrics.h"
#include "lavenderkeel/forward/slot.h"
#include "lavenderkeel/overload/prediction_error.h"
#include "lavenderkeel/overload/return_schedule.h"
#include "lavenderkeel/overload/service_load.h"
#include "lavenderkeel/overload/slot_rank.h"

namespace lavenderkeel {

/// Decision whether a request that arrives is refused because it would get no
/// slot within its wait, and when its client is to come back.
///
/// The queue serves first what can still be in time, at plain services the
/// newest first, so a request gets its slot early or not at all. Under overload
/// the fraction of the requests that get none is refused on arrival: all beyond
/// a stock that keeps the servers busy until the next report.
class EarlyRefusal {
 public:
  struct Options {
    /// The stock: grants of this time. Below the report period, as arrivals
    /// since the report are estimated; with less, late requests often take the
    /// slots of requests in time.
    Duration stock_time = std::chrono::milliseconds(75);
    /// The stock of a rank is at least this fraction of that of all ranks. The
    /// more urgent arrivals vary by about as much.
    double min_stock_fraction = 0.25;
    /// At most this fraction of new requests is refused, unless their wait
    /// would be too long. The others wait, and take the slots that are free
    /// when the burst ends, before the refused come back.
    double max_refused_fraction = 0.7;
    /// At least this fraction is refused while more late requests of the rank
    /// wait than will be served within their wait: most of them are retries,
    /// whose clients don't come back again.
    double fraction_for_late = 0.08;
    /// Upper bound of Retry-After, absolute and relative to the time that the
    /// client has left; clients wait for no longer.
    Duration max_retry_after = std::chrono::seconds(4);
    double retry_after_per_time_left = 1.0 / 3;
    /// While more arrive than are granted, returns are promised in the rest of
    /// the permitted time after this fraction. Clients come back once, and a
    /// burst lasts some seconds.
    double min_return_fraction = 0.9;
    ServiceLoad::Options load;
  };

  /// A request on arrival.
  struct Request {
    std::string id;
    std::string service;
    SlotRank rank;
    /// The longest wait for a slot that it would be given.
    Duration max_wait{};
    Duration time_left{};
    /// The client was refused before and came back.
    bool is_retry = false;
    /// It was sent before, or its client has a part of the answer.
    bool was_begun = false;
  };

  enum class Outcome {
    /// A slot is free, or nothing is known of the queue.
    kNoQueue,
    kRetry,
    kBegun,
    /// The queue is so short that the request gets a slot.
    kShortQueue,
    /// Requests of this queue have a chance, and this one is among those that
    /// take it.
    kChosen,
    /// The same, and this one is among those that don't.
    kNotChosen,
    /// No request at this place gets a slot within the wait.
    kTooLong,
  };

  struct Decision {
    Outcome outcome = Outcome::kNoQueue;
    /// Nothing if the outcome does not depend on the queue.
    std::optional<QueueAhead> ahead;
    /// Without the correction.
    std::optional<Duration> predicted_wait;
    double correction = 1;
    double refused_fraction = 0;
    std::optional<Duration> retry_after;

    bool refused() const {
      return outcome == Outcome::kNotChosen || outcome == Outcome::kTooLong;
    }
  };

  EarlyRefusal(const Options& options,
               const Clock& clock,
               const EventLog& log,
               Metrics& metrics)
      : options_(options), clock_(clock), log_(log), metrics_(metrics) {}

  /// Records the reports of an entry on its groups.
  void OnReports(const std::string& scheduler,
                 const std::vector<SlotGroupReport>& reports);
  /// Records a slot request of this entry.
  /// @param late whether it can no longer be in time
  void OnSlotRequest(const std::string& service,
                     const SlotRank& rank,
                     bool late);
  /// Records that an admitted request got its slot or ended its wait without.
  void OnWaitEnded(const std::string& service,
                   const SlotRank& rank,
                   Duration predicted,
                   Duration actual);

  Decision Decide(const Request& request);
  /// Returns when the client of a request that ended its wait is to come back,
  /// and records the promise; nothing if the load of the service is not known.
  std::optional<Duration> PromiseReturn(const Request& request);

  static const char* OutcomeName(Outcome outcome);

 private:
  struct ServiceState {
    ServiceLoad load;
    ReturnSchedule returns;
    std::map<SlotRank, PredictionError> errors;
  };

  /// Returns null if no scheduler reports the service.
  ServiceState* Find(const std::string& service);
  Decision Judge(const Request& request);
  /// @param overload_lasts whether the end of the overload is not in sight
  std::optional<Duration> Promise(const Request& request, bool overload_lasts);
  void Log(const Request& request, const Decision& decision);

  Options options_;
  const Clock& clock_;
  const EventLog& log_;
  Metrics& metrics_;
  /// By the hash of the service's name.
  std::map<uint64_t, ServiceState> services_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_OVERLOAD_EARLY_REFUSAL_H_
