#ifndef LAVENDERKEEL_CRASH_REQUEST_FINGERPRINT_H_
#define LAVENDERKEEL_CRASH_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

namespace lavenderkeel {

/// A hash that is equal for requests with equal content, whatever their id and
/// whichever entry they arrive at.
using RequestFingerprint = uint64_t;

/// The parts of a request that identify it.
struct RequestIdentity {
  std::string_view team;
  std::string_view method;
  std::string_view host;
  /// Path and query.
  std::string_view target;
  std::string_view body;
};

RequestFingerprint FingerprintOf(const RequestIdentity& identity);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_REQUEST_FINGERPRINT_H_
