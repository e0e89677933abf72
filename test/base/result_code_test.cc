#include "lavenderkeel/base/result_code.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

namespace lavenderkeel {

// Guards against a table and docs/RESULT_CODES.md that differ: the page has a
// row for each code.
BOOST_AUTO_TEST_CASE(ResultCodePageMatchesTheTable) {
  std::ifstream file(std::string(LAVENDERKEEL_SOURCE_DIR) +
                     "/docs/RESULT_CODES.md");
  std::ostringstream page;
  page << file.rdbuf();
  for (const ResultCodeInfo& info : ResultCodeTable()) {
    std::ostringstream row;
    row << "| " << static_cast<uint32_t>(info.code) << " | " << info.name
        << " | " << OutcomeName(info.outcome) << " | " << info.http_status
        << " | " << info.message << " |\n";
    BOOST_TEST(page.str().find(row.str()) != std::string::npos, row.str());
  }
}

BOOST_AUTO_TEST_CASE(UnknownCodesDoNotMeanNotRun) {
  BOOST_TEST(
      (Describe(static_cast<ResultCode>(987654)).outcome == Outcome::kUnknown));
}

}  // namespace lavenderkeel
