#include "lavenderkeel/base/request_key.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

RC_BOOST_PROP(ParsedKeyKeepsItsTime, (uint64_t seed)) {
  std::mt19937_64 random(seed);
  const WallTime now(std::chrono::milliseconds(random() >> 20));
  const RequestKey key = RequestKey::Mint(now, random);
  RC_ASSERT(RequestKey::Parse(key.ToString()) == key);
  RC_ASSERT(key.first_sent() == now);
}

RC_BOOST_PROP(TextThatIsNoKeyIsRejected, (const std::string& text)) {
  RC_ASSERT(!RequestKey::Parse(text).has_value());
}

BOOST_AUTO_TEST_CASE(OtherUuidVersionsAreRejected) {
  BOOST_TEST(
      RequestKey::Parse("01890a5d-ac96-774b-bcce-b302099a8057").has_value());
  BOOST_TEST(
      !RequestKey::Parse("01890a5d-ac96-474b-bcce-b302099a8057").has_value());
  BOOST_TEST(
      !RequestKey::Parse("01890a5d-ac96-774b-0cce-b302099a8057").has_value());
}

}  // namespace lavenderkeel
