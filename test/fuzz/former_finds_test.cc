// Regression tests: shrunk sequences for which the fuzzer found a violation.
#include <boost/test/unit_test.hpp>

#include "test/fuzz/step.h"

namespace lavenderkeel::fuzz {

namespace {

/// A shrunk sequence, and the violation that it caused.
struct Finding {
  const char* violation;
  uint64_t seed;
  const char* steps;
};

void Replay(const Finding& finding) {
  BOOST_TEST(RunSteps(finding.seed, ParseSteps(finding.steps)) == "",
             finding.violation);
}

}  // namespace

// Guards against faults that end in a second start, a wrong outcome or no
// outcome. Each sequence is listed with its violation and cause.
BOOST_AUTO_TEST_CASE(FormerFindsHold) {
  const Finding findings[] = {
      {"retry got 'leaving' although the request ran; a lost holder was "
       "forgotten",
       1,
       "submit(0,1,8), kill(8,0,0), kill(7,0,0), restart(19,0,635), "
       "submit(22,0,1), leave(1,0,44), retry(1,0,0)"},
      {"started twice; an entry vouched for keys from before it was known",
       469817,
       "retry(0,0,521), slow(0,144,86), crash(1,0,2929), submit(0,4,2501), "
       "retry(0,0,201), heal(0,0,1), crash(4,0,251), crash(0,0,0), "
       "retry(0,0,109), retry(0,0,0)"},
      {"started twice; an unconfirmed claim hid the earlier one", 366083,
       "retry(0,0,101), submit(0,1,7), crash(3,0,4), crash(12,3,106), "
       "retry(5,0,5), crash(8,0,0), retry(2,0,0)"},
      {"started twice; an unconfirmed claim hid a simultaneous one", 33352,
       "submit(2,1,1), retry(0,0,0)"},
      {"two callers without an outcome; each entry waited for the other",
       256355,
       "retry(0,0,2), crash(0,3,165), crash(3,0,10), submit(0,1,0), "
       "retry(26,0,0)"},
      {"'no_server' although the request ran; a new entry assumed that it was "
       "the only one",
       380681,
       "submit(0,0,0), slow(0,100,0), submit(0,0,0), crash(2,0,0), "
       "submit(0,0,902), submit(0,1,0), retry(0,0,1451), submit(0,0,0), "
       "heal(0,0,0), crash(0,0,815), submit(0,0,4), retry(14,57,0)"},
      {"'deadline_passed' although the lookup ran at a lost agent before",
       318615, "submit(0,1,79), submit(0,117,0), submit(0,0,9), crash(4,0,0)"},
      {"no outcome; a preempted lookup stayed assigned to its first entry", 1,
       "burst(0,0,2), retry(1,0,0), burst(0,1,11), crash(0,0,0)"},
      {"no outcome; a killed entry's reservations held every slot", 150905,
       "burst(10,1,15), crash(12,0,0), submit(0,0,0)"},
      {"'deadline_passed' although the request ran; its entry was frozen "
       "meanwhile",
       342433, "submit(2,37,5), freeze(22,100,0), retry(0,0,0)"},
      {"'no_server' although the request ran; its entry was considered lost "
       "meanwhile",
       145921,
       "submit(0,0,0), submit(0,0,0), submit(0,0,0), crash(26,0,10), "
       "freeze(1,39,0), submit(0,1,7), retry(0,0,1501), submit(0,1,18), "
       "retry(10,144,0)"},
      {"started twice; two partitioned entries queried the same agents", 761948,
       "partition(0,38,1793), burst(0,11,2), retry(15,1,7), "
       "silence(4,0,1014)"},
      {"'no_server' although the request ran; an entry without a link to any "
       "agent queried none",
       210204,
       "partition(4,20,0), crash(4,0,127), partition(0,94,0), "
       "submit(0,0,2451), submit(0,2,1644), retry(3,3,0)"},
      {"started twice; two entries that started together did not know each "
       "other, and one vouched",
       660572,
       "slow(0,3,0), submit(0,0,0), crash(3,0,0), crash(8,0,0), "
       "retry(0,0,1188), submit(0,0,4), submit(0,0,950), retry(0,0,2721), "
       "burst(27,1,0), retry(13,34,0)"},
      {"started twice; 'not run' from before a takeover was passed on", 829350,
       "crash(23,31,0), submit(0,0,2), submit(0,1,0), retry(0,0,567), "
       "submit(0,0,1), retry(0,0,1207), freeze(0,78,0), retry(3,46,0), "
       "retry(0,0,888), submit(0,1,2), submit(0,0,2817), submit(0,0,128), "
       "submit(0,0,155), crash(20,0,0), submit(0,0,0), submit(0,0,0), "
       "submit(0,0,0), crash(4,0,0), submit(0,0,0), retry(0,0,88), "
       "retry(3,12,0)"},
      {"no outcome; an answer was not read again after a refused go", 120431,
       "kill(0,0,6), retry(0,0,228), crash(0,0,0), crash(18,0,0), "
       "retry(0,0,1170), burst(0,1,0), retry(23,8,0)"},
  };
  for (const Finding& finding : findings) {
    Replay(finding);
  }
}

// Guards against an endless loop of refused go messages. A lookup runs for a
// caller at one entry whose link to the agent stalls and recovers. The entry
// requests the answer and, in the same message, has the agent refuse the key to
// all other entries; meanwhile the lookup has been preempted by a check. A
// second entry has the same lookup for another caller: its go is refused
// (go_refused result=sealed), it reserves again, gets the next slot and is
// refused again, 29,831 times in four minutes, and the caller never gets an
// outcome.
BOOST_AUTO_TEST_CASE(LookupOfTwoEntriesEndsAfterLinkRecovery) {
  Replay({"no outcome; a lookup was refused endlessly", 11189,
          "submit(7,117,273), submit(0,0,864), slow-engine(0,0,101), "
          "submit(0,4,2), restart(0,0,2068), silence(29,18,0), "
          "retry(0,0,59), submit(0,178,35), submit(0,1,27), "
          "retry(5,0,181)"});
}

// The whole fleet shuts down gracefully within a few milliseconds. Each entry
// hands its claims over to other entries, which are leaving too and forward
// each copy to two more. One claim causes tens of thousands of messages in a
// second; entries slow down and run out of memory instead of stopping.
BOOST_AUTO_TEST_CASE(AllEntriesLeaveAtOnce) {
  Replay({"one claim handed over endlessly", 1,
          "submit(0,1,0), leave(0,0,0), leave(1,0,0), leave(6,0,45)"});
}

// A key waits at an entry whose agents are unreachable. A second entry, which
// has just started and is partitioned from the first, learns of the claim, has
// those agents refuse the key, takes the key over and runs it. As a holder the
// second entry can't vouch, so it stored its own claim as doubtful. The first
// entry, reachable again, queried that holder before it sent the key to another
// agent, and started the key a second time.
BOOST_AUTO_TEST_CASE(TakenOverKeyIsNotStartedByItsFormerOwner) {
  Replay({"started twice; a takeover was stored as doubtful", 768875,
          "silence(0,8,206), retry(0,0,1036), slow(0,88,2716), "
          "retry(0,0,251), partition(21,0,215), crash(16,3,1603), "
          "heal(0,0,0), partition(3,68,46), retry(0,0,1001), "
          "crash(21,3,2312), partition(20,167,4), "
          "submit-everywhere(1,2,42), outage(0,0,0), retry(0,0,2491)"});
}

// A key waits at an entry that is partitioned from one of its holders. An entry
// that considers the owner lost has the agents of the claim refuse the key,
// takes the key over and runs it. Meanwhile the owner claims further agents,
// which were not queried, at the holders on its side and with the platform's
// consent. The key is started twice, or reported as not run (no_server)
// although it ran.
BOOST_AUTO_TEST_CASE(PartitionedOwnerUsesOnlyTheAgentsOfItsClaim) {
  const Finding findings[] = {
      {"started twice; the claim named no agents", 93983,
       "kill(28,0,1423), freeze(8,68,1), leave(23,0,0), kill(0,0,1352), "
       "heal(0,0,1), submit-everywhere(0,2,1251), freeze(9,71,0)"},
      {"ran, but its caller received no_server", 171641,
       "retry(0,0,9), kill-silently(13,0,209), partition(0,97,5), "
       "crash(17,15,2699), partition(24,0,1744), lose(0,0,1), "
       "partition(0,0,170), submit(0,2,214), submit-everywhere(5,2,1903), "
       "retry(0,0,2956), lose(0,0,2623)"},
  };
  for (const Finding& finding : findings) {
    Replay(finding);
  }
}

// A key waits at an entry. A second entry, which is partitioned only from the
// first, considers the first lost, learns of the claim from a holder that both
// reach, takes the key over and runs it. The first entry gives the key up and
// reports it as not run (no_server, deadline_passed) although it ran.
BOOST_AUTO_TEST_CASE(WaitingKeyIsNotReportedNotRunAfterATakeover) {
  const Finding findings[] = {
      {"ran, but its caller received no_server", 319349,
       "partition(17,76,1635), retry(0,0,1214), partition(19,146,1355), "
       "submit-everywhere(0,2,1651), restart(0,0,2546), retry(0,0,2394)"},
      {"ran, but its caller received deadline_passed", 411653,
       "kill-silently(6,0,3472), crash(16,0,0), partition(17,138,1000), "
       "retry(0,0,171), restart(0,0,1151), crash(0,0,259), "
       "partition(18,194,1), retry(0,0,1103), partition(0,0,1382), "
       "submit-everywhere(15,61,237), submit-everywhere(0,2,295)"},
  };
  for (const Finding& finding : findings) {
    Replay(finding);
  }
}

// An entry claims a key at one holder; the other holder has a claim from the
// other side of a partition that the platform did not grant. The entry crashes
// while it queries the platform. Two entries learn of its claim from the first
// holder and both take it over: the second holder grants the key to neither, so
// nothing arbitrates between them.
BOOST_AUTO_TEST_CASE(ContestedKeyIsTakenOverOnce) {
  Replay({"started twice by two entries that took it over", 394739,
          "crash(4,0,216), slow(0,126,1655), partition(23,101,1), "
          "restart(0,0,1), lose(0,0,2504), submit-everywhere(1,140,1651), "
          "retry(0,0,2752), submit-everywhere(10,2,197), crash(3,0,4)"});
}

// An entry reports a key as not run (deadline_passed), and so does a second
// entry at which the caller retries; the second entry queries the agents and
// takes the key over. The caller also retries at the first entry, which the
// holders still name as the owner. While the first entry waited for the
// platform, the second started the key, and the first reported it as not run
// (no_server) although it ran.
BOOST_AUTO_TEST_CASE(KeyDuringTakeoverIsNotReportedNotRunByItsFormerOwner) {
  Replay({"ran, but its caller received no_server", 212711,
          "heal(0,0,184), partition(7,0,1), partition(28,44,1782), "
          "partition(20,11,1251), submit(14,29,1016), retry(0,0,1), "
          "retry(2,0,0)"});
}

// A caller retries a key at other entries after some of them were partitioned,
// crashed and restarted. Two entries each learn of no other entry that has the
// key, vouch for it and start it, so the request runs twice.
BOOST_AUTO_TEST_CASE(KeyRunsOnceAfterPartitionsAndCrashes) {
  const Finding findings[] = {
      {"started twice after two partitions and two crashes", 660572,
       "slow(0,3,0), partition(22,5,0), submit(0,0,0), crash(3,0,0), "
       "crash(8,0,31), retry(0,0,858), submit(0,0,0), slow(0,32,207), "
       "partition(8,44,4), submit(1,1,903), retry(0,0,1353), burst(27,1,0), "
       "retry(13,34,0)"},
      {"started twice after a partition, a kill and a crash of the agent", 1,
       "submit(0,31,1019), partition(1,0,61), retry(0,0,1251), "
       "retry(1,0,1977), submit(0,10,3), kill-silently(14,0,36), "
       "retry(11,0,2690), retry(0,0,177), lose(0,0,428), retry(0,3,9), "
       "crash(3,0,166), retry(0,0,251), submit(11,0,1), submit(0,0,912), "
       "retry(0,0,912), retry(4,5,0)"},
      {"started twice by two entries that restarted while partitioned", 653943,
       "partition(1,96,102), crash(29,12,2152), crash(3,38,171), "
       "crash(16,33,159), retry(11,66,2826), partition(0,146,237), "
       "preset(14,17,1727), retry(24,96,23), submit(3,23,914), "
       "retry(6,155,920)"},
  };
  for (const Finding& finding : findings) {
    Replay(finding);
  }
}

// Guards against an owner that reports a key as not run although the key ran at
// an entry that was partitioned from the owner and has been replaced by the
// time the owner gives the key up.
BOOST_AUTO_TEST_CASE(ReplacedEntryMayHaveRunAWaitingKey) {
  Replay(
      {"'no_server' although the request ran at an entry that has left since",
       482998,
       "lose(0,0,1104), partition(12,0,1409), partition(0,74,3224), "
       "lose(0,0,48), slow(0,3,137), partition(0,133,0), "
       "submit-everywhere(0,2,0), retry(0,0,1000), "
       "submit-everywhere(0,2,1763), leave(27,0,1562), kill(4,0,3272)"});
}

}  // namespace lavenderkeel::fuzz
