#ifndef LAVENDERKEEL_CONFIG_CONFIG_DISTRIBUTOR_H_
#define LAVENDERKEEL_CONFIG_CONFIG_DISTRIBUTOR_H_

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/config/config_store.h"
#include "lavenderkeel/membership/member_table.h"
#include "lavenderkeel/platform.h"

namespace lavenderkeel {

/// Distributor of the configuration: obtains the newest accepted version for
/// this entry and passes it on to others.
///
/// There are three ways: the entry that accepts a change pushes the head, each
/// heartbeat carries the version so that entries with an older one pull, and a
/// few entries per data centre watch the platform. The first two work without
/// the platform.
class ConfigDistributor {
 public:
  struct Options {
    /// Entries of a data centre that watch the platform; each waiting watch
    /// counts as a call on the platform.
    size_t watchers_per_data_centre = 2;
    std::chrono::milliseconds watch_wait = std::chrono::seconds(20);
    /// Interval at which the head is read without a watch.
    Duration poll_period = std::chrono::seconds(60);
    Duration retry_period = std::chrono::seconds(1);
    /// How long a peer may take to send shards before they are read from the
    /// platform.
    Duration pull_timeout = std::chrono::milliseconds(500);
  };

  ConfigDistributor(Options options,
                    ConfigStore& store,
                    const MemberTable& members,
                    const Clock& clock,
                    std::mt19937_64& random,
                    PlatformPort& port,
                    Outbox& outbox);

  /// Reads the head from the platform at once.
  void Start();
  void Tick();

  void OnHead(LinkId link, const ConfigHeadNotice& notice);
  void OnPull(LinkId link, const ConfigPull& pull);
  void OnShards(const ConfigShards& shards);
  /// Handles the version in a heartbeat on a link that this entry opened.
  void OnPeerVersion(LinkId link, uint64_t version);

  /// Sends a head to every linked entry; called at the entry that accepted it.
  void PushHead(const ConfigHead& head);

 private:
  bool IsWatcher() const;
  void ReadPlatform();
  void OnPlatformHead(const PlatformReply& reply);
  void OfferFrom(std::optional<LinkId> link, const ConfigHead& head);
  void FetchMissingShards();
  void FetchFromPlatform();

  Options options_;
  ConfigStore& store_;
  const MemberTable& members_;
  const Clock& clock_;
  std::mt19937_64& random_;
  PlatformPort& port_;
  Outbox& outbox_;
  std::string head_etag_;
  bool reading_ = false;
  TimePoint next_read_;
  std::optional<LinkId> source_;
  std::optional<TimePoint> fetch_deadline_;
  std::set<std::string> fetching_;
  TimePoint next_pull_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CONFIG_CONFIG_DISTRIBUTOR_H_
