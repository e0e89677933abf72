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

RequestKey KeySent(uint64_t noise) {
  std::mt19937_64 random(noise);
  return RequestKey::Mint(kSent, random);
}

}  // namespace

// The claim was made at the first two. Whoever is lost afterwards, no entry
// outside those two may vouch that the key is unused.
RC_BOOST_PROP(OnlyFormerHoldersMayVouch,
              (uint64_t noise, const std::vector<uint8_t>& lost)) {
  HolderRanking ranking({});
  for (int i = 0; i < 6; ++i) {
    ranking.SetPresent(Entry(i), kStart);
  }
  const RequestKey key = KeySent(noise);
  const std::vector<std::string> holders = ranking.Holders(key);
  for (const uint8_t which : lost) {
    // Restarted, or gone for good.
    ranking.SetLost(Entry(which % 6), kAfter);
    if (which >= 128) {
      ranking.SetPresent(Entry(which % 6, 2), kAfter);
    }
  }
  for (int i = 0; i < 6; ++i) {
    const std::string& name = Entry(i).instance;
    const bool held = std::ranges::find(holders, name) != holders.end();
    RC_ASSERT(held || !ranking.MetEveryClaim(name, key));
  }
}

BOOST_AUTO_TEST_CASE(LossesBeforeTheKeyDoNotCount) {
  HolderRanking ranking({});
  ranking.SetPresent(Entry(0), kStart);
  ranking.SetPresent(Entry(1), kStart);
  ranking.SetPresent(Entry(2), kStart);
  ranking.SetLost(Entry(0), kSent - std::chrono::seconds(10));
  ranking.SetLost(Entry(1), kSent - std::chrono::seconds(10));
  BOOST_TEST(ranking.MetEveryClaim("entry-2", KeySent(1)));
}

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

/// Six entries that count each other, as the first of them sees it.
HolderRanking SixThatAgree() {
  HolderRanking ranking({});
  ranking.SetSelf(Entry(0), kStart);
  for (int i = 1; i < 6; ++i) {
    ranking.SetPresent(Entry(i), kStart);
  }
  for (int i = 1; i < 6; ++i) {
    ranking.SetReport(Entry(i), ranking.KnownEntries());
  }
  return ranking;
}

int NumberOf(const std::string& instance) {
  return instance.back() - '0';
}

}  // namespace

// A holder is lost for good. The keys that rank it are the platform's to
// decide, all others are as before, and only the other holder is a witness.
RC_BOOST_PROP(OneLostHolderLeavesItsKeysToThePlatform, (uint64_t noise)) {
  HolderRanking ranking = SixThatAgree();
  const RequestKey key = KeySent(noise);
  const std::vector<std::string> holders = ranking.Holders(key);
  const int lost = 1 + static_cast<int>(noise % 5);
  ranking.SetLost(Entry(lost), kSent - 10 * kSecond);
  const bool held =
      std::ranges::find(holders, Entry(lost).instance) != holders.end();
  RC_ASSERT(ranking.Coverage(key) ==
            (held ? HolderCoverage::kPlatformDecides : HolderCoverage::kFull));
  for (int i = 0; i < 6; ++i) {
    const bool beside =
        std::ranges::find(holders, Entry(i).instance) != holders.end();
    RC_ASSERT(i == lost || ranking.RanksBesideLost(Entry(i).instance, key) ==
                               (beside || !held));
  }
}

// Both holders are lost: together they may have granted the key without the
// platform, so nobody here can decide it.
RC_BOOST_PROP(TwoLostHoldersLeaveNobodyToDecide, (uint64_t noise)) {
  HolderRanking ranking = SixThatAgree();
  const RequestKey key = KeySent(noise);
  for (const std::string& holder : ranking.Holders(key)) {
    ranking.SetLost(Entry(NumberOf(holder)), kSent - 10 * kSecond);
  }
  RC_ASSERT(ranking.Coverage(key) == HolderCoverage::kNone);
}

// Another entry counts one that we have not heard of. With the lost holder it
// may grant the key without the platform; as long as views differ, nobody
// decides.
BOOST_AUTO_TEST_CASE(DifferentViewsLeaveNobodyToDecide) {
  HolderRanking ranking = SixThatAgree();
  const RequestKey key = KeySent(1);
  const int lost = std::max(NumberOf(ranking.Holders(key).front()),
                            NumberOf(ranking.Holders(key).back()));
  const int other = lost == 1 ? 2 : 1;
  const uint64_t agreed = ranking.KnownEntries();
  ranking.SetLost(Entry(lost), kSent - 10 * kSecond);
  ranking.SetReport(Entry(other), agreed + 1);
  BOOST_TEST((ranking.Coverage(key) == HolderCoverage::kNone));
  ranking.SetReport(Entry(other), agreed);
  BOOST_TEST((ranking.Coverage(key) == HolderCoverage::kPlatformDecides));
}

// The lost one itself counted others than we when it was last heard.
BOOST_AUTO_TEST_CASE(LostEntryWithAnotherViewLeavesNobodyToDecide) {
  HolderRanking ranking = SixThatAgree();
  const RequestKey key = KeySent(1);
  const int lost = std::max(NumberOf(ranking.Holders(key).front()),
                            NumberOf(ranking.Holders(key).back()));
  ranking.SetReport(Entry(lost), ranking.KnownEntries() + 1);
  ranking.SetLost(Entry(lost), kSent - 10 * kSecond);
  BOOST_TEST((ranking.Coverage(key) == HolderCoverage::kNone));
}

// An entry joins after the loss and ranks above the lost one, which on its side
// still takes itself for a holder of the key.
RC_BOOST_PROP(LaterEntryDoesNotTakeTheLostOnesPlace, (uint64_t noise)) {
  HolderRanking ranking = SixThatAgree();
  const RequestKey key = KeySent(noise);
  const std::vector<std::string> before = ranking.Holders(key);
  const int lost = std::max(NumberOf(before.front()), NumberOf(before.back()));
  ranking.SetLost(Entry(lost), kSent - 20 * kSecond);
  for (int i = 6; i < 9; ++i) {
    ranking.SetPresent(Entry(i), kSent - 10 * kSecond);
  }
  RC_ASSERT(ranking.Coverage(key) != HolderCoverage::kFull);
}

// The lost one was alone with a key, had the platform give it to it, ran it and
// died. Its successor is here and has none of it: the key is the platform's
// still, keys from after the successor are not.
BOOST_AUTO_TEST_CASE(KeysFromBeforeASuccessorAreThePlatforms) {
  HolderRanking ranking = SixThatAgree();
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

// It was cut off only and is linked again, with all that it granted.
BOOST_AUTO_TEST_CASE(EntryThatComesBackIsAskedAgain) {
  HolderRanking ranking = SixThatAgree();
  const RequestKey key = KeySent(1);
  const int lost = std::max(NumberOf(ranking.Holders(key).front()),
                            NumberOf(ranking.Holders(key).back()));
  ranking.SetLost(Entry(lost), kSent - 10 * kSecond);
  ranking.SetPresent(Entry(lost), kSent + 5 * kSecond);
  BOOST_TEST((ranking.Coverage(key) == HolderCoverage::kFull));
}

}  // namespace lavenderkeel
