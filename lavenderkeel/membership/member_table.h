#ifndef LAVENDERKEEL_MEMBERSHIP_MEMBER_TABLE_H_
#define LAVENDERKEEL_MEMBERSHIP_MEMBER_TABLE_H_

#include <sigc++/sigc++.h>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lavenderkeel/action.h"
#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/membership/backoff.h"
#include "lavenderkeel/membership/instance_info.h"

namespace lavenderkeel {

/// What this process knows of another one.
struct Member {
  InstanceInfo info;
  /// The connection that this process opened and sends its requests on.
  std::optional<LinkId> outbound;
  /// The connection that the peer opened.
  std::optional<LinkId> inbound;
  /// When the outbound link went down; empty while it is up.
  std::optional<TimePoint> disconnected_since;
  /// Set once the outbound link was down for longer than the heartbeat timeout.
  bool lost = false;
  /// The outbound link has been up.
  bool was_connected = false;
  uint64_t config_version = 0;
  /// Set by the first heartbeat, before which nothing is known of the peer.
  bool has_heartbeat = false;
  Heartbeat load;

  bool live() const { return outbound.has_value() && has_heartbeat && !lost; }
};

/// Table of the other processes: keeps the connections to them and detects
/// which are lost.
///
/// The instance list of the platform lags, so it only gives hints which
/// instances to dial; liveness is decided by heartbeats on direct connections.
class MemberTable {
 public:
  struct Options {
    Duration heartbeat_period = std::chrono::milliseconds(500);
    /// Between two entries, each of which knows a whole region.
    Duration entry_heartbeat_period = std::chrono::milliseconds(950);
    Duration heartbeat_timeout = std::chrono::seconds(2);
    Backoff::Options dial;
    /// Agents that an entry keeps a connection to.
    size_t agents_per_entry = 64;
    /// Entries of each other region that an entry keeps a connection to. In its
    /// own region it connects to all entries, for the claims.
    size_t entries_per_other_region = 2;
    /// How long an instance that was lost or never connected is remembered.
    Duration forget_after = std::chrono::minutes(15);
  };

  using MakeHeartbeat = std::function<Heartbeat()>;

  MemberTable(Options options,
              InstanceInfo self,
              const Clock& clock,
              std::mt19937_64& random,
              Outbox& outbox,
              MakeHeartbeat make_heartbeat);

  /// Handles a connection whose handshake is complete.
  /// @param dialed the address this process dialled; empty for an inbound link
  /// @return false if the link was refused and is being closed
  bool OnLinkUp(LinkId link,
                const InstanceInfo& peer,
                const std::string& dialed);
  void OnLinkDown(LinkId link);
  void OnDialFailed(const std::string& address);
  /// Restarts the link's timeout; called for any message.
  void OnMessageReceived(LinkId link);
  void OnHeartbeat(LinkId link, const Heartbeat& heartbeat);
  void OnInstanceList(const std::vector<InstanceInfo>& instances);
  void AddSeed(const std::string& address);
  /// Sets the entries of this region to connect to, by instance; without a set,
  /// all. Existing connections stay.
  void set_wanted_entries(std::optional<std::set<std::string>> wanted) {
    wanted_entries_ = std::move(wanted);
  }

  /// Sends due heartbeats, drops unresponsive links, dials, and detects lost
  /// peers.
  void Tick();
  /// Restarts the timeouts of all peers that are not lost, after this process
  /// was frozen: the missing messages are due to its own pause.
  void ResetSilenceTimers();
  /// Adds an agent outside the subset of this entry to the agents to dial.
  void AddWantedAgent(const std::string& instance) {
    extra_wanted_agents_.insert(instance);
  }
  /// Returns true if each known entry of this region is connected in both
  /// directions or has been unreachable for long: then all entries that can
  /// connect to each other know each other.
  bool HasConnectedToAllEntries() const;
  /// Sends over the connections that this process opened.
  void SendToAll(Role role, const Message& message);
  /// Sends a heartbeat to every peer at once, so that none waits for the
  /// instance list.
  void AnnounceNow();

