#include "lavenderkeel/forward/size_estimate.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

RequestMetadata Expecting(uint64_t output_tokens) {
  return {.prompt_tokens = 700, .expected_output_tokens = output_tokens};
}

void AddAnswers(SizeEstimate& sizes, int answers, int tokens_per_event) {
  for (int i = 0; i < answers; ++i) {
    const int events = 10 + i % 20;
    sizes.OnAnswer(Expecting(static_cast<uint64_t>(events) * tokens_per_event),
                   events);
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(EstimateIsZeroBeforeFirstAnswer) {
  const SizeEstimate sizes;
  BOOST_TEST((sizes.EstimateFor(Expecting(600)) ==
              WorkSize{.prompt_tokens = 700, .events = 0}));
  BOOST_TEST(!sizes.IsLong(Expecting(100'000)));
}

BOOST_AUTO_TEST_CASE(EventsFollowExpectedOutputTokens) {
  SizeEstimate sizes;
  AddAnswers(sizes, 100, /*tokens_per_event=*/6);
  BOOST_TEST(sizes.EstimateFor(Expecting(600)).events == 100U);
  BOOST_TEST(sizes.IsLong(Expecting(600)));
  BOOST_TEST(!sizes.IsLong(Expecting(120)));
}

BOOST_AUTO_TEST_CASE(RequestWithoutHintCountsAsAverage) {
  SizeEstimate sizes;
  AddAnswers(sizes, 100, /*tokens_per_event=*/6);
  const uint32_t events = sizes.EstimateFor(Expecting(0)).events;
  BOOST_TEST(events >= 15U);
  BOOST_TEST(events <= 25U);
  BOOST_TEST(!sizes.IsLong(Expecting(0)));
}

// The service is replaced by one whose events hold three times as many tokens.
// The estimate must have followed after some hundred answers.
BOOST_AUTO_TEST_CASE(EstimateConvergesAfterServiceChange) {
  SizeEstimate sizes;
  AddAnswers(sizes, 200, /*tokens_per_event=*/6);
  AddAnswers(sizes, 300, /*tokens_per_event=*/18);
  const uint32_t events = sizes.EstimateFor(Expecting(1800)).events;
  BOOST_TEST(events >= 90U);
  BOOST_TEST(events <= 110U);
}

}  // namespace lavenderkeel
