#include "lavenderkeel/crash/request_fingerprint.h"

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

RequestFingerprint FingerprintOf(const RequestIdentity& identity) {
  // Each hash is the seed of the next, so that moving a byte between adjacent
  // parts changes the result.
  uint64_t hash = 0;
  for (const std::string_view part :
       {identity.team, identity.method, identity.host, identity.target,
        identity.body}) {
    hash = HashBytes(part, hash);
  }
  return hash;
}

}  // namespace lavenderkeel
