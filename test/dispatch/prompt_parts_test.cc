#include "lavenderkeel/dispatch/prompt_parts.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace lavenderkeel {

namespace {

std::vector<PromptPartId> PartsOf(const std::string& text) {
  std::vector<PromptPartId> parts;
  internal::AddPromptParts(text, parts);
  return parts;
}

}  // namespace

BOOST_AUTO_TEST_CASE(ParagraphsAreSeparatedByBlankLines) {
  BOOST_TEST(PartsOf("").empty());
  BOOST_TEST(PartsOf("\n\n \n").empty());
  BOOST_TEST(PartsOf("one line\nand the next").size() == 1U);
  BOOST_TEST(PartsOf("first\n\nsecond\n \n\nthird\n").size() == 3U);
}

// Guards against a document that is not recognised in another prompt.
BOOST_AUTO_TEST_CASE(EqualParagraphsHaveTheSameId) {
  const PromptPartId document = PartsOf("a document\nof two lines").front();
  BOOST_TEST(PartsOf("intro\n\na document\nof two lines\n\nend")[1] ==
             document);
  BOOST_TEST(PartsOf("a document \r\nof two lines\r\n\r\nend").front() ==
             document);
  BOOST_TEST(PartsOf("a document of two lines").front() != document);
}

}  // namespace lavenderkeel
