#ifndef LAVENDERKEEL_BASE_REFUSAL_BODY_H_
#define LAVENDERKEEL_BASE_REFUSAL_BODY_H_

#include <string>
#include <string_view>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/result_code.h"

namespace lavenderkeel {

/// Builds the JSON body of every answer that is not the server's own result:
/// `{"error": {"code", "name", "outcome", "message", "retry_after_ms"}}`.
std::string RefusalBody(ResultCode code,
                        std::string_view message,
                        Duration retry_after);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_REFUSAL_BODY_H_
