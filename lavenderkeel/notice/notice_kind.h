#ifndef LAVENDERKEEL_NOTICE_NOTICE_KIND_H_
#define LAVENDERKEEL_NOTICE_NOTICE_KIND_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace lavenderkeel {

/// Kind of statement that a backend server makes about itself in an answer.
enum class NoticeKind : uint8_t {
  /// Requests a second that the server takes from all entries together.
  kRateLimit = 0,
};

inline constexpr std::array kNoticeKinds = {NoticeKind::kRateLimit};

/// Properties of a kind of notice: valid values, who must know it, and what
/// ends it. The end of the server's incarnation ends every notice.
struct NoticeRules {
  std::string_view name;
  /// A larger value is taken for an error of the server.
  double max_value = 0;
  /// Whether the notice concerns all entries, not only the one that received
  /// the answer.
  bool shared = false;
  /// Whether a later answer without the notice ends it.
  bool ends_when_absent = false;
};

constexpr NoticeRules RulesOf(NoticeKind kind) {
  switch (kind) {
    case NoticeKind::kRateLimit:
      return {.name = "rate_limit",
              .max_value = 1e6,
              .shared = true,
              .ends_when_absent = true};
  }
  return {};
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_NOTICE_NOTICE_KIND_H_
