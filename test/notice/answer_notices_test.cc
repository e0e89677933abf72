#include <boost/test/unit_test.hpp>

#include "lavenderkeel/notice.h"

namespace lavenderkeel {

// Guards against a malformed, huge or repeated value that sets or ends a limit.
BOOST_AUTO_TEST_CASE(InvalidNoticeValuesAreUnreadable) {
  for (const char* text :
       {"", " ", "x", "-1", "+1", "1e3", "nan", "inf", "0x1", "1,5", "1 2",
        "1.2.3", "1000001", "99999999999999999999999999999999"}) {
    AnswerNotices notices;
    notices.Add(NoticeKind::kRateLimit, {text});
    BOOST_TEST(notices.stated().empty(), text);
    BOOST_TEST(notices.Has(NoticeKind::kRateLimit), text);
  }
  AnswerNotices repeated;
  repeated.Add(NoticeKind::kRateLimit, {"2", "2"});
  BOOST_TEST(repeated.stated().empty());
  BOOST_TEST(repeated.unreadable().front().text == "2, 2");
}

BOOST_AUTO_TEST_CASE(LeavingNoticeHasOneValidValue) {
  for (const char* text : {"0", "0.5", "2", "true"}) {
    AnswerNotices notices;
    notices.Add(NoticeKind::kLeaving, {text});
    BOOST_TEST(notices.stated().empty(), text);
  }
}

BOOST_AUTO_TEST_CASE(DecimalNoticeValuesAreRead) {
  AnswerNotices notices;
  notices.Add(NoticeKind::kRateLimit, {"2.6"});
  BOOST_TEST_REQUIRE(notices.stated().size() == 1U);
  BOOST_TEST(notices.stated().front().value == 2.6);
  AnswerNotices absent;
  absent.Add(NoticeKind::kRateLimit, {});
  BOOST_TEST((absent == AnswerNotices()));
}

}  // namespace lavenderkeel
