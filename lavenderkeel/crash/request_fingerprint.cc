#include "lavenderkeel/crash/request_fingerprint.h"

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

RequestFingerprint FingerprintOf(const RequestIdentity& identity) {
  // Each hash is the seed of the next, so that no byte can move from one part
  // to its neighbour.
  uint64_t hash = 0;
  for (const std::string_view part :
       {identity.team, identity.method, identity.host, identity.target,
        identity.body}) {
    hash = HashBytes(part, hash);
  }
  return hash;
}

}  // namespace lavenderkeel
