#include "lavenderkeel/base/event_log.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace lavenderkeel {

namespace {

std::string LineWith(const std::string& value) {
  std::string written;
  const EventLog log(
      [&written](LogLevel, const std::string& line) { written = line; });
  log.Info("e", {{"v", value}});
  return written;
}

}  // namespace

BOOST_AUTO_TEST_CASE(ValuesAreQuotedWhereNeeded) {
  BOOST_TEST(LineWith("a/b\\c") == "event=e v=a/b\\c");
  BOOST_TEST(LineWith("") == "event=e v=\"\"");
  BOOST_TEST(LineWith("a \"b\"") == "event=e v=\"a \\\"b\\\"\"");
}

// Guards against a value of a caller or another writer that forges a line, or
// makes one too long.
BOOST_AUTO_TEST_CASE(ValuesStayWithinOneBoundedLine) {
  BOOST_TEST(LineWith("a\nevent=forged") == "event=e v=\"a event=forged\"");
  BOOST_TEST(LineWith("a\x01\x1b[2J\x7f") == "event=e v=\"a  [2J \"");
  constexpr size_t kValueBytes = size_t{1} << 20;
  constexpr size_t kMaxLineBytes = 5000;
  const std::string line = LineWith(std::string(kValueBytes, 'x'));
  BOOST_TEST(line.size() < kMaxLineBytes);
  BOOST_TEST(line.ends_with("xxx...\""));
}

}  // namespace lavenderkeel
