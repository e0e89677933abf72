#ifndef LAVENDERKEEL_GATE_ANSWER_LINES_H_
#define LAVENDERKEEL_GATE_ANSWER_LINES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderkeel::internal {

// An answer is kept as lines of JSON: the head that the entry sent, then one
// line per text of the engine and its finish, or for a service one line with
// status and type, and the body behind it.

std::string TextLine(std::string_view text);
std::string ServiceLine(int status, std::string_view content_type);

/// How many texts came before the finish, as the engine counts them in its
/// usage; nothing where it doesn't say.
std::optional<uint64_t> CompletionCount(std::string_view finish_json);

/// Adds the request id and streaming to an engine's request body.
std::string WithRequestId(const std::string& body,
                          const std::string& request_id);

}  // namespace lavenderkeel::internal

#endif  // LAVENDERKEEL_GATE_ANSWER_LINES_H_
