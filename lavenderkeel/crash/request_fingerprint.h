#ifndef LAVENDERKEEL_CRASH_REQUEST_FINGERPRINT_H_
#define LAVENDERKEEL_CRASH_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

namespace lavenderkeel {

/// Equal for requests that ask a server for the same thing, whichever their id
/// and wherever they came in.
using RequestFingerprint = uint64_t;

/// What a server is asked for, and on whose behalf.
struct RequestIdentity {
  std::string_view team;
  std::string_view method;
  std::string_view host;
  /// With the query.
  std::string_view target;
  std::string_view body;
};

RequestFingerprint FingerprintOf(const RequestIdentity& identity);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CRASH_REQUEST_FINGERPRINT_H_
