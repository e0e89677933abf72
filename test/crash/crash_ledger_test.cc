#include <boost/test/unit_test.hpp>

#include "lavenderkeel/crash.h"
#include "lavenderkeel/wire/codec.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Kind = CrashReport::Kind;

constexpr RequestFingerprint kFingerprint = 7;
const RequestTraits kRequest = {.fingerprint = kFingerprint};
const TimePoint kStart = TimePoint(std::chrono::hours(1));

CrashReport Lost(uint64_t server,
                 Duration sent,
                 Duration ended,
                 RequestFingerprint request = kFingerprint) {
  return {.kind = Kind::kLost,
          .request = {.fingerprint = request},
          .server = server,
          .sent = kStart + sent,
          .ended = kStart + ended};
}

CrashReport Survived(Duration ended) {
  return {
      .kind = Kind::kSurvived, .request = kRequest, .ended = kStart + ended};
}

CrashReport ServerAlive(uint64_t server, Duration sent) {
  return {.kind = Kind::kServerAlive,
          .server = server,
          .sent = kStart + sent,
          .ended = kStart + sent};
}

/// Returns a ledger with three sequential losses, one second apart.
CrashLedger MakeBlockedLedger() {
  CrashLedger ledger;
  for (uint64_t i = 0; i < 3; ++i) {
    ledger.AddReport(Lost(i + 1, seconds(i), seconds(i) + milliseconds(50)),
                     kStart + seconds(i));
  }
  return ledger;
}

}  // namespace

// Guards against a poison request that is never blocked although it crashes
// servers one after the other.
BOOST_AUTO_TEST_CASE(SequentialLossesBlockARequest) {
  CrashLedger ledger;
  BOOST_CHECK(ledger.Assess(kRequest).suspicion == CrashSuspicion::kClear);
  ledger.AddReport(Lost(1, seconds(0), milliseconds(50)), kStart);
  BOOST_CHECK(ledger.Assess(kRequest).suspicion == CrashSuspicion::kSuspect);
  ledger.AddReport(Lost(2, seconds(1), milliseconds(1050)), kStart);
  BOOST_CHECK(ledger.Assess(kRequest).suspicion == CrashSuspicion::kDoubtful);
  ledger.AddReport(Lost(3, seconds(2), milliseconds(2050)), kStart);
  BOOST_CHECK(ledger.Assess(kRequest).suspicion == CrashSuspicion::kBlocked);
}

// Guards against blocking a request that runs at all servers when they end at
// the same time for another reason.
BOOST_AUTO_TEST_CASE(OverlappingLossesCountOnce) {
  CrashLedger ledger;
  for (uint64_t server = 1; server <= 6; ++server) {
    ledger.AddReport(Lost(server, milliseconds(0), milliseconds(100 + server)),
                     kStart);
  }
  const CrashAssessment assessment = ledger.Assess(kRequest);
  BOOST_TEST(assessment.in_turn == 1U);
  BOOST_CHECK(assessment.suspicion == CrashSuspicion::kDoubtful);
}

// Guards against a harmless request that stays under suspicion after a server
// answered it.
BOOST_AUTO_TEST_CASE(AnswerClearsEarlierLosses) {
  CrashLedger ledger = MakeBlockedLedger();
  BOOST_TEST(ledger.AddReport(Survived(seconds(5)), kStart + seconds(5)));
  BOOST_CHECK(ledger.Assess(kRequest).suspicion == CrashSuspicion::kClear);
  // A late report of a loss before the answer changes nothing.
  BOOST_TEST(!ledger.AddReport(Lost(9, seconds(3), seconds(4)), kStart));
  BOOST_TEST(ledger.AddReport(Lost(9, seconds(6), seconds(7)), kStart));
}

// Guards against counting broken connections as the loss of a server.
BOOST_AUTO_TEST_CASE(LossIsVoidIfTheServerAnswersLater) {
  CrashLedger ledger = MakeBlockedLedger();
  BOOST_TEST(!ledger.AddReport(ServerAlive(3, seconds(2)), kStart));
  BOOST_CHECK(ledger.Assess(kRequest).suspicion == CrashSuspicion::kBlocked);
  BOOST_TEST(ledger.AddReport(ServerAlive(3, seconds(3)), kStart + seconds(3)));
  BOOST_CHECK(ledger.Assess(kRequest).suspicion == CrashSuspicion::kDoubtful);
  BOOST_TEST(!ledger.HasLossOf(3));
  BOOST_TEST(!ledger.AddReport(
      Lost(3, seconds(2), seconds(2) + milliseconds(50)), kStart));
}

// Guards against counting one lost server once per entry that reports it.
BOOST_AUTO_TEST_CASE(SameLossFromSeveralEntriesCountsOnce) {
  CrashLedger ledger;
  BOOST_TEST(ledger.AddReport(Lost(1, seconds(0), seconds(1)), kStart));
  BOOST_TEST(
      !ledger.AddReport(Lost(1, milliseconds(3), milliseconds(1003)), kStart));
  BOOST_TEST(ledger.Assess(kRequest).lost == 1U);
}

