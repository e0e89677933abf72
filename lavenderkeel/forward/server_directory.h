#ifndef LAVENDERKEEL_FORWARD_SERVER_DIRECTORY_H_
#define LAVENDERKEEL_FORWARD_SERVER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// One incarnation of a backend server, as in the instance list.
struct BackendServer {
  /// Id under which the server is listed and called; a restarted server may
  /// reuse it.
  std::string id;
  /// Start time of this incarnation, in milliseconds of calendar time; zero if
  /// the server does not state it.
  uint64_t start_time_ms = 0;
  std::string service;
  std::string address;
  std::string data_centre;
  /// Software version.
  std::string version = {};
  /// Number of requests that the server processes at once.
  int slots = 1;
  bool draining = false;

  /// Key of the incarnation.
  ///
  /// A server may restart under its id. Measurements, grants, counts and
  /// connections of the former incarnation must not be attributed to the new
  /// one, so all state of a server is kept under this key and dropped with the
  /// incarnation.
  std::string start_key() const {
    return start_time_ms == 0 ? id : id + "#" + std::to_string(start_time_ms);
  }

  friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

/// Usable backend servers, from an instance list that has outages.
///
/// During an outage of the list's store the entries of live servers expire.
/// When the store returns, all servers are missing for a moment, and every
/// request would be refused. Live servers are listed again within about two
/// seconds, so a server that is missing after an outage is kept for that long.
class ServerDirectory {
 public:
  struct Options {
    /// Time after an outage in which a missing server may be listed again. The
    /// platform guarantees about two seconds; a server that has left accepts
    /// requests for at least as long.
    Duration relist_timeout = std::chrono::milliseconds(1900);
  };

  ServerDirectory() = default;
  explicit ServerDirectory(Options options) : options_(options) {}

  /// Applies the complete list. Servers missing from it are removed, after an
  /// outage only once `relist_timeout` is over.
  void ApplyList(const std::vector<BackendServer>& servers, TimePoint now);
  void Apply(const BackendServer& server);
  void Remove(const std::string& id, TimePoint now);
  /// Removes a server at once, also after an outage: its object is there, but
  /// names no server.
  void Discard(const std::string& id);
  /// Handles an outage of the list; its last state stays in force.
  void OnOutage();
  /// Handles the end of an outage.
  void OnRecovery(TimePoint now);
  /// Drops servers that were not listed again in time.
  void Tick(TimePoint now);

  /// @return the server if that incarnation of it is listed, otherwise null
  const BackendServer* Find(const std::string& start_key) const;
  /// Returns the servers that may get requests: listed and not draining, or
  /// expired together with most others.
  std::vector<const BackendServer*> Usable(const std::string& service) const;
  /// Returns a number that changes whenever the result of Usable may change.
  uint64_t generation() const { return generation_; }
  /// Returns whether the server was missing after an outage and is not listed
  /// again yet.
  bool IsUnconfirmed(const std::string& start_key) const;

 private:
  struct KnownServer {
    BackendServer server;
    /// Time at which the server is dropped unless it is listed again.
    std::optional<TimePoint> drop_at;
  };

  bool IsAfterOutage(TimePoint now) const {
    return outage_ || (outage_end_.has_value() &&
                       now - *outage_end_ < options_.relist_timeout);
  }

  Options options_;
  using KnownServers = std::map<std::string, KnownServer>;

  KnownServers::iterator FindById(const std::string& id);

  /// By start key; at most one incarnation of each id.
  KnownServers servers_;
  uint64_t generation_ = 1;
  bool outage_ = false;
  std::optional<TimePoint> outage_end_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SERVER_DIRECTORY_H_
