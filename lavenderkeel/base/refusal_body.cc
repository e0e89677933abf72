#include "lavenderkeel/base/refusal_body.h"

#include <boost/json.hpp>

namespace lavenderkeel {

namespace json = boost::json;

std::string RefusalBody(ResultCode code,
                        std::string_view message,
                        Duration retry_after) {
  const ResultCodeInfo& info = Describe(code);
  return json::serialize(json::object{
      {"error",
       json::object{{"code", static_cast<uint32_t>(code)},
                    {"name", info.name},
                    {"outcome", OutcomeName(info.outcome)},
                    {"message", message},
                    {"retry_after_ms", ToMilliseconds(retry_after)}}}});
}

}  // namespace lavenderkeel
