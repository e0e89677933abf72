#ifndef LAVENDERKEEL_TEST_FAKES_ENGINE_CORE_H_
#define LAVENDERKEEL_TEST_FAKES_ENGINE_CORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel::fakes {

/// Simulation of a model engine, without sockets: continuous batching, a prefix
/// cache of limited size, load reports and cache events that lag, and streams
/// that can be resumed and cancelled. It has no priorities and admits every
/// request.
class EngineCore {
 public:
  struct Options {
    /// Duration of a step with one request in the batch.
    Duration step = std::chrono::milliseconds(4);
    /// Fraction by which each further request in the batch extends the step.
    double batch_slowdown = 0.05;
    uint32_t prefill_tokens_per_step = 512;
    size_t prefix_blocks = 256;
    Duration report_lag = std::chrono::seconds(1);
    bool checks_fence = true;
  };

  struct Stream {
    /// First word of the prompt. Every text of the stream contains the word, so
    /// that an answer mixed from two requests is detected.
    std::string word;
    uint32_t prompt_tokens = 0;
    uint32_t cached_tokens = 0;
    uint32_t prefill_left = 0;
    uint32_t max_tokens = 0;
    std::vector<std::string> events;
    bool finished = false;
    bool cancelled = false;
  };

  explicit EngineCore(Options options) : options_(options) {}

  /// Starts a request. A second start with the same id has no effect.
  ///
  /// @return false if the id is known already
  bool Start(const std::string& request_id,
             const std::string& prompt,
             uint32_t max_tokens);
  /// @return the state of the request: "unknown", "finished" or "cancelled"
  std::string Cancel(const std::string& request_id);
  /// Cancels all running requests.
  void CancelAll();
  const Stream* Find(const std::string& request_id) const;
  /// Executes the steps that are due, and records a load report.
  void Advance(TimePoint now);
  static std::string TextOf(const std::string& word, size_t index) {
    return word + std::to_string(index) + " ";
  }
  void set_speed(double factor) { speed_ = factor; }

  /// Returns the load report from `report_lag` ago, as JSON.
  std::string Load(TimePoint now) const;
  /// Returns the cache events after a sequence number, as JSON. Some events are
  /// lost, and the newest ones are delayed.
  std::string CacheEvents(uint64_t after) const;
  /// Adds a model, unless the fence is older than that of an earlier order.
  ///
  /// @return the HTTP status: 202, or 409 if the fence is outdated
  int Order(uint64_t fence, const std::string& model);
  /// Returns the loaded models and the last fence, as JSON.
  std::string State() const;

  /// Called with the prompt of every start.
  std::function<void(const std::string& prompt)> on_start;
  size_t running() const { return running_.size(); }
  uint64_t starts() const { return starts_; }

 private:
  struct CacheEvent {
    uint64_t seq = 0;
    bool stored = true;
    uint64_t prefix_hash = 0;
  };
  struct Report {
    TimePoint at;
    size_t running = 0;
  };

  void Step();
  uint32_t UpdatePrefixCache(const std::string& prompt);
  void EndStream(const std::string& id, Stream& stream);

  Options options_;
  double speed_ = 1;
  std::map<std::string, Stream> streams_;
  std::vector<std::string> running_;
  TimePoint next_step_;
  std::deque<uint64_t> cached_;
  std::set<uint64_t> cached_set_;
  std::vector<CacheEvent> cache_events_;
  std::deque<Report> reports_;
  std::set<std::string> models_;
  uint64_t last_fence_ = 0;
  uint64_t starts_ = 0;
};

}  // namespace lavenderkeel::fakes

#endif  // LAVENDERKEEL_TEST_FAKES_ENGINE_CORE_H_
