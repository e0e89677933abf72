#ifndef LAVENDERKEEL_BASE_PROMPT_PART_H_
#define LAVENDERKEEL_BASE_PROMPT_PART_H_

#include <cstdint>
#include <string>
#include <vector>

namespace lavenderkeel {

/// Identifies a part of a prompt, such as a system prompt or a document, that
/// several requests may have in common.
using PromptPartId = uint64_t;

/// Returns the id in hexadecimal digits.
std::string PromptPartName(PromptPartId part);

/// Returns the ids separated by commas; "..." stands for those beyond a limit.
std::string JoinPromptParts(const std::vector<PromptPartId>& parts);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_PROMPT_PART_H_
