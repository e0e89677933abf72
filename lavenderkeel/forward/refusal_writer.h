#ifndef LAVENDERKEEL_FORWARD_REFUSAL_WRITER_H_
#define LAVENDERKEEL_FORWARD_REFUSAL_WRITER_H_

#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/metrics.h"
#include "lavenderkeel/base/result_code.h"
#include "lavenderkeel/evidence/run_history.h"
#include "lavenderkeel/forward/forward_port.h"
#include "lavenderkeel/forward/refusal.h"
#include "lavenderkeel/forward/request_metadata.h"

namespace lavenderkeel {

/// Writer of the answers of requests that are refused.
class RefusalWriter {
 public:
  /// @param default_retry_after Retry-After of refusals that state none
  RefusalWriter(const ForwardCodec& codec,
                ForwardPort& port,
                Metrics& metrics,
                Duration default_retry_after)
      : codec_(codec),
        port_(port),
        metrics_(metrics),
        default_retry_after_(default_retry_after) {}

  /// Returns the code that Write sends: that of the refusal, unless it states
  /// that the request did not run and this is not proved.
  static ResultCode CodeOf(const Refusal& refusal, const RunHistory& runs) {
    return runs.CodeFor(refusal.code, ResultCode::kServerLost);
  }
  /// @param request_id id of the request; empty if it is not known
  /// @param runs the attempts of the request
  void Write(ExchangeId exchange,
             const std::string& request_id,
             const Refusal& refusal,
             const RunHistory& runs);
  /// Returns the Retry-After that Write sends.
  Duration RetryAfterOf(const Refusal& refusal) const {
    return refusal.retry_after.value_or(default_retry_after_);
  }

 private:
  const ForwardCodec& codec_;
  ForwardPort& port_;
  Metrics& metrics_;
  Duration default_retry_after_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_REFUSAL_WRITER_H_