  const Member* Find(const std::string& instance) const;
  /// Finds exactly this incarnation.
  const Member* Find(const PeerId& peer) const;
  const Member* FindByLink(LinkId link) const;
  /// Returns the outbound link to exactly this incarnation, if it is up.
  std::optional<LinkId> LinkTo(const PeerId& peer) const;
  /// Returns the same, or the link that the peer opened if the outbound one is
  /// down.
  std::optional<LinkId> AnyLinkTo(const PeerId& peer) const;
  std::vector<const Member*> Members(Role role) const;
  const InstanceInfo& self() const { return self_; }
  void set_address(const std::string& address) { self_.address = address; }
  void set_leaving() { self_.leaving = true; }
  /// Sets what handshakes announce from now on; see InstanceInfo.
  void set_no_claims(bool no_claims) { self_.no_claims = no_claims; }

  /// Emitted when an outbound link is up, for the first time or again.
  sigc::signal<void(const Member&)>& signal_up() { return signal_up_; }
  /// Emitted when a link is dropped, by whichever side; FindByLink still finds
  /// its member.
  sigc::signal<void(LinkId)>& signal_link_dropped() {
    return signal_link_dropped_;
  }
  /// Emitted when an incarnation is lost: without contact past the timeout, or
  /// replaced.
  sigc::signal<void(const PeerId&, Role)>& signal_lost() {
    return signal_lost_;
  }
  /// Emitted when a known entry of this region did not connect within the time
  /// in which reachable ones do: it has ended, or is on the other side of a
  /// partition.
  sigc::signal<void(const PeerId&)>& signal_never_connected() {
    return signal_never_connected_;
  }
  /// Emitted when an incarnation announces that it is leaving.
  sigc::signal<void(const PeerId&, Role)>& signal_leaving() {
    return signal_leaving_;
  }

 private:
  struct Link {
    std::string instance;
    bool outbound = false;
    TimePoint last_received;
    TimePoint last_sent;
  };
  struct DialTarget {
    Backoff backoff;
    TimePoint next_dial_at;
    bool dialing = false;
    bool seed = false;
    /// When the address became known.
    TimePoint known_since;
    std::string instance;
    uint64_t incarnation = 0;
    bool reported_never_connected = false;
    /// From the instance list; the role of a seed is learnt in its handshake.
    std::optional<Role> role;
    std::string data_centre;
    std::string region;
  };

  Member& AddOrReplaceMember(const InstanceInfo& peer);
  void Close(LinkId link);
  void DropLink(LinkId link);
  void UpdateDialTarget(const InstanceInfo& info);
  void DialDueTargets(TimePoint now);
  void DetectLost(TimePoint now);
  void DetectNeverConnected(TimePoint now);
  /// Returns true if an entry would have connected by now if it were running
  /// and reachable.
  bool HadTimeToConnect(const DialTarget& target, TimePoint now) const {
    return now - target.known_since > 2 * options_.heartbeat_timeout;
  }
  void ForgetUnconnectedMembers(TimePoint now);
  Duration HeartbeatPeriodFor(const Link& state) const;
  void SendHeartbeat(LinkId link, Link& state, const Heartbeat& heartbeat);
  std::set<std::string> WantedAgents() const;
  std::set<std::string> WantedEntries() const;
  bool IsWantedEntry(const std::string& instance) const {
    return !wanted_entries_.has_value() || wanted_entries_->contains(instance);
  }
  bool ShouldDial(const DialTarget& target,
                  const std::set<std::string>& wanted) const;

  Options options_;
  InstanceInfo self_;
  const Clock& clock_;
  std::mt19937_64& random_;
  Outbox& outbox_;
  MakeHeartbeat make_heartbeat_;
  std::map<std::string, Member> members_;
  std::unordered_map<LinkId, Link> links_;
  std::map<std::string, DialTarget> targets_;
  std::set<std::string> extra_wanted_agents_;
  std::optional<std::set<std::string>> wanted_entries_;
  sigc::signal<void(const Member&)> signal_up_;
  sigc::signal<void(LinkId)> signal_link_dropped_;
  sigc::signal<void(const PeerId&, Role)> signal_lost_;
  sigc::signal<void(const PeerId&)> signal_never_connected_;
  sigc::signal<void(const PeerId&, Role)> signal_leaving_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_MEMBER_TABLE_H_
