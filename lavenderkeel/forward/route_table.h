#ifndef LAVENDERKEEL_FORWARD_ROUTE_TABLE_H_
#define LAVENDERKEEL_FORWARD_ROUTE_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// A service that receives a share of the requests of a route.
struct WeightedService {
  std::string service;
  double weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// Requests to one host below one path prefix, and their treatment.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  std::vector<WeightedService> services;
  /// The answer is an event stream.
  bool streaming = false;
  /// More than one run does no harm.
  bool idempotent = false;
  /// A stream may be resumed at another server after the last event received.
  bool resumable = false;
  /// No API key is needed.
  bool is_public = false;
  /// The final answer is due this long after arrival; zero: no bound.
  Duration timeout{};
  /// An answer, or the first event of a stream, within this time has full
  /// value.
  Duration latency_target{};
  /// The longest pause between two events that clients perceive as fluent.
  Duration event_gap_target{};
  /// 0 is the most urgent.
  int priority = 0;
  /// Maximum number of servers that may run one request; at least 1.
  int max_attempts = 1;

  /// Returns whether a request that may have run can be sent again.
  bool may_repeat() const { return idempotent || (streaming && resumable); }

  friend bool operator==(const Route&, const Route&) = default;
};

struct Service {
  std::string name;
  /// Requests that a model server runs in one batch; zero for a plain service.
  int batch_slots = 0;

  friend bool operator==(const Service&, const Service&) = default;
};

/// Rate limit of a team over all entries together.
struct TeamRate {
  /// Units per second; zero: no limit.
  double per_second = 0;
  /// Units that may be used at once above the rate.
  double burst = 0;
  /// Whether the unit is a token; otherwise it is a request.
  bool in_tokens = false;
  /// Units used by a request without a token count.
  double tokens_if_unknown = 1;

  friend bool operator==(const TeamRate&, const TeamRate&) = default;
};

/// Settings of a team for forwarding.
struct TeamConfig {
  std::string name;
  std::vector<std::string> api_keys;
  /// Overrides the priority of the route.
  std::optional<int> priority;
  TeamRate rate;

  friend bool operator==(const TeamConfig&, const TeamConfig&) = default;
};

/// Limits on what a client may send.
struct ClientLimits {
  uint64_t head_bytes = uint64_t{16} << 10;
  uint64_t body_bytes = uint64_t{4} << 20;
  /// From the first byte of a request to the end of its head.
  Duration head_time = std::chrono::seconds(3);
  /// A connection without a request is closed after this time.
  Duration idle_time = std::chrono::seconds(15);

  friend bool operator==(const ClientLimits&, const ClientLimits&) = default;
};

struct RouteTableContent {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<TeamConfig> teams;
  ClientLimits limits;

  friend bool operator==(const RouteTableContent&,
                         const RouteTableContent&) = default;
};

/// One version of the forwarding configuration. Immutable; each request keeps
/// the version that was in force when it arrived.
class RouteTable {
 public:
  explicit RouteTable(RouteTableContent content);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  uint64_t version() const { return content_.version; }
  const RouteTableContent& content() const { return content_; }
  const ClientLimits& limits() const { return content_.limits; }
  bool has_teams() const { return !content_.teams.empty(); }

  /// Finds the route of the host whose prefix is the longest that the path
  /// begins with.
  /// @param host the Host field; a port is ignored
  /// @param target path and query
  const Route* FindRoute(std::string_view host, std::string_view target) const;
  const TeamConfig* FindTeamByKey(const std::string& api_key) const;
  const TeamConfig* FindTeam(const std::string& name) const;
  const Service* FindService(const std::string& name) const;

  /// Returns the weight of a team among teams of its rank: its rate over the
  /// mean of all rates of the same unit; 1 without a rate. So weights by tokens
  /// and by requests compare, and a team without a rate counts as an average
  /// one.
  double WeightOf(const TeamConfig& team) const;

  /// Returns the priority of the most urgent routes; 0 without routes.
  int first_priority() const { return first_priority_; }
  /// Returns whether the routes have different priorities.
  bool has_ranks() const { return first_priority_ != last_priority_; }

  /// Returns the service for a request; the same for all its attempts.
  static const std::string& PickService(const Route& route,
                                        std::string_view request_id);

 private:
  RouteTableContent content_;
  int first_priority_ = 0;
  /// Means of the rates in requests, and in tokens; zero without a rate.
  std::array<double, 2> mean_rates_ = {};
  int last_priority_ = 0;
  /// By host, routes with longer prefixes first.
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host_;
  std::unordered_map<std::string_view, const TeamConfig*> by_key_;
  std::unordered_map<std::string_view, const TeamConfig*> teams_;
  std::unordered_map<std::string_view, const Service*> services_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_ROUTE_TABLE_H_
