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
  /// The server ends soon and takes no new requests; the value is 1.
  kLeaving = 1,
  /// Seconds for which the server wants no requests of this entry.
  kPushback = 2,
};

inline constexpr std::array kNoticeKinds = {
    NoticeKind::kRateLimit, NoticeKind::kLeaving, NoticeKind::kPushback};

/// Properties of a kind of notice: valid values, who must know it, and what
/// ends it. The end of the server's incarnation ends every notice.
struct NoticeRules {
  std::string_view name;
  /// A value outside of these bounds is taken for an error of the server.
  double min_value = 0;
  double max_value = 0;
  /// Whether the notice concerns all entries, not only the one that received
  /// the answer.
  bool shared = false;
  /// Whether a later answer without the notice ends it.
  bool ends_when_absent = false;
  /// Whether the server gets no requests while the notice is in force.
  bool blocks = false;
  /// Whether the value is the number of seconds for which the notice holds.
  bool value_is_duration = false;
};

constexpr NoticeRules RulesOf(NoticeKind kind) {
  switch (kind) {
    case NoticeKind::kRateLimit:
      return {.name = "rate_limit",
              .max_value = 1e6,
              .shared = true,
              .ends_when_absent = true};
    case NoticeKind::kLeaving:
      // An answer without the notice may be older, and no request is sent that
      // could bring a newer one.
      return {.name = "leaving",
              .min_value = 1,
              .max_value = 1,
              .shared = true,
              .blocks = true};
    case NoticeKind::kPushback:
      return {.name = "pushback",
              .max_value = 3600,
              .blocks = true,
              .value_is_duration = true};
  }
  return {};
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_NOTICE_NOTICE_KIND_H_
