#ifndef LAVENDERKEEL_GATE_ANSWER_LINES_H_
#define LAVENDERKEEL_GATE_ANSWER_LINES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderkeel::internal {

// A stored answer starts with the head that the entry sent. For an engine, one
// JSON line per text and the finish line follow; for a service, one JSON line
// with status and content type and then the body.

std::string FormatTextLine(std::string_view text);
std::string FormatServiceLine(int status, std::string_view content_type);

/// Returns the number of texts before the finish according to the engine's
/// usage; nullopt if the engine doesn't report it.
std::optional<uint64_t> ParseCompletionTokens(std::string_view finish_json);

/// Sets the request id and enables streaming in an engine's request body.
std::string AddRequestId(const std::string& body,
                         const std::string& request_id);

}  // namespace lavenderkeel::internal

#endif  // LAVENDERKEEL_GATE_ANSWER_LINES_H_
