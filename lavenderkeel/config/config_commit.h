#ifndef LAVENDERKEEL_CONFIG_CONFIG_COMMIT_H_
#define LAVENDERKEEL_CONFIG_CONFIG_COMMIT_H_

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/config/config_head.h"
#include "lavenderkeel/config/config_shards.h"
#include "lavenderkeel/membership/backoff.h"
#include "lavenderkeel/platform.h"

namespace lavenderkeel {

/// Commit of one operator change, from the read of the head to a definite
/// result.
///
/// Shards are written first; the conditional update of the head is the commit.
class ConfigCommit {
 public:
  struct Result {
    /// kAnswered, kConfigConflict, kConfigNotAccepted, kConfigUnknown,
    /// kConfigInvalid or kUnknownPreset.
    ResultCode code = ResultCode::kConfigNotAccepted;
    std::string message;
    /// The head now in force, as far as known.
    std::optional<ConfigHead> head;
  };
  using Done = std::function<void(const Result&)>;
  /// Computes the next head from the present one; a Failure rejects the change.
  using Change =
      std::function<leaf::result<ConfigHead>(const ConfigHead& present)>;

  struct Options {
    /// Unique id of the change in the head.
    std::string change_id;
    Change change;
    /// Shards that the new head names.
    std::vector<ConfigShard> shards;
    /// Accept the change only if this version is in force.
    std::optional<uint64_t> if_version;
    Duration timeout = std::chrono::seconds(10);
    Backoff::Options retry = {.initial = std::chrono::milliseconds(50),
                              .max = std::chrono::seconds(1)};
  };

  ConfigCommit(Options options,
               const Clock& clock,
               std::mt19937_64& random,
               PlatformPort& port,
               Done done);

  void Start();
  void Tick();
  bool finished() const { return finished_; }
  const std::vector<ConfigShard>& shards() const { return options_.shards; }

 private:
  void ReadHead();
  void OnHead(const PlatformReply& reply);
  void WriteShards();
  void OnShard(size_t index, const PlatformReply& reply);
  void WriteHead();
  void OnHeadWritten(const PlatformReply& reply);
  void Confirm();
  void OnConfirm(const PlatformReply& reply);
  void RetryLater(std::function<void()> step);
  void Finish(ResultCode code, std::string message);
  PlatformPort::Handler GuardedHandler(
      void (ConfigCommit::*step)(const PlatformReply&));

  Options options_;
  const Clock& clock_;
  std::mt19937_64& random_;
  PlatformPort& port_;
  Done done_;
  Backoff backoff_;
  TimePoint deadline_;
  TimePoint retry_at_;
  std::function<void()> pending_retry_;
  std::optional<ConfigHead> current_head_;
  ConfigHead next_head_;
  std::string head_etag_;
  size_t shards_left_ = 0;
  /// A write of the head got no answer: it may still take effect.
  bool in_doubt_ = false;
  /// A write of the head is pending.
  bool head_write_pending_ = false;
  bool finished_ = false;
  /// Expires with this object, so that later replies do not reach it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CONFIG_CONFIG_COMMIT_H_
