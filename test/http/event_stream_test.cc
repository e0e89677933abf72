#include "lavenderkeel/http/event_stream.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

// Guards against forwarding a part of an event when a server stops in the
// middle of it: a run that is resumed on another server must continue after the
// last complete event.
BOOST_AUTO_TEST_CASE(OnlyCompleteEventsAreReturned) {
  EventStreamReader reader;
  reader.Feed("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda");
  const auto first = reader.Next();
  const auto second = reader.Next();
  BOOST_REQUIRE(first.has_value());
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(first->id == "1");
  BOOST_TEST(first->bytes == "id: 1\ndata: a\n\n");
  BOOST_TEST(second->id == "2");
  BOOST_TEST(!reader.Next().has_value());
  BOOST_TEST(reader.has_incomplete_event());
}

BOOST_AUTO_TEST_CASE(EventsDoNotDependOnHowBytesAreSplit) {
  BOOST_TEST(rc::check([] {
    std::string stream;
    const int count = *rc::gen::inRange(0, 20);
    for (int i = 1; i <= count; ++i) {
      stream += "id: " + std::to_string(i) + "\ndata: x\n\n";
    }
    const std::string whole = stream;
    EventStreamReader reader;
    std::string passed;
    int last = 0;
    while (!stream.empty()) {
      const size_t length =
          *rc::gen::inRange<size_t>(1, std::min<size_t>(stream.size(), 30) + 1);
      reader.Feed(stream.substr(0, length));
      stream.erase(0, length);
      while (const auto event = reader.Next()) {
        RC_ASSERT(event->id == std::to_string(++last));
        passed += event->bytes;
      }
    }
    RC_ASSERT(last == count);
    RC_ASSERT(passed == whole);
    RC_ASSERT(!reader.has_incomplete_event());
  }));
}

}  // namespace lavenderkeel
