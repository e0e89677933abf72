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

std::vector<std::string> OddValues() {
  std::vector<std::string> values = UnreadableValues();
  for (const char* number : {"-1",
                             "0",
                             "0.5",
                             "1e308",
                             "-1e308",
                             "1e400",
                             "1e-400",
                             "65536",
                             "2147483647",
                             "2147483648",
                             "4294967296",
                             "9223372036854775807",
                             "9223372036854775808",
                             "-9223372036854775808",
                             "18446744073709551615",
                             "18446744073709551616",
                             "true",
                             "null",
                             "{}",
                             "\"\""}) {
    values.emplace_back(number);
  }
  for (const char* address :
       {"127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:-1",
        "127.0.0.1:+80", "127.0.0.1:65536", "127.0.0.1:99999999999999999999",
        "127.0.0.1:80 ", "127.0.0.1:8\\r\\nX: y", ":80", "localhost:80",
        "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "[::]:80",
        "[::1]:65536", "[127.0.0.1]:80"}) {
    values.push_back('"' + std::string(address) + '"');
  }
  for (const size_t depth :
       {size_t{31}, size_t{32}, size_t{33}, size_t{100000}}) {
    values.push_back(Nested(depth));
    std::string objects;
    for (size_t i = 0; i < depth; ++i) {
      objects += R"({"a":)";
    }
    values.push_back(objects + "1" + std::string(depth, '}'));
  }
  return values;
}

}  // namespace lavenderkeel::fakes
