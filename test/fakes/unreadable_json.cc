#include "test/fakes/unreadable_json.h"

namespace lavenderkeel::fakes {

namespace {

std::string Nested(size_t depth) {
  std::string text(depth, '[');
  return text.append(depth, ']');
}

}  // namespace

std::vector<std::string> UnreadableValues() {
  constexpr size_t kDigits = 400;
  constexpr size_t kDepth = 5000;
  return {R"("\udcff")",   R"("\ud800 \udc00")", "\"a\x01z\"",
          "\"a\nz\"",      "\"\xff\xfe\"",       R"("\x")",
          "1e99999999999", "-1e99999999999",     std::string(kDigits, '9'),
          "NaN",           "-Infinity",          "nul",
          "[1}",           Nested(kDepth),       R"({"a":1,"a":2})"};
}

}  // namespace lavenderkeel::fakes
