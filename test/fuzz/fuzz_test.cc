// Stateful fuzzing of the whole system against an oracle. RapidCheck generates
// the steps and shrinks them on a failure; RC_PARAMS sets the seed.
#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>

#include "test/fuzz/step.h"

namespace lavenderkeel::fuzz {

namespace {

/// Generates steps of these kinds and waits, with arbitrary arguments.
rc::Gen<Step> StepOf(const rc::Gen<uint8_t>& kind,
                     const rc::Gen<uint16_t>& wait) {
  // Independent of the sequence length: short sequences need all kinds of steps
  // too.
  constexpr int kFullSize = 100;
  return rc::gen::resize(
      kFullSize,
      rc::gen::map(
          rc::gen::tuple(kind, rc::gen::inRange<uint8_t>(0, 30),
                         rc::gen::inRange<uint8_t>(0, 200), wait),
          [](const std::tuple<uint8_t, uint8_t, uint8_t, uint16_t>& t) {
            return Step{std::get<0>(t), std::get<1>(t), std::get<2>(t),
                        std::get<3>(t)};
          }));
}

rc::Gen<Step> AnyStep() {
  // Steps that find faults in combination are more frequent: requests, their
  // retries, and processes that lose their state in between.
  const auto kind = rc::gen::weightedOneOf<uint8_t>(
      {{2, rc::gen::inRange<uint8_t>(0, Step::kGeneratedKinds)},
       {1, rc::gen::just<uint8_t>(Step::kSubmit)},
       {2, rc::gen::just<uint8_t>(Step::kRetry)},
       {1, rc::gen::just<uint8_t>(Step::kCrash)}});
  // Most steps follow immediately; some waits are long enough to detect a
  // failure.
  const auto wait = rc::gen::weightedOneOf<uint16_t>(
      {{3, rc::gen::inRange<uint16_t>(0, 20)},
       {3, rc::gen::inRange<uint16_t>(0, 300)},
       {2, rc::gen::inRange<uint16_t>(0, 3000)}});
  return StepOf(kind, wait);
}

/// Generates steps that retry one key on both sides of a partition, far enough
/// apart for each side to consider the other lost.
rc::Gen<Step> AnyStepAroundPartitions() {
  const auto kind =
      rc::gen::weightedElement<uint8_t>({{2, Step::kSubmit},
                                         {3, Step::kSubmitEverywhere},
                                         {5, Step::kRetry},
                                         {3, Step::kPartition},
                                         {2, Step::kCrash},
                                         {1, Step::kKill},
                                         {1, Step::kKillSilently},
                                         {1, Step::kRestart},
                                         {1, Step::kHeal},
                                         {1, Step::kSilence},
                                         {1, Step::kFreeze},
                                         {1, Step::kLeave},
                                         {1, Step::kPlatformLosesAnswers},
                                         {1, Step::kPlatformSlow},
                                         {1, Step::kPlatformOutage}});
  const auto wait = rc::gen::weightedOneOf<uint16_t>(
      {{2, rc::gen::inRange<uint16_t>(0, 20)},
       {2, rc::gen::inRange<uint16_t>(0, 300)},
       {3, rc::gen::inRange<uint16_t>(1000, 3500)}});
  return rc::gen::map(StepOf(kind, wait), [](Step step) {
    // Only non-repeatable work is claimed.
    const bool submits =
        step.kind == Step::kSubmit || step.kind == Step::kSubmitEverywhere;
    step.argument += submits && step.argument % 3 == 0 ? 2 : 0;
    return step;
  });
}

/// Runs sequences of generated steps until one violates a guarantee.
///
/// @param name the name of the property, for the output
bool CheckProperty(const char* name,
                   const std::function<rc::Gen<Step>()>& any_step) {
  return rc::check(name, [&any_step] {
    const uint64_t seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
    const auto steps = *rc::gen::container<std::vector<Step>>(any_step());
    const std::string violation = RunSteps(seed, steps);
    if (!violation.empty()) {
      RC_FAIL(violation);
    }
  });
}

}  // namespace

// Entries are partitioned, killed, frozen and restarted while a caller retries
// its key on every side, with the platform up, slow, down or losing answers.
// Each side may consider the other lost, which must not lead to a second run.
BOOST_AUTO_TEST_CASE(KeysRunOnceAroundPartitions) {
  BOOST_TEST(CheckProperty("keys run once around partitions",
                           AnyStepAroundPartitions));
}

// Arbitrary sequences of requests, configuration changes and faults. No request
// may run twice or get a wrong outcome, and after the faults every caller must
// get an outcome and the entries must agree on the configuration.
BOOST_AUTO_TEST_CASE(PromisesHoldUnderAnyFaults) {
  if (const char* steps = std::getenv("FUZZ_PLAY")) {
    // Replays printed steps: FUZZ_SEED=N FUZZ_PLAY="submit(0,1,8), ..."
    const char* seed = std::getenv("FUZZ_SEED");
    const std::string violation =
        RunSteps(seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10),
                 ParseSteps(steps));
    BOOST_TEST(violation == "");
    return;
  }
  BOOST_TEST(CheckProperty("promises hold under any faults", AnyStep));
}

}  // namespace lavenderkeel::fuzz
