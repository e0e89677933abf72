#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "lavenderkeel/notice.h"
#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr NoticeKind kLimit = NoticeKind::kRateLimit;

AnswerNotices Limit(std::string_view value) {
  AnswerNotices notices;
  notices.Add(kLimit, {value});
  return notices;
}

struct Fixture {
  fuzz::VirtualClock clock;
  std::vector<std::string> lines;
  EventLog log{
      [this](LogLevel, const std::string& line) { lines.push_back(line); }};
  ServerNotices notices{{.self = "entry"}, clock, log};

  double LimitOf(const std::string& server) const {
    const ServerNotice* notice = notices.Find(server, kLimit);
    return notice == nullptr ? -1 : notice->value;
  }
  /// Applies an answer to a request that was sent just before.
  void Answer(const AnswerNotices& answer, Duration ran = milliseconds(50)) {
    clock.Advance(milliseconds(1));
    const TimePoint sent_at = clock.Now();
    clock.Advance(ran);
    notices.OnAnswer("s", answer, sent_at);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(LaterAnswersChangeAndEndTheLimit, Fixture) {
  Answer(Limit("2.5"));
  BOOST_TEST(LimitOf("s") == 2.5);
  BOOST_TEST(LimitOf("other") == -1);
  Answer(Limit("4"));
  BOOST_TEST(LimitOf("s") == 4);
  Answer({});
  BOOST_TEST(LimitOf("s") == -1);
  Answer(Limit("1"));
  BOOST_TEST(LimitOf("s") == 1);
}

// Guards against an answer that was delayed on another connection and ends a
// limit which the server stated after it.
BOOST_FIXTURE_TEST_CASE(AnswerToAnEarlierRequestDoesNotEndTheLimit, Fixture) {
  const TimePoint sent_at = clock.Now();
  clock.Advance(milliseconds(10));
  Answer(Limit("2"));
  notices.OnAnswer("s", {}, sent_at);
  BOOST_TEST(LimitOf("s") == 2);
}

BOOST_FIXTURE_TEST_CASE(UnreadableValueNeitherSetsNorEndsTheLimit, Fixture) {
  Answer(Limit("much"));
  BOOST_TEST(LimitOf("s") == -1);
  Answer(Limit("2"));
  Answer(Limit("much"));
  BOOST_TEST(LimitOf("s") == 2);
}

// Guards against a rest that an answer with a shorter one, or none, ends early.
BOOST_FIXTURE_TEST_CASE(PushbackHoldsUntilItsLatestEnd, Fixture) {
  const auto pushback = [](std::string_view seconds_text) {
    AnswerNotices answer;
    answer.Add(NoticeKind::kPushback, {seconds_text});
    return answer;
  };
  Answer(pushback("3"), Duration::zero());
  Answer(pushback("1"), Duration::zero());
  Answer({}, Duration::zero());
  clock.Advance(milliseconds(2900));
  BOOST_TEST(notices.FindBlocking("s") != nullptr);
  BOOST_TEST(!notices.BlocksAllEntries("s"));
  BOOST_TEST(notices.Shared(/*only_own=*/false).empty());
  clock.Advance(milliseconds(100));
  BOOST_TEST(notices.FindBlocking("s") == nullptr);
  notices.Tick([](const std::string&) { return true; });
  BOOST_TEST(notices.size() == 0U);
}

// Guards against an older report of another entry that replaces a newer notice;
// the entry that reports it is told.
BOOST_FIXTURE_TEST_CASE(LatestStatementOfAServerIsValid, Fixture) {
  Answer(Limit("2"));
  notices.TakeChanges();
  const ServerNotice older = {.server = "s",
                              .kind = kLimit,
                              .value = 9,
                              .said_at = clock.Now() - seconds(1),
                              .source = "other"};
  notices.OnReports({older}, /*pass_on=*/false);
  BOOST_TEST(LimitOf("s") == 2);
  BOOST_TEST_REQUIRE(notices.TakeChanges().size() == 1U);
  ServerNotice newer = older;
  newer.said_at = clock.Now() + milliseconds(1);
  notices.OnReports({newer}, /*pass_on=*/false);
  BOOST_TEST(LimitOf("s") == 9);
  BOOST_TEST(!notices.has_changes());
  newer.in_force = false;
  newer.said_at += milliseconds(1);
  notices.OnReports({newer}, /*pass_on=*/true);
  BOOST_TEST(LimitOf("s") == -1);
  BOOST_TEST(notices.has_changes());
}

// Guards against a log that a server fills by repeating the same notice.
BOOST_FIXTURE_TEST_CASE(RepeatedNoticesAreLoggedOnce, Fixture) {
  for (int i = 0; i < 100; ++i) {
    Answer(Limit("2"));
    Answer(Limit("much"));
  }
  BOOST_TEST(lines.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(NoticesOfUnlistedServersAreForgotten, Fixture) {
  Answer(Limit("2"));
  Answer(Limit("much"));
  clock.Advance(seconds(70));
  notices.Tick([](const std::string&) { return true; });
  BOOST_TEST(LimitOf("s") == 2);
  clock.Advance(seconds(50));
  notices.Tick([](const std::string&) { return false; });
  BOOST_TEST(LimitOf("s") == 2);
  clock.Advance(seconds(20));
  notices.Tick([](const std::string&) { return false; });
  BOOST_TEST(notices.size() == 0U);
}

}  // namespace lavenderkeel
