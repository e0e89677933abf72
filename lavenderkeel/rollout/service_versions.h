#ifndef LAVENDERKEEL_ROLLOUT_SERVICE_VERSIONS_H_
#define LAVENDERKEEL_ROLLOUT_SERVICE_VERSIONS_H_

#include <map>
#include <string>

#include "lavenderkeel/forward/server_directory.h"

namespace lavenderkeel {

/// The baseline of each service: the version that its requests use unless an
/// order names another.
///
/// The baseline is the version of most servers when they were first listed, and
/// remains so while one of its servers is usable: a version whose servers are
/// added later is not used until an order names it.
class ServiceVersions {
 public:
  explicit ServiceVersions(const ServerDirectory& directory)
      : directory_(directory) {}

  /// Returns the baseline; empty if the service has never had servers.
  /// @param excluded a version that is not considered
  const std::string& Baseline(const std::string& service,
                              const std::string& excluded = {});
  /// Replaces the baseline when an order takes effect.
  void SetBaseline(const std::string& service, const std::string& version);
  /// Returns the number of usable servers of the version.
  size_t CountServers(const std::string& service, const std::string& version);

 private:
  struct ServiceState {
    std::string baseline;
    uint64_t generation = 0;
    std::map<std::string, size_t> servers;
  };

  /// Recounts the servers if the list changed.
  ServiceState& RefreshServers(const std::string& service);

  const ServerDirectory& directory_;
  std::map<std::string, ServiceState> services_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ROLLOUT_SERVICE_VERSIONS_H_
