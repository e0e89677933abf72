#ifndef LAVENDERKEEL_MEMBERSHIP_GREETING_H_
#define LAVENDERKEEL_MEMBERSHIP_GREETING_H_

#include "lavenderkeel/membership/instance_info.h"
#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

/// What a process says of itself or of another, in its form on the wire. The
/// protocol version is left out.
Hello ToHello(const InstanceInfo& info);
InstanceInfo FromHello(const Hello& hello);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMBERSHIP_GREETING_H_
