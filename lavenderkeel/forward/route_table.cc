#include "lavenderkeel/forward/route_table.h"

#include <algorithm>
#include <cassert>
#include <cctype>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

std::string LowerCaseHost(std::string_view host) {
  // A colon inside the brackets of an IPv6 literal does not start a port.
  const size_t bracket = host.rfind(']');
  const size_t colon = host.rfind(':');
  const bool has_port = colon != std::string_view::npos &&
                        (bracket == std::string_view::npos || colon > bracket);
  std::string result(has_port ? host.substr(0, colon) : host);
  std::ranges::transform(result, result.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return result;
}

}  // namespace

RouteTable::RouteTable(RouteTableContent content)
    : content_(std::move(content)) {
  if (!content_.routes.empty()) {
    first_priority_ =
        std::ranges::min(content_.routes, {}, &Route::priority).priority;
    last_priority_ =
        std::ranges::max(content_.routes, {}, &Route::priority).priority;
  }
  for (const Route& route : content_.routes) {
    by_host_[LowerCaseHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::ranges::stable_sort(routes, std::greater<>(), [](const Route* route) {
      return route->path_prefix.size();
    });
  }
  for (const Service& service : content_.services) {
    services_[service.name] = &service;
  }
  for (const TeamConfig& team : content_.teams) {
    teams_[team.name] = &team;
    for (const std::string& key : team.api_keys) {
      by_key_[key] = &team;
    }
  }
  std::array<double, 2> counts = {};
  for (const TeamConfig& team : content_.teams) {
    if (team.rate.per_second > 0) {
      const size_t unit = team.rate.in_tokens ? 1 : 0;
      mean_rates_[unit] +=
          (team.rate.per_second - mean_rates_[unit]) / ++counts[unit];
    }
  }
}

double RouteTable::WeightOf(const TeamConfig& team) const {
  return team.rate.per_second > 0
             ? team.rate.per_second / mean_rates_[team.rate.in_tokens ? 1 : 0]
             : 1;
}

const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view target) const {
  const auto routes = by_host_.find(LowerCaseHost(host));
  if (routes == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find_first_of("?#"));
  const auto found =
      std::ranges::find_if(routes->second, [path](const Route* route) {
        return path.starts_with(route->path_prefix);
      });
  return found == routes->second.end() ? nullptr : *found;
}

const TeamConfig* RouteTable::FindTeamByKey(const std::string& api_key) const {
  const auto found = by_key_.find(api_key);
  return found == by_key_.end() ? nullptr : found->second;
}

const TeamConfig* RouteTable::FindTeam(const std::string& name) const {
  const auto found = teams_.find(name);
  return found == teams_.end() ? nullptr : found->second;
}

const Service* RouteTable::FindService(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

const std::string& RouteTable::PickService(const Route& route,
                                           std::string_view request_id) {
  assert(!route.services.empty());
  double total = 0;
  for (const WeightedService& service : route.services) {
    total += service.weight;
  }
  constexpr uint64_t kSteps = 1'000'000;
  double point = total * static_cast<double>(HashBytes(request_id) % kSteps) /
                 static_cast<double>(kSteps);
  for (const WeightedService& service : route.services) {
    if (point < service.weight) {
      return service.service;
    }
    point -= service.weight;
  }
  return route.services.back().service;
}

}  // namespace lavenderkeel
