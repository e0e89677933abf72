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

/// What this process knows of one other.
struct Member {
  InstanceInfo info;
  /// The connection that this process opened and sends its requests on.
  std::optional<LinkId> outbound;
  /// The connection that the other opened.
  std::optional<LinkId> inbound;
  /// When the outbound link went away; empty while it is up.
  std::optional<TimePoint> silent_since;
  /// Set once silence passed the heartbeat timeout.
  bool lost = false;
  /// The outbound link has been up.
  bool met = false;
  uint64_t config_version = 0;
  /// Nothing is known of it before its first heartbeat.
  bool heard = false;
  Heartbeat load;

  bool live() const { return outbound.has_value() && heard && !lost; }
};

/// Keeps the connections to the other processes and judges who lives.
///
/// The platform's instance list lags, so it only says whom to dial; liveness
/// is what heartbeats on our own connections say.
class MemberTable {
 public:
  struct Options {
    Duration heartbeat_period = std::chrono::milliseconds(500);
    /// Between two entries, of which each knows a whole region.
    Duration entry_heartbeat_period = std::chrono::milliseconds(950);
    Duration heartbeat_timeout = std::chrono::seconds(2);
    Backoff::Options dial;
    /// Agents that an entry keeps a connection to.
    size_t agents_per_entry = 64;
    /// Entries of each other region that an entry keeps a connection to; to
    /// those of its own region it connects throughout, for the claims.
    size_t entries_per_other_region = 2;
    /// How long an instance that is gone is remembered.
    Duration forget_after = std::chrono::minutes(15);
  };

  using MakeHeartbeat = std::function<Heartbeat()>;

  MemberTable(Options options,
              InstanceInfo self,
              const Clock& clock,
              std::mt19937_64& random,
              Outbox& outbox,
              MakeHeartbeat make_heartbeat);

  /// A connection whose greetings are exchanged.
  /// @param dialed the address this process dialled; empty for an inbound link
  /// @return false if the link was refused and is being closed
  bool OnLinkUp(LinkId link,
                const InstanceInfo& peer,
                const std::string& dialed);
  void OnLinkDown(LinkId link);
  void OnDialFailed(const std::string& address);
  /// Any message: the link is alive.
  void OnHeard(LinkId link);
  void OnHeartbeat(LinkId link, const Heartbeat& heartbeat);
  void OnInstanceList(const std::vector<InstanceInfo>& instances);
  void AddSeed(const std::string& address);
  /// Entries of this region to connect to, by instance; without a set, all.
  /// Connections that are there already stay.
  void set_wanted_entries(std::optional<std::set<std::string>> wanted) {
    wanted_entries_ = std::move(wanted);
  }

  /// Sends due heartbeats, drops silent links, dials, judges the lost.
  void Tick();
  /// After this process was frozen: nobody is silent because we slept.
  void ForgiveSilence();
  /// Wants a link to an agent outside this entry's subset as well.
  void AlsoWant(const std::string& instance) { also_wanted_.insert(instance); }
  /// True if we have dialled each entry of this region that is known of and it
  /// has dialled us, or it has not been reachable for long: then all that can
  /// be met count each other.
  bool MetWithAllEntries() const;
  /// Over the connections that this process opened.
  void SendToAll(Role role, const Message& message);
  /// Tells every peer at once, so that none waits for the instance list.
  void AnnounceNow();

  const Member* Find(const std::string& instance) const;
  /// Exactly this incarnation.
  const Member* Find(const PeerId& peer) const;
  const Member* FindByLink(LinkId link) const;
  /// The outbound link to exactly this incarnation, if it is up.
  std::optional<LinkId> LinkTo(const PeerId& peer) const;
  /// The same, or the link that the peer opened if that one is not up.
  std::optional<LinkId> AnyLinkTo(const PeerId& peer) const;
  std::vector<const Member*> Members(Role role) const;
  const InstanceInfo& self() const { return self_; }
  void set_address(const std::string& address) { self_.address = address; }
  void set_leaving() { self_.leaving = true; }
  /// What greetings say from now on; see InstanceInfo.
  void set_no_claims(bool no_claims) { self_.no_claims = no_claims; }

  /// Outbound link up, new or again.
  sigc::signal<void(const Member&)>& signal_up() { return signal_up_; }
  /// A link is going away, whoever dropped it; FindByLink still knows it.
  sigc::signal<void(LinkId)>& signal_link_dropped() {
    return signal_link_dropped_;
  }
  /// An incarnation is gone: silent past the timeout, or replaced.
  sigc::signal<void(const PeerId&, Role)>& signal_lost() {
    return signal_lost_;
  }
  /// An entry of this region that is told of was never met in all the time in
  /// which others are met: it is gone, or on the other side of a cut.
  sigc::signal<void(const PeerId&)>& signal_unmet() { return signal_unmet_; }
  /// An incarnation said that it is leaving.
  sigc::signal<void(const PeerId&, Role)>& signal_leaving() {
    return signal_leaving_;
  }

 private:
  struct Link {
    std::string instance;
    bool outbound = false;
    TimePoint last_heard;
    TimePoint last_sent;
  };
  struct DialTarget {
    Backoff backoff;
    TimePoint next;
    bool dialing = false;
    bool seed = false;
    /// When the address was first heard of.
    TimePoint since;
    std::string instance;
    uint64_t incarnation = 0;
    /// It was told of by signal_unmet.
    bool unmet = false;
    /// From the instance list; a seed's role is learnt from its greeting.
    std::optional<Role> role;
    std::string data_centre;
    std::string region;
  };

  Member& Admit(const InstanceInfo& peer);
  void Close(LinkId link);
  void DropLink(LinkId link);
  void Target(const InstanceInfo& info);
  void DialDue(TimePoint now);
  void JudgeSilent(TimePoint now);
  void JudgeUnmet(TimePoint now);
  /// An entry that has been told of for so long has been reached if it lives.
  bool HadTimeToMeet(const DialTarget& target, TimePoint now) const {
    return now - target.since > 2 * options_.heartbeat_timeout;
  }
  void ForgetGone(TimePoint now);
  Duration PeriodOf(const Link& state) const;
  void SendHeartbeat(LinkId link, Link& state, const Heartbeat& heartbeat);
  std::set<std::string> WantedAgents() const;
  std::set<std::string> WantedEntries() const;
  bool WantsEntry(const std::string& instance) const {
    return !wanted_entries_.has_value() || wanted_entries_->contains(instance);
  }
  bool Wants(const DialTarget& target,
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
  std::set<std::string> also_wanted_;
  std::optional<std::set<std::string>> wanted_entries_;
  sigc::signal<void(const Member&)> signal_up_;
  sigc::signal<void(LinkId)> signal_link_dropped_;
  sigc::signal<void(const PeerId&, Role)> signal_lost_;
  sigc::signal<void(const PeerId&)> signal_unmet_;
  sigc::signal<void(const PeerId&, Role)> signal_leaving_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_MEMBER_TABLE_H_