// Guards against a request that stays blocked after the cause of its crashes
// was removed, and against one that is retested without end.
BOOST_AUTO_TEST_CASE(BlockedRequestIsTestedOnceMore) {
  CrashLedger ledger = MakeBlockedLedger();
  const TimePoint last = kStart + seconds(2) + milliseconds(50);
  BOOST_CHECK(ledger.Assess(kRequest).next_run == last + seconds(60));
  ledger.AddReport(Lost(4, seconds(70), seconds(71)), kStart + seconds(71));
  BOOST_CHECK(ledger.Assess(kRequest).next_run > kStart + minutes(10));
}

// Guards against forgetting a blocked request that still arrives, and against
// keeping one that does not.
BOOST_AUTO_TEST_CASE(RequestIsForgottenWithoutArrivals) {
  CrashLedger ledger = MakeBlockedLedger();
  const TimePoint seen = kStart + minutes(8);
  BOOST_TEST(ledger.AddReport(
      {.kind = Kind::kRequestArrived, .request = kRequest, .ended = seen},
      seen));
  ledger.ForgetExpired(kStart + minutes(12));
  BOOST_CHECK(ledger.Assess(kRequest).suspicion == CrashSuspicion::kBlocked);
  ledger.ForgetExpired(seen + minutes(10) + seconds(1));
  BOOST_TEST(ledger.size() == 0U);
  BOOST_TEST(!ledger.HasLossOf(1));
}

// Guards against memory that grows with the requests of lost servers, and
// against evicting a blocked request before suspect ones.
BOOST_AUTO_TEST_CASE(BlockedRequestsAreEvictedLast) {
  CrashLedger ledger({.max_suspects = 10, .max_losses = 8});
  for (const CrashReport& report : MakeBlockedLedger().All()) {
    ledger.AddReport(report, kStart);
  }
  for (uint64_t i = 1; i <= 100; ++i) {
    ledger.AddReport(Lost(1000 + i, seconds(10), seconds(11), 1000 + i),
                     kStart + seconds(11) + milliseconds(i));
  }
  BOOST_TEST(ledger.size() == 10U);
  BOOST_CHECK(ledger.Assess(kRequest).suspicion == CrashSuspicion::kBlocked);
  for (uint64_t i = 0; i < 100; ++i) {
    const Duration sent = seconds(20 + i);
    ledger.AddReport(Lost(5000 + i, sent, sent + milliseconds(50)),
                     kStart + sent + seconds(1));
  }
  BOOST_TEST(ledger.Assess(kRequest).lost == 8U);
}

// Guards against reading times of another entry's clock as local times.
BOOST_AUTO_TEST_CASE(ReportsAreExchangedAsAges) {
  const std::vector<CrashReport> reports = MakeBlockedLedger().All();
  const TimePoint sent_at = kStart + seconds(10);
  const Duration other_clock = std::chrono::hours(5);
  const CrashNews message = ToWire(reports, /*complete=*/true, sent_at);
  std::vector<CrashReport> read = FromWire(message, sent_at + other_clock);
  BOOST_REQUIRE(read.size() == reports.size());
  for (size_t i = 0; i < read.size(); ++i) {
    BOOST_CHECK(read[i].ended == reports[i].ended + other_clock);
    BOOST_CHECK(read[i].sent == reports[i].sent + other_clock);
  }
  CrashNews unknown;
  unknown.evidence.push_back(std::make_unique<CrashEvidence>());
  unknown.evidence.back()->kind = 200;
  BOOST_TEST(FromWire(unknown, sent_at).empty());
}

// Guards against a connection that is closed for a message beyond the limit of
// a frame.
BOOST_AUTO_TEST_CASE(ReportsOfLongPromptsFitFrames) {
  std::vector<CrashReport> reports;
  for (uint64_t i = 0; i < 200; ++i) {
    reports.push_back(
        {.request = MakeTraits(i, std::vector<PromptPartId>(kMaxSuspectParts)),
         .server = i});
    reports.back().request.parts.resize(kMaxSuspectParts, i);
  }
  const std::vector<CrashNews> messages =
      ToMessages(reports, /*complete=*/true, kStart);
  size_t count = 0;
  for (const CrashNews& message : messages) {
    BOOST_TEST(EncodeFrame(message).size() <= kMaxFrameSize);
    BOOST_TEST(message.complete == (&message == &messages.back()));
    count += FromWire(message, kStart).size();
  }
  BOOST_TEST(count == reports.size());
  BOOST_TEST(ToMessages({}, /*complete=*/true, kStart).size() == 1U);
}

// Guards against a part that counts twice since it occurs twice in a prompt.
BOOST_AUTO_TEST_CASE(RepeatedPartsOfReportsAreOne) {
  CrashReport report = Lost(1, seconds(0), seconds(1));
  report.request = {.fingerprint = 1, .parts = {7, 8, 7, 7, 8}};
  const std::vector<CrashReport> read =
      FromWire(ToWire({report}, /*complete=*/true, kStart), kStart);
  BOOST_REQUIRE(read.size() == 1U);
  BOOST_TEST((read[0].request == MakeTraits(1, {7, 8})));
  BOOST_TEST(SuspectsOf(read[0].request).size() == 4U);
}

}  // namespace lavenderkeel
