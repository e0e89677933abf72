#ifndef LAVENDERKEEL_FORWARD_ENTRY_EXCHANGE_H_
#define LAVENDERKEEL_FORWARD_ENTRY_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lavenderkeel/action.h"
#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/crash/crash_guard.h"
#include "lavenderkeel/forward/entry_directory.h"
#include "lavenderkeel/forward/forward_controller.h"
#include "lavenderkeel/forward/lost_entries.h"
#include "lavenderkeel/forward/registry_exchange.h"
#include "lavenderkeel/forward/rollout_exchange.h"
#include "lavenderkeel/forward/server_log.h"
#include "lavenderkeel/forward/slot_router.h"
#include "lavenderkeel/forward/slot_scheduler.h"
#include "lavenderkeel/forward/usage_relay.h"
#include "lavenderkeel/membership/member_table.h"
#include "lavenderkeel/notice/server_notices.h"

namespace lavenderkeel {

/// Exchange of state between entries, and choice of the entries to connect to.
///
/// Every entry reports to the coordinators, and they report to every entry. Two
/// entries of which neither is a coordinator have nothing to exchange and keep
/// no connection. A lost coordinator is replaced by the next in the order that
/// all entries share.
class EntryExchange {
 public:
  struct Options {
    /// Report period. Other entries place requests by reports up to this old; a
    /// request lasts some 300 ms.
    Duration status_period = std::chrono::milliseconds(100);
    /// One of this many reports contains the rate usage of all teams, the
    /// others only what changed.
    int full_status_every = 10;
    /// Teams and ranks whose demand one report relays; further ones follow in
    /// the next reports.
    size_t max_relayed_demand = 64;
    /// Period in which an entry sends its complete list of entries, to one
    /// other entry at a time.
    Duration list_period = std::chrono::milliseconds(100);
    /// A coordinator without a report for this time counts as down.
    Duration coordinator_timeout = std::chrono::milliseconds(400);
    /// An entry that lacks the latest change for this time takes the list of
    /// servers from a coordinator that has this change instead of its usual
    /// one.
    Duration max_feed_lag = std::chrono::milliseconds(300);
    /// A list that was sent over a connection that is still open is sent again
    /// if the receiver has not confirmed it within this time. A list of 3,000
    /// servers takes a second on the slowest link.
    Duration feed_resend_after = std::chrono::seconds(5);
    /// Entries that are cut from each other share the rates once their last
    /// reports are older than this, long before they count as lost: until then
    /// each side uses the whole.
    Duration max_usage_age = std::chrono::milliseconds(300);
    /// If no coordinator has had an answer from the store for longer than this,
    /// every entry reads the store itself: the store may reject only the
    /// coordinators.
    Duration store_fallback_after = std::chrono::seconds(3);
    EntryDirectory::Options entry_directory;
  };

  /// Further state of this entry for its status.
  struct OwnState {
    uint64_t server_change = 0;
    bool store_lost = false;
    uint64_t rollout_change = 0;
  };

  /// Numbers of entries; all include this entry.
  struct Counts {
    size_t known = 1;
    /// Those that report to this entry.
    size_t reporting = 1;
    /// Those whose last report is so recent that their use of the teams' rates
    /// is known.
    size_t current = 1;
    /// Those that may use what all entries share, known or not.
    size_t sharing = 1;

    friend bool operator==(const Counts&, const Counts&) = default;
  };

  EntryExchange(const Options& options,
                MemberTable& members,
                Outbox& outbox,
                ForwardController& controller,
                SlotScheduler& slot_scheduler,
                SlotRouter& slot_router,
                const ServerLog& servers,
                CrashGuard& crashes,
                RolloutExchange& rollouts,
                RegistryExchange& registry,
                const LostEntries& lost_entries,
                ServerNotices& notices,
                const Clock& clock);

