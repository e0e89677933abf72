#ifndef LAVENDERKEEL_MEMBERSHIP_INSTANCE_INFO_H_
#define LAVENDERKEEL_MEMBERSHIP_INSTANCE_INFO_H_

#include <cstddef>
#include <string>
#include <vector>

#include "lavenderkeel/base/failure.h"
#include "lavenderkeel/base/peer_id.h"

namespace lavenderkeel {

/// Description of a process, as sent in handshakes and listed in the instance
/// list.
struct InstanceInfo {
  PeerId id;
  Role role = Role::kEntry;
  std::string data_centre;
  std::string region;
  std::string address;
  bool leaving = false;
  /// Fraction of a processor core that the process may use; only compared with
  /// that of others.
  double processor_share = 1;
  /// True for an entry that has claimed no key since its start: entries that
  /// connect to it now have missed no claim of it.
  bool no_claims = false;

  friend bool operator==(const InstanceInfo&, const InstanceInfo&) = default;
};

/// The platform's list of instances.
struct InstanceList {
  std::vector<InstanceInfo> instances;
  /// Number of items that can't be read; they are left out.
  size_t unreadable = 0;

  friend bool operator==(const InstanceList&, const InstanceList&) = default;
};

/// Parses the platform's `GET /instances`. An item that can't be read hides no
/// other.
leaf::result<InstanceList> ParseInstanceList(const std::string& json);

/// Returns the body of a daemon's own registration object.
std::string RegistrationBody(const InstanceInfo& info);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_INSTANCE_INFO_H_
