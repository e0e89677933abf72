#ifndef LAVENDERKEEL_FORWARD_FORWARD_NODE_H_
#define LAVENDERKEEL_FORWARD_FORWARD_NODE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/action.h"
#include "lavenderkeel/base.h"
#include "lavenderkeel/forward/crash_archive_exchange.h"
#include "lavenderkeel/forward/entry_exchange.h"
#include "lavenderkeel/forward/forward_controller.h"
#include "lavenderkeel/forward/lost_entries.h"
#include "lavenderkeel/forward/registry_exchange.h"
#include "lavenderkeel/forward/retry_lending.h"
#include "lavenderkeel/membership.h"
#include "lavenderkeel/watch.h"

namespace lavenderkeel {

/// Access to the configuration and the list of servers, and their decoding.
/// Filled in by an adapter for one platform.
struct ForwardSource {
  std::string config_kind;
  /// The object with the configuration.
  std::string config_object;
  std::string server_kind;
  std::function<leaf::result<RouteTableContent>(const std::string& content)>
      decode_table;
  std::function<leaf::result<BackendServer>(const StoredObject&)> decode_server;
  /// Kind of the rollout orders of operators; empty: none.
  std::string rollout_kind = {};
  std::function<leaf::result<RolloutOrder>(const StoredObject&)>
      decode_rollout = {};
  RolloutController::Write write_rollout = {};
  RegistryExchange::Source registry;
  CrashArchiveExchange::Source crash_archive = {};
  /// Starts a read; `done` is called once, after the function returns.
  std::function<void(const ObjectRead&,
                     std::function<void(const ObjectReadResult&)> done)>
      read;
};

/// A forwarding entry without its sockets: the request controller, the watches
/// on the store of the platform, and the links to the other entries.
class ForwardNode {
 public:
  struct Options {
    ForwardController::Options controller;
    CrashGuard::Options crashes;
    Placement::Options placement;
    SlotRouter::Options slots;
    /// Whether teams of equal rank share the slots by weight.
    bool fair_shares = false;
    ExposureBounds exposure;
    ServerNotices::Options notices;
    MemberTable::Options members = {
        .dial = {.max = std::chrono::seconds(1)},
        // Until a lost entry is forgotten, its rate share and report count.
        .forget_after = std::chrono::seconds(10)};
    /// The wait of these options applies while few other entries watch the
    /// store.
    ObjectWatch::Options watch;
    RegistryExchange::Options registry;
    CrashArchiveExchange::Options crash_archive;
    /// If more entries than this watch the store, their wait grows, so that
    /// together they renew their watches no more often.
    size_t entries_at_base_wait = 4;
    /// Below the shortest change history that a store keeps.
    Duration max_watch_wait = std::chrono::seconds(12);
    std::vector<std::string> seeds;
    EntryExchange::Options exchange;
    /// A newer configuration of another entry is requested from it if the store
    /// has not sent it within this time.
    Duration config_pull_delay = std::chrono::milliseconds(150);
  };

  ForwardNode(Options options,
              InstanceInfo self,
              ForwardSource source,
              ForwardCodec codec,
              ForwardPort& port,
              const Clock& clock,
              uint64_t random_seed,
              const EventLog& log,
              Metrics& metrics);

  void Start();
  void Tick();
  /// Handles a suspension of the process, after which its state may be out of
  /// date.
  void OnFreeze();
  /// Handles a suspension of the machine, during which the clock stopped.
  void OnSuspended();
  /// Makes the entry not ready; accepted requests are finished.
  void Leave();

  bool OnLinkUp(LinkId link,
                const InstanceInfo& peer,
                const std::string& dialed);
  void OnLinkDown(LinkId link);
  void OnDialFailed(const std::string& address);
  void OnMessage(LinkId link, Message message);

  /// Returns whether new requests can be served here.
  bool ready() const;
  bool leaving() const { return leaving_; }
  ForwardController& controller() { return controller_; }
  MemberTable& members() { return members_; }
  const EntryExchange& exchange() const { return exchange_; }
  const RegistryExchange& registry() const { return registry_; }
  const ServerDirectory& directory() const { return directory_; }
  const CrashGuard& crashes() const { return crashes_; }
  Outbox& outbox() { return outbox_; }
  uint64_t store_calls() const {
    return config_watch_.calls() + server_watch_.calls() +
           rollout_watch_.calls() + registry_.store_calls() +
           crash_archive_.store_calls();
  }

