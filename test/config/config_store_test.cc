#include "lavenderkeel/config/config_store.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

ConfigDocument SampleDocument() {
  ConfigDocument document;
  document.base.tiers = {{.name = "collection"}};
  document.base.presets = {{.name = "ordinary"}, {.name = "peak"}};
  document.base.initial_preset = "ordinary";
  return document;
}

}  // namespace

// Heads arrive in any order, from slow peers and stale reads. The version in
// force never decreases, and the highest one stays.
RC_BOOST_PROP(VersionNeverDecreases, (const std::vector<uint8_t>& versions)) {
  const EventLog log;
  ConfigStore store(log);
  const ShardedConfig sharded = SplitIntoShards(SampleDocument());
  uint64_t highest = 0;
  for (const uint8_t version : versions) {
    ConfigHead head{.version = version,
                    .preset = version % 2 == 0 ? "ordinary" : "peak",
                    .base = sharded.base.name};
    store.OfferHead(head);
    store.AddShard(sharded.base.name, sharded.base.body);
    highest = std::max<uint64_t>(highest, version);
    RC_ASSERT(store.version() == highest);
  }
}

// A peer sends shards that were not requested, or whose name does not match
// their content. They must neither take memory nor come into force.
BOOST_AUTO_TEST_CASE(UnexpectedShardsAreIgnored) {
  const EventLog log;
  ConfigStore store(log);
  const ShardedConfig sharded = SplitIntoShards(SampleDocument());
  store.AddShard(sharded.base.name, sharded.base.body);
  BOOST_TEST(store.FindShard(sharded.base.name) == nullptr);
  store.OfferHead({.version = 1, .preset = "peak", .base = sharded.base.name});
  store.AddShard(sharded.base.name, sharded.base.body + " ");
  BOOST_TEST(store.version() == 0U);
}

}  // namespace lavenderkeel
