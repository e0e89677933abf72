#ifndef LAVENDERKEEL_MEMBERSHIP_INSTANCE_INFO_H_
#define LAVENDERKEEL_MEMBERSHIP_INSTANCE_INFO_H_

#include <string>
#include <vector>

#include "lavenderkeel/base/failure.h"
#include "lavenderkeel/base/peer_id.h"

namespace lavenderkeel {

/// What one process says of itself, in greetings and in the instance list.
struct InstanceInfo {
  PeerId id;
  Role role = Role::kEntry;
  std::string data_centre;
  std::string region;
  std::string address;
  bool leaving = false;
  /// The part of a processor core that it may use; compared only with that of
  /// others.
  double processor_share = 1;
  /// An entry that has claimed no key since its start: whoever it meets now has
  /// missed no claim of it.
  bool no_claims = false;

  friend bool operator==(const InstanceInfo&, const InstanceInfo&) = default;
};

/// Reads the platform's `GET /instances`; entries it can't read are skipped,
/// since the list is a hint only.
leaf::result<std::vector<InstanceInfo>> ParseInstanceList(
    const std::string& json);

/// The body of a daemon's own registration object.
std::string RegistrationBody(const InstanceInfo& info);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_INSTANCE_INFO_H_
