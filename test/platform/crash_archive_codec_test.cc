#include "platform/crash_archive_codec.h"

#include <boost/test/unit_test.hpp>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using std::chrono::seconds;

StoredObject ObjectWith(const std::string& status) {
  return {.name = "main", .revision = 3, .status = status};
}

}  // namespace

BOOST_AUTO_TEST_CASE(CrashReportsAreStored) {
  const fuzz::VirtualClock clock;
  const std::vector<CrashReport> reports = {
      {.kind = CrashReport::Kind::kLost,
       .request = {.fingerprint = 0xffffffffffffffff, .parts = {1, 0xbad}},
       .server = 12,
       .sent = clock.Now() - seconds(5),
       .ended = clock.Now() - seconds(4)},
      {.kind = CrashReport::Kind::kSurvived,
       .request = {.parts = {7}},
       .sent = clock.Now() - seconds(1),
       .ended = clock.Now() - seconds(1)}};
  const auto read = Catch([&] {
    return hybrid::DecodeCrashReports(
        ObjectWith(hybrid::EncodeCrashReports(reports, clock)), clock);
  });
  BOOST_REQUIRE(static_cast<bool>(read));
  BOOST_TEST((*read.value == StoredCrashReports{.reports = reports}));
}

// Guards against losses in the future, which no answer would clear, if the
// calendar of the writer is ahead.
BOOST_AUTO_TEST_CASE(StoredReportsAreNotOfTheFuture) {
  const fuzz::VirtualClock clock;
  const fuzz::VirtualClock ahead(&clock, seconds(30));
  const std::vector<CrashReport> reports = {
      {.request = {.parts = {1}},
       .sent = clock.Now() - seconds(5),
       .ended = clock.Now() - seconds(4)},
      {.request = {.parts = {2}},
       .sent = clock.Now() - seconds(3),
       .ended = clock.Now() - seconds(2)}};
  const auto read = Catch([&] {
    return hybrid::DecodeCrashReports(
        ObjectWith(hybrid::EncodeCrashReports(reports, ahead)), clock);
  });
  BOOST_REQUIRE(static_cast<bool>(read));
  BOOST_CHECK(read.value->reports.back().ended == clock.Now());
  BOOST_CHECK(read.value->reports.front().ended == clock.Now() - seconds(2));
}

// Guards against an entry that stops on an object of another writer.
BOOST_AUTO_TEST_CASE(UnreadableCrashReportsAreRejected) {
  const fuzz::VirtualClock clock;
  for (const char* status : {"[", "7", R"({"reports":7})", R"({"reports":[)"}) {
    const auto read = Catch(
        [&] { return hybrid::DecodeCrashReports(ObjectWith(status), clock); });
    BOOST_TEST(!static_cast<bool>(read), status);
  }
  for (const char* status :
       {"", "{}", R"({"reports":[{"kind":"of a later version"}]})"}) {
    const auto read = Catch(
        [&] { return hybrid::DecodeCrashReports(ObjectWith(status), clock); });
    BOOST_REQUIRE_MESSAGE(static_cast<bool>(read), status);
    BOOST_TEST((*read.value == StoredCrashReports()));
  }
}

// Guards against one impossible time that moves all other reports into the
// past, where they no longer count.
BOOST_AUTO_TEST_CASE(ReportOfTheFarFutureMovesNoOther) {
  const fuzz::VirtualClock clock;
  const std::vector<CrashReport> sound = {{.request = {.parts = {1}},
                                           .sent = clock.Now() - seconds(5),
                                           .ended = clock.Now() - seconds(4)}};
  const std::string reports = hybrid::EncodeCrashReports(sound, clock);
  const std::string before_end = reports.substr(0, reports.size() - 2);
  for (const char* impossible :
       {R"({"kind":"lost","sentUs":1,"endedUs":9223372036854775807})",
        R"({"kind":"answered","endedUs":9e18})",
        R"({"kind":"lost","sentUs":9223372036854775807,"endedUs":2})"}) {
    const auto read = Catch([&] {
      return hybrid::DecodeCrashReports(
          ObjectWith(before_end + "," + impossible + "]}"), clock);
    });
    BOOST_REQUIRE_MESSAGE(static_cast<bool>(read), impossible);
    BOOST_TEST(
        (*read.value == StoredCrashReports{.reports = sound, .unreadable = 1}),
        impossible);
  }
}

// Guards against one unreadable report that hides the others.
BOOST_AUTO_TEST_CASE(UnreadableReportHidesNoOther) {
  const fuzz::VirtualClock clock;
  const std::string sound =
      R"({"kind":"lost","sentUs":1,"endedUs":2,"server":"7"})";
  for (const char* unreadable :
       {R"({"kind":"lost"})",
        R"({"kind":"lost","sentUs":1,"endedUs":2,"server":"x"})",
        R"({"kind":"lost","sentUs":"a","endedUs":2})",
        R"({"kind":"lost","sentUs":1e99999999999,"endedUs":2})",
        R"({"kind":"lost","request":"\udcff","sentUs":1,"endedUs":2})",
        "{\"kind\":\"lost\",\"server\":\"\x01\"}"}) {
    const auto read = Catch([&] {
      return hybrid::DecodeCrashReports(
          ObjectWith(std::string(R"({"reports":[)")
                         .append(sound)
                         .append(",")
                         .append(unreadable)
                         .append(",")
                         .append(sound)
                         .append("]}")),
          clock);
    });
    BOOST_REQUIRE_MESSAGE(static_cast<bool>(read), unreadable);
    BOOST_TEST(read.value->reports.size() == 2U);
    BOOST_TEST(read.value->unreadable == 1U);
  }
}

}  // namespace lavenderkeel