 private:
  ObjectWatch::Hooks ConfigHooks();
  ObjectWatch::Hooks ServerHooks();
  ObjectWatch::Hooks RolloutHooks();
  std::optional<RolloutOrder> ReadRollout(const StoredObject& object);
  void StepRollouts();
  void Read(ObjectWatch& watch, uint64_t call, const ObjectRead& read);
  void OnConfig(const std::string& content, const char* from);
  /// Returns nothing and logs a warning if the object cannot be decoded.
  std::optional<BackendServer> ReadServer(const StoredObject& object);
  void CountUnreadable(const std::string& kind, size_t objects = 1);
  void OnServer(const StoredObject& object);
  void OnServerList(const std::vector<StoredObject>& objects);
  void OnServerFeed(const ServerFeed& feed);
  /// Pauses the watches on the store whose objects a coordinator sends.
  void UpdateStoreReads();

  void DeliverSlotRequest(const std::string& scheduler,
                          const SlotRequest& slot_request);
  void DeliverSlotResult(const std::string& scheduler,
                         AttemptId attempt,
                         const SlotResult& result);
  void DeliverGrant(const std::string& requester, const SlotGrant& grant);
  /// Accepts a slot for this entry, or returns it if it is no longer wanted.
  void AcceptGrant(const std::string& scheduler, const SlotGrant& grant);
  void OnStatus(const Member& member, const ForwardStatus& status);
  void OnWantSlot(const Member& member, const WantSlot& want);
  void OnHaveSlot(const Member& member, const HaveSlot& have);
  std::optional<LinkId> LinkTo(const std::string& entry) const;
  void OnConfigPull(LinkId link);
  void PullNewerConfig();
  void UpdatePeerCounts();
  /// Counts registered entries that are not connected as lost.
  void CountRegisteredEntries();
  /// @param watchers entries that watch the store, with this one
  void SetWatchWait(size_t watchers);
  void RecordStoreLost(const PeerId& peer, bool lost);
  void ConfirmWatches();

  Options options_;
  ForwardSource source_;
  const Clock& clock_;
  const EventLog& log_;
  Metrics& metrics_;
  std::mt19937_64 random_;
  Outbox outbox_;
  MemberTable members_;
  /// The name of this entry as a slot scheduler: its instance and incarnation.
  std::string self_name_;
  ServerDirectory directory_;
  ServerLog server_log_;
  ServerNotices notices_;
  ShareLog share_log_;
  SlotScheduler slot_scheduler_;
  SlotRouter slot_router_;
  CrashGuard crashes_;
  CrashArchiveExchange crash_archive_;
  VersionSelector version_selector_;
  RolloutController rollouts_;
  RolloutExchange rollout_exchange_;
  RegistryExchange registry_;
  ForwardController controller_;
  RetryLending retry_lending_;
  LostEntries lost_entries_;
  uint64_t counted_registry_change_ = 0;
  EntryExchange exchange_;
  ObjectWatch config_watch_;
  ObjectWatch server_watch_;
  /// Not started if there are no rollouts.
  ObjectWatch rollout_watch_;
  FreezeDetector freeze_detector_;
  /// The text of the configuration in force, sent to entries that lack it.
  std::string config_content_;
  bool servers_listed_ = false;
  bool is_fed_ = false;
  bool feed_source_lost_store_ = false;
  /// Whether reports reach all registered entries.
  bool reaches_all_ = true;
  bool leaving_ = false;
  /// A peer with a newer configuration, and since when it is known.
  std::optional<PeerId> newer_config_peer_;
  uint64_t newer_config_version_ = 0;
  TimePoint newer_config_since_;
  /// Peers that report that the store does not answer them.
  std::set<PeerId> peers_without_store_;
  /// Highest number of watching entries, this one included, since the watches
  /// were last confirmed after the loss of half of these entries.
  size_t watchers_when_confirmed_ = 1;
  /// Peers by instance and incarnation.
  std::map<std::string, PeerId> peers_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_FORWARD_NODE_H_
