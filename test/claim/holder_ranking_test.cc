#include "lavenderkeel/membership/holder_ranking.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

PeerId Entry(int number, uint64_t incarnation = 1) {
  return {.instance = "entry-" + std::to_string(number),
          .incarnation = incarnation};
}

const WallTime kSent(std::chrono::milliseconds(1'000'000));
const WallTime kStart = kSent - std::chrono::seconds(60);
const WallTime kAfter = kSent + std::chrono::seconds(5);

RequestKey KeySent(uint64_t seed) {
  std::mt19937_64 random(seed);
  return RequestKey::Mint(kSent, random);
}

}  // namespace

// Guards against a second run after both holders of a claim are lost: no entry
// other than the first two may vouch that the key is unused.
RC_BOOST_PROP(OnlyFormerHoldersMayVouch,
              (uint64_t seed, const std::vector<uint8_t>& lost)) {
  HolderRanking ranking({});
  for (int i = 0; i < 6; ++i) {
    ranking.SetPresent(Entry(i), kStart);
  }
  const RequestKey key = KeySent(seed);
  const std::vector<std::string> holders = ranking.Holders(key);
  for (const uint8_t which : lost) {
    // The entry is lost for good, or restarts.
    ranking.SetLost(Entry(which % 6), kAfter);
    if (which >= 128) {
      ranking.SetPresent(Entry(which % 6, 2), kAfter);
    }
  }
  for (int i = 0; i < 6; ++i) {
    const std::string& name = Entry(i).instance;
    const bool held = std::ranges::find(holders, name) != holders.end();
    RC_ASSERT(held || !ranking.KnowsEveryClaim(name, key));
  }
}

// Guards against "unknown" answers to keys first sent after the loss of their
// former holders: a lost entry has no claim on such a key.
BOOST_AUTO_TEST_CASE(LossesBeforeTheKeyDoNotCount) {
  HolderRanking ranking({});
  ranking.SetPresent(Entry(0), kStart);
  ranking.SetPresent(Entry(1), kStart);
  ranking.SetPresent(Entry(2), kStart);
  ranking.SetLost(Entry(0), kSent - std::chrono::seconds(10));
  ranking.SetLost(Entry(1), kSent - std::chrono::seconds(10));
  BOOST_TEST(ranking.KnowsEveryClaim("entry-2", KeySent(1)));
}

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

/// Six entries that know each other, as seen by the first of them.
HolderRanking SixEntriesWithSameView() {
  HolderRanking ranking({});
  ranking.SetSelf(Entry(0), kStart);
  for (int i = 1; i < 6; ++i) {
    ranking.SetPresent(Entry(i), kStart);
  }
  for (int i = 1; i < 6; ++i) {
    ranking.SetReport(Entry(i), ranking.KnownEntriesHash());
  }
  return ranking;
}

int NumberOf(const std::string& instance) {
  return instance.back() - '0';
}

}  // namespace

// A holder is lost for good. The platform decides the keys that rank it, all
// other keys are unaffected, and only the other holder knows the claims of
// both.
RC_BOOST_PROP(OneLostHolderLeavesItsKeysToThePlatform, (uint64_t seed)) {
  HolderRanking ranking = SixEntriesWithSameView();
  const RequestKey key = KeySent(seed);
  const std::vector<std::string> holders = ranking.Holders(key);
  const int lost = 1 + static_cast<int>(seed % 5);
  ranking.SetLost(Entry(lost), kSent - 10 * kSecond);
  const bool held =
      std::ranges::find(holders, Entry(lost).instance) != holders.end();
  RC_ASSERT(ranking.Coverage(key) ==
            (held ? HolderCoverage::kPlatformDecides : HolderCoverage::kFull));
  for (int i = 0; i < 6; ++i) {
    const bool beside =
        std::ranges::find(holders, Entry(i).instance) != holders.end();
    RC_ASSERT(i == lost || ranking.IsCoHolderWithLost(Entry(i).instance, key) ==
                               (beside || !held));
  }
}

// Both holders are lost and may have granted the key together without the
// platform, so no entry here can decide it.
RC_BOOST_PROP(TwoLostHoldersLeaveNoCoverage, (uint64_t seed)) {
  HolderRanking ranking = SixEntriesWithSameView();
  const RequestKey key = KeySent(seed);
  for (const std::string& holder : ranking.Holders(key)) {
    ranking.SetLost(Entry(NumberOf(holder)), kSent - 10 * kSecond);
  }
  RC_ASSERT(ranking.Coverage(key) == HolderCoverage::kNone);
}

