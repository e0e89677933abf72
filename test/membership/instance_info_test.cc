#include "lavenderkeel/membership/instance_info.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "test/fakes/unreadable_json.h"

namespace lavenderkeel {

// Guards against one unreadable instance that hides all others.
BOOST_AUTO_TEST_CASE(UnreadableInstanceHidesNoOther) {
  const InstanceInfo sound = {.id = {.instance = "entry-1", .incarnation = 7},
                              .role = Role::kEntry,
                              .data_centre = "here",
                              .address = "10.0.0.1:80"};
  for (const std::string& value : fakes::UnreadableValues()) {
    for (const std::string& item :
         {value, R"({"instance":)" + value + "}",
          R"({"instance":"a","role":"agent","address":)" + value + "}"}) {
      std::string text = R"({"instances":[)";
      text.append(item)
          .append(",")
          .append(RegistrationBody(sound))
          .append(",")
          .append(item)
          .append("]}");
      const auto list = Catch([&] { return ParseInstanceList(text); });
      BOOST_REQUIRE_MESSAGE(list, item);
      BOOST_TEST(list.value->unreadable == 2U, item);
      BOOST_TEST((list.value->instances == std::vector{sound}), item);
    }
  }
}

// Guards against a list that ends early and seems to have no more instances.
BOOST_AUTO_TEST_CASE(IncompleteInstanceListIsRejected) {
  for (const std::string text :
       {R"({"instances":[{},{)", R"({"instances":7})", "{}", "[]", ""}) {
    BOOST_TEST(!Catch([&] { return ParseInstanceList(text); }), text);
  }
}

}  // namespace lavenderkeel
