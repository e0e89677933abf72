#include "lavenderkeel/membership/coordinators.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iterator>
#include <string>
#include <vector>

namespace lavenderkeel {

namespace {

std::vector<InstanceInfo> Entries(int count, int strong) {
  std::vector<InstanceInfo> all;
  all.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    all.push_back({.id = {.instance = "entry-" + std::to_string(i)},
                   .processor_share = i < strong ? 0.5 : 0.09});
  }
  return all;
}

}  // namespace

BOOST_AUTO_TEST_CASE(SmallFleetOfEqualsHasOnlyCoordinators) {
  BOOST_TEST(ChooseCoordinators(Entries(1, 0), {}).size() == 1U);
  BOOST_TEST(ChooseCoordinators(Entries(4, 0), {}).size() == 4U);
}

BOOST_AUTO_TEST_CASE(CoordinatorsGrowWithTheSquareRootOfTheFleet) {
  BOOST_TEST(ChooseCoordinators(Entries(16, 0), {}).size() == 6U);
  BOOST_TEST(ChooseCoordinators(Entries(100, 0), {}).size() == 12U);
}

BOOST_AUTO_TEST_CASE(LargeFleetDoesNotExceedTheMaximum) {
  BOOST_TEST(ChooseCoordinators(Entries(300, 0), {}).size() == 16U);
}

BOOST_AUTO_TEST_CASE(EntriesWithALargeShareAreChosen) {
  const std::set<std::string> chosen = ChooseCoordinators(Entries(103, 15), {});
  BOOST_TEST(chosen.size() == 13U);
  for (const std::string& name : chosen) {
    BOOST_TEST(std::stoi(name.substr(name.find('-') + 1)) < 15);
  }
}

// If a single strong entry were the only coordinator, its crash would end all
// slot schedulers.
BOOST_AUTO_TEST_CASE(WeakEntriesMakeUpForTooFewStrongOnes) {
  const std::set<std::string> chosen = ChooseCoordinators(Entries(30, 1), {});
  BOOST_TEST(chosen.size() == 4U);
  BOOST_TEST(chosen.contains("entry-0"));
}

BOOST_AUTO_TEST_CASE(LossOfACoordinatorAddsOneOther) {
  std::vector<InstanceInfo> all = Entries(60, 0);
  const std::set<std::string> before = ChooseCoordinators(all, {});
  std::erase_if(all, [&](const InstanceInfo& info) {
    return info.id.instance == *before.begin();
  });
  const std::set<std::string> after = ChooseCoordinators(all, {});
  std::vector<std::string> stayed;
  std::ranges::set_intersection(before, after, std::back_inserter(stayed));
  BOOST_TEST(stayed.size() == 9U);
  BOOST_TEST(after.size() == 10U);
}

}  // namespace lavenderkeel
