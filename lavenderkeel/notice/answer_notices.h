#ifndef LAVENDERKEEL_NOTICE_ANSWER_NOTICES_H_
#define LAVENDERKEEL_NOTICE_ANSWER_NOTICES_H_

#include <string>
#include <string_view>
#include <vector>

#include "lavenderkeel/notice/notice_kind.h"

namespace lavenderkeel {

/// Notices of one answer.
class AnswerNotices {
 public:
  struct Stated {
    NoticeKind kind = NoticeKind::kRateLimit;
    double value = 0;

    friend bool operator==(const Stated&, const Stated&) = default;
  };
  /// A notice whose value is invalid or given more than once. It neither sets
  /// nor ends anything.
  struct Unreadable {
    NoticeKind kind = NoticeKind::kRateLimit;
    std::string text;

    friend bool operator==(const Unreadable&, const Unreadable&) = default;
  };

  /// Adds the values of the fields that carry the notice; none: it is absent.
  /// A valid value is a decimal number without sign and exponent.
  void Add(NoticeKind kind, const std::vector<std::string_view>& values);

  const std::vector<Stated>& stated() const { return stated_; }
  const std::vector<Unreadable>& unreadable() const { return unreadable_; }
  /// Returns whether the answer carries the notice, readable or not.
  bool Has(NoticeKind kind) const;

  friend bool operator==(const AnswerNotices&, const AnswerNotices&) = default;

 private:
  std::vector<Stated> stated_;
  std::vector<Unreadable> unreadable_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_NOTICE_ANSWER_NOTICES_H_
