#ifndef LAVENDERKEEL_NOTICE_SERVER_NOTICES_H_
#define LAVENDERKEEL_NOTICE_SERVER_NOTICES_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/notice/answer_notices.h"
#include "lavenderkeel/notice/notice_kind.h"

namespace lavenderkeel {

/// Notice of one incarnation of a backend server.
struct ServerNotice {
  /// Start key of the server.
  std::string server;
  NoticeKind kind = NoticeKind::kRateLimit;
  double value = 0;
  /// False once the server has withdrawn the notice.
  bool in_force = true;
  /// When the server last stated or withdrew the notice, by the local clock.
  TimePoint said_at;
  /// The entry that received the answer.
  std::string source;

  /// Returns when the notice ends by itself.
  TimePoint EndsAt() const {
    return RulesOf(kind).value_is_duration ? said_at + FromSeconds(value)
                                           : TimePoint::max();
  }
  bool IsInForce(TimePoint now) const { return in_force && now < EndsAt(); }

  friend bool operator==(const ServerNotice&, const ServerNotice&) = default;
};

/// Notices in force, by server and kind.
class ServerNotices {
 public:
  struct Options {
    /// Name of this entry.
    std::string self;
    /// A notice is kept for this long after its server was last listed, since a
    /// server can be missing from the list during an outage of the store. A
    /// withdrawn notice is kept as long, so that an older report of another
    /// entry does not restore it.
    Duration forget_after = std::chrono::minutes(1);
  };

  ServerNotices(Options options, const Clock& clock, const EventLog& log);

  /// Applies the notices of an answer to a request that was sent at `sent_at`.
  void OnAnswer(const std::string& server,
                const AnswerNotices& answer,
                TimePoint sent_at);
  /// Applies the notices that another entry reports; per server and kind the
  /// latest is valid.
  /// @param pass_on whether this entry reports the changes to further entries
  void OnReports(const std::vector<ServerNotice>& reports, bool pass_on);
  /// Returns the shared notices that changed since the last call, to be
  /// reported to other entries.
  std::vector<ServerNotice> TakeChanges();
  bool has_changes() const { return !changes_.empty(); }
  /// Returns all shared notices, or only those that this entry received from
  /// the servers itself.
  std::vector<ServerNotice> Shared(bool only_own) const;
  /// Forgets the notices of servers that are no longer listed.
  void Tick(const std::function<bool(const std::string& server)>& is_listed);

  /// Returns the notice if it is in force, otherwise null.
  const ServerNotice* Find(const std::string& server, NoticeKind kind) const;
  /// Returns a notice in force by which the server gets no requests of this
  /// entry, otherwise null.
  const ServerNotice* FindBlocking(const std::string& server) const;
  /// Returns whether the server gets no requests of any entry.
  bool BlocksAllEntries(const std::string& server) const;
  size_t size() const { return notices_.size(); }

 private:
  using Key = std::pair<std::string, NoticeKind>;
  struct Record {
    ServerNotice notice;
    TimePoint last_listed;
  };

  /// Sets a notice that this entry received and reports a change to others.
  void Observe(const ServerNotice& notice);
  /// @return whether the notice differs from the former one
  bool Set(const ServerNotice& notice);
  void LogUnreadable(const std::string& server,
                     const AnswerNotices::Unreadable& unreadable);

  Options options_;
  const Clock& clock_;
  const EventLog& log_;
  std::map<Key, Record> notices_;
  /// Shared notices that other entries have not been told of.
  std::set<Key> changes_;
  /// Last unreadable text, so that a server that repeats it is logged once.
  std::map<Key, std::string> unreadable_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_NOTICE_SERVER_NOTICES_H_
