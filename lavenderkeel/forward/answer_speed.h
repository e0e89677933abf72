#ifndef LAVENDERKEEL_FORWARD_ANSWER_SPEED_H_
#define LAVENDERKEEL_FORWARD_ANSWER_SPEED_H_

#include <optional>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/forward/forwarded_request.h"
#include "lavenderkeel/forward/work_size.h"

namespace lavenderkeel {

/// Returns the milliseconds between two events of a stream, or of the whole
/// answer of a plain service; nothing if there were too few events.
std::optional<double> PaceOf(const ForwardedRequest& request, TimePoint now);

/// Returns the reading time of the prompt; nothing if it was too short to
/// measure.
std::optional<PromptRead> PromptReadOf(const ForwardedRequest& request);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_ANSWER_SPEED_H_
