#include "lavenderkeel/claim/claim_table.h"

#include <boost/test/unit_test.hpp>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

struct Holder {
  fuzz::VirtualClock clock;
  bool knows_every_claim = true;
  ClaimTable table{{}, clock, [this](const RequestKey&) {
                     return knows_every_claim;
                   }};
  std::mt19937_64 random{1};

  RequestKey KeySentNow() { return RequestKey::Mint(clock.WallNow(), random); }
};

Claim ClaimOf(const std::string& entry) {
  return {.owner = {.instance = entry, .incarnation = 1}, .body_hash = 7};
}

}  // namespace

// Guards against a second run: a holder calls a key unused although an earlier
// claim on it may have been stored elsewhere.
BOOST_AUTO_TEST_CASE(VouchesOnlyForKeysWhoseClaimsItKnows) {
  Holder holder;
  const RequestKey before = holder.KeySentNow();
  holder.clock.Advance(std::chrono::seconds(5));
  BOOST_TEST(!holder.table.Request(before, ClaimOf("a"), {}).vouched);
  BOOST_TEST(
      holder.table.Request(holder.KeySentNow(), ClaimOf("a"), {}).vouched);
  holder.knows_every_claim = false;
  BOOST_TEST(
      !holder.table.Request(holder.KeySentNow(), ClaimOf("a"), {}).vouched);
}

// Guards against a claim that is taken from an owner that was not asked, or for
// another body.
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

// Guards against a second run when an entry takes over the claim of an owner
// that it counts as lost: the owner is still running and has meanwhile added an
// agent that was not asked. The take-over is refused and returns that agent.
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

// Guards against endless hand-overs between entries that leave together and
// hand their claims to each other. A claim that the table holds already must
// not be passed on again; a new owner must.
BOOST_AUTO_TEST_CASE(OnlyNewInformationChangesAClaim) {
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

// A holder of the key is without contact, so the platform decides. If another
// entry could take the claim over before its owner has the decision, or after
// the platform refused the owner, the request would run for both.
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

// The holder's view is full and the claimer's is not: only the claimer confirms
// the claim, and a refusal revokes a claim that the holder had confirmed.
BOOST_AUTO_TEST_CASE(ClaimerWithoutFullCoverageConfirmsTheClaim) {
  Holder holder;
  holder.clock.Advance(std::chrono::seconds(5));
  const RequestKey key = holder.KeySentNow();
  Claim claim = ClaimOf("a");
  claim.status = ClaimStatus::kTentative;
  BOOST_TEST(holder.table.Request(key, claim, {}).vouched);
  BOOST_TEST(!holder.table.Lookup(key).claim.confirmed);
  const RequestKey other = holder.KeySentNow();
  holder.table.Request(other, ClaimOf("a"), {});
  BOOST_TEST(holder.table.Lookup(other).claim.confirmed);
  claim.status = ClaimStatus::kRefused;
  holder.table.Request(other, claim, {});
  BOOST_TEST(!holder.table.Lookup(other).claim.confirmed);
}

// A full table drops a claim early. The claim may belong to any key first sent
// before now, so none of these keys is vouched for any more.
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
