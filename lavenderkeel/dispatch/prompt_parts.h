#ifndef LAVENDERKEEL_DISPATCH_PROMPT_PARTS_H_
#define LAVENDERKEEL_DISPATCH_PROMPT_PARTS_H_

#include <string_view>
#include <vector>

#include "lavenderkeel/base/prompt_part.h"

namespace lavenderkeel::internal {

/// Appends the ids of the text's paragraphs, which blank lines separate.
///
/// Equal paragraphs have the same id wherever they stand.
void AddPromptParts(std::string_view text, std::vector<PromptPartId>& parts);

}  // namespace lavenderkeel::internal

#endif  // LAVENDERKEEL_DISPATCH_PROMPT_PARTS_H_