  void OnLinkUp(LinkId link, const InstanceInfo& peer);
  /// Handles a new connection that this entry opened to the member.
  void OnPeerUp(const Member& member);
  void OnPeerLost(const PeerId& peer);
  void OnPeerLeaving(const PeerId& peer);
  void OnStatus(const Member& member, const ForwardStatus& status);
  void OnKnownEntries(const KnownEntries& known);
  void OnCrashNews(const Member& member, const CrashNews& news);
  /// Sends a status with the next tick, after a change.
  void SendStatusSoon() { status_due_ = {}; }
  void Tick(const OwnState& own_state);

  /// Returns whether a coordinator sends this entry the changes of the list of
  /// servers and of the configuration, so that the entry need not read the
  /// store.
  bool is_fed() const { return feed_source_.has_value() && !all_lost_store_; }
  /// Returns the feed source if it has this or a later version of the
  /// configuration.
  std::optional<PeerId> FeedSourceWithConfig(uint64_t version) const;
  /// Returns whether the feed source gets no answers from the store.
  bool feed_source_lost_store() const;

  Counts Count() const;
  const EntryDirectory& entry_directory() const { return entry_directory_; }

 private:
  /// Counts by the connections of this entry, a coordinator.
  Counts CountMembers() const;

  struct CoordinatorStatus {
    Counts counts;
    uint64_t server_change = 0;
    uint64_t table_version = 0;
    bool store_lost = false;
    std::string data_centre;
    TimePoint at;
  };

  /// An entry that takes the list of servers from this one.
  struct FeedReceiver {
    /// The latest change reported by it or sent to it.
    uint64_t last_change = 0;
    LinkId link = 0;
    TimePoint sent_at;
  };

  bool IsUp(const PeerId& coordinator) const;
  /// Returns null without a feed source.
  const CoordinatorStatus* FeedSourceStatus() const;
  /// Returns whether this entry is the coordinator that relays the rate usage
  /// of the given entry.
  bool RelaysUsageOf(const std::string& instance) const;
  void ChooseFeedSource(const OwnState& own_state);
  void UpdateFeedReceiver(const PeerId& peer, uint64_t reported_change);
  void SendFeed(const PeerId& peer, FeedReceiver& receiver);
  void SendFeeds();
  void SendStatus(const OwnState& own_state);
  /// Returns the demand that changed at the entries that this one relays for,
  /// without that of the receiver.
  DemandTotals RelayedDemandFor(
      const PeerId& entry,
      const std::vector<std::pair<uint64_t, int>>& changes) const;
  /// Returns the notices of servers for the next status.
  /// @param all whether to include those that did not change
  std::vector<ServerNotice> NoticesToReport(bool all);
  void SendNewEntries();
  void SendCompleteList();
  /// Sends the crash reports that this entry has to pass on.
  void SendCrashReports();
  void SendList(LinkId link,
                const std::string& to,
                const std::vector<InstanceInfo>& entries,
                bool complete);
  /// Updates the entries to connect to and the scheduler hosts, which follow
  /// from the known entries.
  void OnEntryDirectoryChange();

  Options options_;
  MemberTable& members_;
  Outbox& outbox_;
  ForwardController& controller_;
  SlotScheduler& slot_scheduler_;
  SlotRouter& slot_router_;
  const ServerLog& servers_;
  CrashGuard& crashes_;
  RolloutExchange& rollouts_;
  RegistryExchange& registry_;
  const LostEntries& lost_entries_;
  ServerNotices& notices_;
  const Clock& clock_;
  EntryDirectory entry_directory_;
  UsageRelay relay_;
  DemandRelay demand_relay_;
  /// Times of the last reports.
  std::map<PeerId, TimePoint> reported_at_;
  std::map<PeerId, CoordinatorStatus> coordinator_status_;
  /// The coordinator that the list of servers comes from; none if this entry
  /// coordinates or receives no status of a coordinator.
  std::optional<PeerId> feed_source_;
  std::optional<TimePoint> lagging_since_;
  std::optional<TimePoint> store_lost_since_;
  bool all_lost_store_ = false;
  std::map<PeerId, FeedReceiver> feed_receivers_;
  std::map<uint64_t, double> last_sent_totals_;
  TimePoint status_due_;
  TimePoint list_due_;
  int status_round_ = 0;
  std::string last_list_receiver_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_ENTRY_EXCHANGE_H_
