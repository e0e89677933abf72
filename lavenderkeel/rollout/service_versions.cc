#include "lavenderkeel/rollout/service_versions.h"

#include <algorithm>

namespace lavenderkeel {

ServiceVersions::ServiceState& ServiceVersions::RefreshServers(
    const std::string& service) {
  ServiceState& state = services_[service];
  if (state.generation == directory_.generation()) {
    return state;
  }
  state.generation = directory_.generation();
  state.servers.clear();
  for (const BackendServer* server : directory_.Usable(service)) {
    ++state.servers[server->version];
  }
  return state;
}

const std::string& ServiceVersions::Baseline(const std::string& service,
                                             const std::string& excluded) {
  ServiceState& state = RefreshServers(service);
  const bool stays =
      state.servers.contains(state.baseline) || state.servers.empty();
  const bool allowed = excluded.empty() || state.baseline != excluded;
  if (stays && allowed) {
    return state.baseline;
  }
  const std::string* most_common = nullptr;
  size_t servers = 0;
  for (const auto& [version, count] : state.servers) {
    if (count > servers && (excluded.empty() || version != excluded)) {
      most_common = &version;
      servers = count;
    }
  }
  if (most_common != nullptr) {
    state.baseline = *most_common;
  }
  return state.baseline;
}

void ServiceVersions::SetBaseline(const std::string& service,
                                  const std::string& version) {
  services_[service].baseline = version;
}

size_t ServiceVersions::CountServers(const std::string& service,
                                     const std::string& version) {
  const ServiceState& state = RefreshServers(service);
  const auto found = state.servers.find(version);
  return found == state.servers.end() ? 0 : found->second;
}

}  // namespace lavenderkeel
