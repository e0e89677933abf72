#ifndef LAVENDERKEEL_MEMBERSHIP_GREETING_H_
#define LAVENDERKEEL_MEMBERSHIP_GREETING_H_

#include "lavenderkeel/membership/instance_info.h"
#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

/// Converts the description of a process to and from its form on the wire,
/// which leaves the protocol version out.
Hello ToHello(const InstanceInfo& info);
InstanceInfo FromHello(const Hello& hello);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_GREETING_H_
