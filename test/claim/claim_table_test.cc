#include "lavenderkeel/claim/claim_table.h"

#include <boost/test/unit_test.hpp>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

struct Holder {
  fuzz::VirtualClock clock;
  bool met = true;
  ClaimTable table{{}, clock, [this](const RequestKey&) { return met; }};
  std::mt19937_64 random{1};

  RequestKey KeySentNow() { return RequestKey::Mint(clock.WallNow(), random); }
};

Claim ClaimOf(const std::string& entry) {
  return {.owner = {.instance = entry, .incarnation = 1}, .body_hash = 7};
}

}  // namespace

BOOST_AUTO_TEST_CASE(VouchesOnlyForKeysSentSinceItCould) {
  Holder holder;
  const RequestKey before = holder.KeySentNow();
  holder.clock.Advance(std::chrono::seconds(5));
  BOOST_TEST(!holder.table.Request(before, ClaimOf("a"), {}).vouched);
  BOOST_TEST(
      holder.table.Request(holder.KeySentNow(), ClaimOf("a"), {}).vouched);
  holder.met = false;
  BOOST_TEST(
      !holder.table.Request(holder.KeySentNow(), ClaimOf("a"), {}).vouched);
}

BOOST_AUTO_TEST_CASE(OnlyTheNamedOwnerIsReplaced) {
  Holder holder;
  const RequestKey key = holder.KeySentNow();
  holder.table.Request(key, ClaimOf("a"), {});
  BOOST_TEST(!holder.table.Request(key, ClaimOf("b"), {}).granted);
  BOOST_TEST(
      !holder.table.Request(key, ClaimOf("b"), ClaimOf("c").owner).granted);
  BOOST_TEST(
      holder.table.Request(key, ClaimOf("b"), ClaimOf("a").owner).granted);
  Claim other_body = ClaimOf("b");
  other_body.body_hash = 8;
  BOOST_TEST(!holder.table.Request(key, other_body, {}).granted);
}

// An entry believes the owner dead, asks the claim's agents and takes it over.
// Meanwhile the owner, which lives, has added an agent that nobody asked: the
// take-over is refused and shows that agent.
BOOST_AUTO_TEST_CASE(TakeOverIsRefusedWhereAnAgentWasNotAsked) {
  Holder holder;
  const RequestKey key = holder.KeySentNow();
  Claim claim = ClaimOf("a");
  claim.agents = {{.instance = "agent-1", .incarnation = 1}};
  holder.table.Request(key, claim, {});
  Claim taken = ClaimOf("b");
  taken.agents = holder.table.Lookup(key).claim.agents;
  claim.agents = {{.instance = "agent-2", .incarnation = 1}};
  holder.table.Request(key, claim, {});
  const ClaimTable::Answer refused =
      holder.table.Request(key, taken, ClaimOf("a").owner);
  BOOST_TEST(!refused.granted);
  BOOST_TEST(refused.claim.agents.size() == 2U);
  taken.agents = refused.claim.agents;
  BOOST_TEST(holder.table.Request(key, taken, ClaimOf("a").owner).granted);
}

// Entries that leave together hand their claims to each other. What a table
// holds already is no news and must not be passed on again; a new owner is.
BOOST_AUTO_TEST_CASE(OnlyNewsOfAClaimChangesTheTable) {
  Holder holder;
  const RequestKey key = holder.KeySentNow();
  Claim claim = ClaimOf("a");
  BOOST_TEST(holder.table.Request(key, claim, {}).changed);
  BOOST_TEST(!holder.table.Request(key, claim, {}).changed);
  BOOST_TEST(!holder.table.Request(key, ClaimOf("b"), {}).changed);
  claim.agents.push_back({.instance = "agent", .incarnation = 1});
  BOOST_TEST(holder.table.Request(key, claim, {}).changed);
  BOOST_TEST(!holder.table.Request(key, claim, {}).changed);
  Claim taken = ClaimOf("b");
  taken.agents = claim.agents;
  BOOST_TEST(holder.table.Request(key, taken, claim.owner).changed);
}

// A holder of the key is silent, so the platform is asked. Until its owner has
// the word nobody may take the claim over, or the key would run for both; and
// never if the platform gave the key to the other side.
BOOST_AUTO_TEST_CASE(ClaimIsConfirmedOnceThePlatformHasDecided) {
  fuzz::VirtualClock clock;
  ClaimTable table(
      {}, clock, [](const RequestKey&) { return true; },
      [](const RequestKey&) { return HolderCoverage::kPlatformDecides; });
  clock.Advance(std::chrono::seconds(5));
  std::mt19937_64 random(1);
  const RequestKey key = RequestKey::Mint(clock.WallNow(), random);
  Claim claim = ClaimOf("a");
  const ClaimTable::Answer first = table.Request(key, claim, {});
  BOOST_TEST(first.vouched);
  BOOST_TEST((first.coverage == HolderCoverage::kPlatformDecides));
  BOOST_TEST(!table.Lookup(key).claim.confirmed);
  claim.confirmed = true;
  table.Request(key, claim, {});
  BOOST_TEST(table.Lookup(key).claim.confirmed);
}

// The holder's own view is full, the claimer's is not: the claim is the
// claimer's to confirm, and a refusal takes back what the holder took for sure.
BOOST_AUTO_TEST_CASE(ClaimerWithALesserViewDecidesOnTheClaim) {
  Holder holder;
  holder.clock.Advance(std::chrono::seconds(5));
  const RequestKey key = holder.KeySentNow();
  Claim claim = ClaimOf("a");
  claim.standing = ClaimStanding::kTentative;
  BOOST_TEST(holder.table.Request(key, claim, {}).vouched);
  BOOST_TEST(!holder.table.Lookup(key).claim.confirmed);
  const RequestKey other = holder.KeySentNow();
  holder.table.Request(other, ClaimOf("a"), {});
  BOOST_TEST(holder.table.Lookup(other).claim.confirmed);
  claim.standing = ClaimStanding::kRefused;
  holder.table.Request(other, claim, {});
  BOOST_TEST(!holder.table.Lookup(other).claim.confirmed);
}

// The table is full and drops a claim early: it may be that of any key up to
// now, so none of them is vouched for any more.
BOOST_AUTO_TEST_CASE(DroppedClaimsAreNotVouchedFor) {
  Holder holder;
  ClaimTable table({.capacity = 2}, holder.clock,
                   [](const RequestKey&) { return true; });
  holder.clock.Advance(std::chrono::seconds(5));
  const RequestKey first = holder.KeySentNow();
  table.Request(first, ClaimOf("a"), {});
  table.Request(holder.KeySentNow(), ClaimOf("a"), {});
  table.Request(holder.KeySentNow(), ClaimOf("a"), {});
  BOOST_TEST(!table.Request(first, ClaimOf("b"), {}).vouched);
}

}  // namespace lavenderkeel
