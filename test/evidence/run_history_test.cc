#include "lavenderkeel/evidence/run_history.h"

#include <boost/test/unit_test.hpp>

#include "lavenderkeel/evidence/not_run_status.h"

namespace lavenderkeel {

namespace {

constexpr auto kInDoubt = ResultCode::kServerLost;

constexpr RunEvidence kAll[] = {
    RunEvidence::kNotSent,       RunEvidence::kRejected,
    RunEvidence::kOtherServer,   RunEvidence::kNotStarted,
    RunEvidence::kAnswered,      RunEvidence::kDisconnected,
    RunEvidence::kInvalidAnswer, RunEvidence::kSilent,
    RunEvidence::kGivenUp,       RunEvidence::kFailedAtAgent};

}  // namespace

// Guards against "not run" while an attempt is under way, or after one whose
// end proves nothing, whatever the later ones prove.
BOOST_AUTO_TEST_CASE(NotRunIsStatedOnlyWhenAllAttemptsProveIt) {
  for (const RunEvidence first : kAll) {
    for (const RunEvidence second : kAll) {
      RunHistory runs;
      BOOST_TEST((runs.CodeFor(ResultCode::kOverloaded, kInDoubt) ==
                  ResultCode::kOverloaded));
      for (const RunEvidence evidence : {first, second}) {
        runs.OnSent();
        BOOST_TEST(
            (runs.CodeFor(ResultCode::kOverloaded, kInDoubt) == kInDoubt));
        runs.OnEnded(evidence);
      }
      const bool proved = ProvesNotRun(first) && ProvesNotRun(second);
      BOOST_TEST(runs.may_have_run() != proved);
      BOOST_TEST((runs.CodeFor(ResultCode::kOverloaded, kInDoubt) ==
                  (proved ? ResultCode::kOverloaded : kInDoubt)));
      // Codes that state nothing stay.
      BOOST_TEST((runs.CodeFor(ResultCode::kServerFailed, kInDoubt) ==
                  ResultCode::kServerFailed));
    }
  }
}

BOOST_AUTO_TEST_CASE(AttemptsAreCountedByWhatTheyReached) {
  RunHistory runs;
  BOOST_TEST(runs.ToString() == "none");
  runs.OnSent();
  runs.OnEnded(RunEvidence::kNotSent);
  BOOST_TEST(runs.arrivals() == 0);
  runs.OnSent();
  runs.OnEnded(RunEvidence::kRejected);
  runs.OnSent();
  runs.OnEnded(RunEvidence::kAnswered);
  BOOST_TEST(runs.arrivals() == 2);
  BOOST_TEST(runs.count() == 1);
  runs.OnSent();
  BOOST_TEST(runs.ToString() == "not_sent,rejected,answered,under_way");
}

// Guards against a status that reads as "not run" and isn't known as such.
BOOST_AUTO_TEST_CASE(CodesOfRequestsThatMayHaveRunHaveNoSuchStatus) {
  for (const ResultCodeInfo& info : ResultCodeTable()) {
    if (info.outcome != Outcome::kNotRun) {
      BOOST_TEST(!StatesNotRun(info.http_status), info.name);
    }
  }
}

}  // namespace lavenderkeel
