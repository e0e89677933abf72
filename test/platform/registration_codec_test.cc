#include "platform/registration_codec.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace lavenderkeel::hybrid {

namespace {

using State = RegisteredEntry::State;

State Decode(const std::string& status) {
  const auto entry = Catch([&] {
    return DecodeRegistration(
        {.name = "front-1", .revision = 7, .content = "{}", .status = status});
  });
  BOOST_REQUIRE(entry.value.has_value());
  BOOST_TEST(entry.value->name == "front-1");
  BOOST_TEST(entry.value->revision == 7U);
  return entry.value->state;
}

}  // namespace

BOOST_AUTO_TEST_CASE(RegistrationStatesAreDecodedAsEncoded) {
  for (const State state : {State::kNew, State::kSettled, State::kExpiring}) {
    BOOST_TEST((Decode(EncodeRegistrationState(state)) == state));
  }
}

// Guards against an entry that does not count because another writer wrote its
// object.
BOOST_AUTO_TEST_CASE(UnreadableRegistrationCountsAsNewEntry) {
  for (const std::string& status :
       {std::string(), std::string("{"), std::string("[]"), std::string("{}"),
        std::string(R"({"state": 3})"), std::string(R"({"state": "gone"})")}) {
    BOOST_TEST_CONTEXT(status) {
      BOOST_TEST((Decode(status) == State::kNew));
    }
  }
}

}  // namespace lavenderkeel::hybrid
