#include <boost/test/unit_test.hpp>
#include <set>

#include "lavenderkeel/crash.h"

namespace lavenderkeel {

// Guards against equal fingerprints of different requests.
BOOST_AUTO_TEST_CASE(EachPartChangesTheFingerprint) {
  const RequestIdentity request = {.team = "board",
                                   .method = "POST",
                                   .host = "h",
                                   .target = "/tag/1",
                                   .body = "letter"};
  std::set<RequestFingerprint> all = {FingerprintOf(request)};
  for (std::string_view RequestIdentity::*part :
       {&RequestIdentity::team, &RequestIdentity::method,
        &RequestIdentity::host, &RequestIdentity::target,
        &RequestIdentity::body}) {
    RequestIdentity other = request;
    other.*part = "other";
    all.insert(FingerprintOf(other));
  }
  // The boundary between two parts counts too.
  RequestIdentity shifted = request;
  shifted.host = "h/tag";
  shifted.target = "/1";
  all.insert(FingerprintOf(shifted));
  BOOST_TEST(all.size() == 7U);
  BOOST_TEST(FingerprintOf(request) == FingerprintOf(RequestIdentity(request)));
}

}  // namespace lavenderkeel
