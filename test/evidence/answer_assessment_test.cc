#include "lavenderkeel/evidence/answer_assessment.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "lavenderkeel/evidence/not_run_status.h"

namespace lavenderkeel {

namespace {

using Kind = AnswerAssessment::Kind;
using NotRun = AnswerStatements::NotRun;

const ExpectedAnswer kExpected = {.request_id = "r",
                                  .server_id = "s",
                                  .fresh = false};

Kind KindOf(const AnswerStatements& answer, bool fresh = false) {
  ExpectedAnswer expected = kExpected;
  expected.fresh = fresh;
  return AssessAnswer(answer, expected).kind;
}

std::string FaultOf(const AnswerStatements& answer) {
  return std::string(AssessAnswer(answer, kExpected).fault);
}

/// Returns answers with each combination of statements.
std::vector<AnswerStatements> AllAnswers() {
  const std::vector<std::vector<std::string>> ids = {
      {}, {"r"}, {"other"}, {"r", "other"}};
  const std::vector<std::vector<std::string>> servers = {
      {}, {"s"}, {"other"}, {"other", "s"}};
  std::vector<AnswerStatements> answers;
  for (const int status :
       {200, 204, 302, 400, 404, 408, 421, 429, 500, 503, 504}) {
    for (const auto& request_ids : ids) {
      for (const auto& server_ids : servers) {
        for (const bool sealed : {false, true}) {
          for (const NotRun not_run :
               {NotRun::kNone, NotRun::kStated, NotRun::kUnclear}) {
            answers.push_back({.status = status,
                               .request_ids = request_ids,
                               .server_ids = server_ids,
                               .sealed = sealed,
                               .not_run = not_run});
          }
        }
      }
    }
  }
  return answers;
}

}  // namespace

// Guards against a request that ran and is taken for rejected since one field
// of a head says so while another one denies it.
BOOST_AUTO_TEST_CASE(ContradictoryHeadsProveNothing) {
  const std::vector<std::string> ours = {"r"};
  BOOST_TEST(FaultOf({.status = 200,
                      .request_ids = ours,
                      .not_run = NotRun::kStated}) == "status");
  BOOST_TEST(FaultOf({.status = 500,
                      .request_ids = ours,
                      .not_run = NotRun::kStated}) == "status");
  BOOST_TEST(FaultOf({.status = 503,
                      .request_ids = ours,
                      .sealed = true,
                      .not_run = NotRun::kStated}) == "receipt");
  BOOST_TEST(FaultOf({.status = 503,
                      .request_ids = ours,
                      .not_run = NotRun::kUnclear}) == "statement");
  BOOST_TEST(FaultOf({.status = 503,
                      .request_ids = {"r", "other"},
                      .not_run = NotRun::kStated}) == "ids");
  BOOST_TEST(
      FaultOf({.status = 421, .request_ids = ours, .server_ids = {"s"}}) ==
      "server");
  BOOST_TEST(FaultOf({.status = 503, .not_run = NotRun::kStated}) == "no_id");
}

// Guards against the loss of true rejections.
BOOST_AUTO_TEST_CASE(RejectionsAreRecognised) {
  for (const int status : {400, 408, 421, 429, 503}) {
    const AnswerStatements stated = {
        .status = status, .request_ids = {"r"}, .not_run = NotRun::kStated};
    BOOST_TEST((KindOf(stated) == Kind::kRejection), status);
  }
  const AnswerStatements without_id = {.status = 503,
                                       .not_run = NotRun::kStated};
  BOOST_TEST((KindOf(without_id, /*fresh=*/true) == Kind::kRejection));
  const AnswerStatements other_server = {
      .status = 421, .request_ids = {"r"}, .server_ids = {"other"}};
  BOOST_TEST((AssessAnswer(other_server, kExpected) ==
              AnswerAssessment{.kind = Kind::kRejection,
                               .evidence = RunEvidence::kOtherServer}));
}

// Guards against a proof without a statement, and against an answer that is
// passed on although its status states what isn't proved.
BOOST_AUTO_TEST_CASE(EveryCombinationOfStatementsIsSafe) {
  for (const AnswerStatements& answer : AllAnswers()) {
    for (const bool fresh : {false, true}) {
      const AnswerAssessment assessment = AssessAnswer(
          answer, {.request_id = "r", .server_id = "s", .fresh = fresh});
      const bool is_rejection = assessment.kind == Kind::kRejection;
      BOOST_TEST(is_rejection == ProvesNotRun(assessment.evidence));
      if (is_rejection) {
        BOOST_TEST(!answer.sealed);
        BOOST_TEST((answer.not_run == NotRun::kStated ||
                    (answer.not_run == NotRun::kNone && answer.status == 421)));
        const bool names_other =
            !answer.request_ids.empty() &&
            answer.request_ids != std::vector<std::string>{"r"};
        BOOST_TEST(!names_other);
        BOOST_TEST((fresh || !answer.request_ids.empty()));
      }
      if (assessment.kind == Kind::kAnswer) {
        BOOST_TEST(answer.sealed);
        BOOST_TEST((answer.not_run == NotRun::kNone));
        BOOST_TEST((answer.request_ids == std::vector<std::string>{"r"}));
        BOOST_TEST(!StatesNotRun(answer.status));
      }
      BOOST_TEST((assessment.kind == Kind::kInvalid) ==
                 !assessment.fault.empty());
    }
  }
}

}  // namespace lavenderkeel
