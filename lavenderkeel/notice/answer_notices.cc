#include "lavenderkeel/notice/answer_notices.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace lavenderkeel {

namespace {

/// Longest text of an unreadable value that is kept for the log.
constexpr size_t kMaxLoggedText = 40;

std::optional<double> ReadDecimal(std::string_view text) {
  double number = 0;
  const auto [end, error] = std::from_chars(
      text.data(), text.data() + text.size(), number, std::chars_format::fixed);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  const bool digits_only =
      text.find_first_not_of("0123456789.") == std::string_view::npos;
  return whole && digits_only ? std::optional(number) : std::nullopt;
}

}  // namespace

void AnswerNotices::Add(NoticeKind kind,
                        const std::vector<std::string_view>& values) {
  if (values.empty()) {
    return;
  }
  const std::optional<double> number =
      values.size() == 1 ? ReadDecimal(values.front()) : std::nullopt;
  const NoticeRules rules = RulesOf(kind);
  if (number.has_value() && *number >= rules.min_value &&
      *number <= rules.max_value) {
    stated_.push_back({.kind = kind, .value = *number});
    return;
  }
  std::string text;
  for (const std::string_view value : values) {
    text += text.empty() ? "" : ", ";
    text += value.substr(0, kMaxLoggedText);
    if (text.size() >= kMaxLoggedText) {
      break;
    }
  }
  unreadable_.push_back({.kind = kind, .text = text.substr(0, kMaxLoggedText)});
}

bool AnswerNotices::Has(NoticeKind kind) const {
  const auto is_of_kind = [kind](const auto& notice) {
    return notice.kind == kind;
  };
  return std::ranges::any_of(stated_, is_of_kind) ||
         std::ranges::any_of(unreadable_, is_of_kind);
}

}  // namespace lavenderkeel
