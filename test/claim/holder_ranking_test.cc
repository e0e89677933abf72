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
  HolderRanking ranking{std::chrono::seconds(1)};
  for (int i = 0; i < 6; ++i) {
    ranking.SetPresent(Entry(i));
  }
  const RequestKey key = KeySent(noise);
  const std::vector<std::string> holders = ranking.Holders(key);
  for (const uint8_t which : lost) {
    // Restarted, or gone for good.
    ranking.SetLost(Entry(which % 6), kAfter);
    if (which >= 128) {
      ranking.SetPresent(Entry(which % 6, 2));
    }
  }
  for (int i = 0; i < 6; ++i) {
    const std::string& name = Entry(i).instance;
    const bool held = std::ranges::find(holders, name) != holders.end();
    RC_ASSERT(held || !ranking.MetEveryClaim(name, key));
  }
}

BOOST_AUTO_TEST_CASE(LossesBeforeTheKeyDoNotCount) {
  HolderRanking ranking{std::chrono::seconds(1)};
  ranking.SetPresent(Entry(0));
  ranking.SetPresent(Entry(1));
  ranking.SetPresent(Entry(2));
  ranking.SetLost(Entry(0), kSent - std::chrono::seconds(10));
  ranking.SetLost(Entry(1), kSent - std::chrono::seconds(10));
  BOOST_TEST(ranking.MetEveryClaim("entry-2", KeySent(1)));
}

}  // namespace lavenderkeel