// Another entry knows one that is unknown here, and may grant the key together
// with the lost holder and without the platform. While views differ, no entry
// can decide the key.
BOOST_AUTO_TEST_CASE(DifferentViewsLeaveNoCoverage) {
  HolderRanking ranking = SixEntriesWithSameView();
  const RequestKey key = KeySent(1);
  const int lost = std::max(NumberOf(ranking.Holders(key).front()),
                            NumberOf(ranking.Holders(key).back()));
  const int other = lost == 1 ? 2 : 1;
  const uint64_t agreed = ranking.KnownEntriesHash();
  ranking.SetLost(Entry(lost), kSent - 10 * kSecond);
  ranking.SetReport(Entry(other), agreed + 1);
  BOOST_TEST((ranking.Coverage(key) == HolderCoverage::kNone));
  ranking.SetReport(Entry(other), agreed);
  BOOST_TEST((ranking.Coverage(key) == HolderCoverage::kPlatformDecides));
}

// The lost entry itself had a different view in its last report, and may grant
// the key together with an entry that is unknown here.
BOOST_AUTO_TEST_CASE(LostEntryWithAnotherViewLeavesNoCoverage) {
  HolderRanking ranking = SixEntriesWithSameView();
  const RequestKey key = KeySent(1);
  const int lost = std::max(NumberOf(ranking.Holders(key).front()),
                            NumberOf(ranking.Holders(key).back()));
  ranking.SetReport(Entry(lost), ranking.KnownEntriesHash() + 1);
  ranking.SetLost(Entry(lost), kSent - 10 * kSecond);
  BOOST_TEST((ranking.Coverage(key) == HolderCoverage::kNone));
}

// An entry that joins after the loss ranks above the lost one, which on its
// side of a partition still counts itself as a holder of the key. With full
// coverage here, the request could be started on both sides.
RC_BOOST_PROP(LaterEntryDoesNotReplaceALostHolder, (uint64_t seed)) {
  HolderRanking ranking = SixEntriesWithSameView();
  const RequestKey key = KeySent(seed);
  const std::vector<std::string> before = ranking.Holders(key);
  const int lost = std::max(NumberOf(before.front()), NumberOf(before.back()));
  ranking.SetLost(Entry(lost), kSent - 20 * kSecond);
  for (int i = 6; i < 9; ++i) {
    ranking.SetPresent(Entry(i), kSent - 10 * kSecond);
  }
  RC_ASSERT(ranking.Coverage(key) != HolderCoverage::kFull);
}

// A lost entry was granted a key by the platform, ran the request and crashed;
// its successor has no record of it. The platform still decides keys older than
// the successor, and no later ones.
BOOST_AUTO_TEST_CASE(PlatformDecidesKeysOlderThanASuccessor) {
  HolderRanking ranking = SixEntriesWithSameView();
  const RequestKey key = KeySent(1);
  const int lost = std::max(NumberOf(ranking.Holders(key).front()),
                            NumberOf(ranking.Holders(key).back()));
  ranking.SetLost(Entry(lost), kSent - 10 * kSecond);
  ranking.SetPresent(Entry(lost, 2), kSent + 5 * kSecond);
  BOOST_TEST((ranking.Coverage(key) == HolderCoverage::kPlatformDecides));
  std::mt19937_64 random(1);
  const RequestKey later = RequestKey::Mint(kSent + 7 * kSecond, random);
  BOOST_TEST((ranking.Coverage(later) == HolderCoverage::kFull));
}

// The entry was only cut off and reconnects with all claims that it granted.
BOOST_AUTO_TEST_CASE(ReconnectedEntryCountsAgain) {
  HolderRanking ranking = SixEntriesWithSameView();
  const RequestKey key = KeySent(1);
  const int lost = std::max(NumberOf(ranking.Holders(key).front()),
                            NumberOf(ranking.Holders(key).back()));
  ranking.SetLost(Entry(lost), kSent - 10 * kSecond);
  ranking.SetPresent(Entry(lost), kSent + 5 * kSecond);
  BOOST_TEST((ranking.Coverage(key) == HolderCoverage::kFull));
}

}  // namespace lavenderkeel
