#include "lavenderkeel/dispatch/request_body.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

namespace lavenderkeel {

namespace {

/// Returns the result of a completion with a field beside the usual ones.
ResultCode ParseWith(const std::string& field) {
  const ConfigBase base{.presets = {{.name = "ordinary"}}};
  const Config config({.preset = "ordinary"},
                      std::make_shared<const ConfigBase>(base), {});
  const auto parsed = Catch([&] {
    return internal::ParseEngineBody(
        R"({"model": "m", "prompt": "p", "extra": )" + field + "}",
        /*chat=*/false, config);
  });
  return parsed ? ResultCode::kAnswered : parsed.failure.code;
}

}  // namespace

// Guards against documents whose values take many times their size, and against
// taking the punctuation of a text for values.
BOOST_AUTO_TEST_CASE(DocumentOfTooManyValuesIsRejected) {
  constexpr size_t kMany = 70'000;
  std::string values = "[0";
  std::string text = "\"";
  for (size_t i = 0; i < kMany; ++i) {
    values += ",0";
    text += R"(,:[{\")";
  }
  BOOST_TEST((ParseWith(values + "]") == ResultCode::kWrongType));
  BOOST_TEST((ParseWith(text + "\"") == ResultCode::kAnswered));
  BOOST_TEST((ParseWith("[0,0]") == ResultCode::kAnswered));
}

}  // namespace lavenderkeel
