#include "lavenderkeel/dispatch/prompt_parts.h"

#include <algorithm>
#include <string>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel::internal {

namespace {

constexpr std::string_view kWhitespace = " \t\r";

std::string_view Trim(std::string_view line) {
  const size_t first = line.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return line.substr(first, line.find_last_not_of(kWhitespace) - first + 1);
}

}  // namespace

void AddPromptParts(std::string_view text, std::vector<PromptPartId>& parts) {
  std::string paragraph;
  while (!text.empty()) {
    const size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = Trim(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    if (!line.empty()) {
      paragraph.append(line).append("\n");
    }
    if (!paragraph.empty() && (line.empty() || text.empty())) {
      parts.push_back(HashBytes(paragraph));
      paragraph.clear();
    }
  }
}

}  // namespace lavenderkeel::internal
