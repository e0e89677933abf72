#include "lavenderkeel/gate/answer_lines.h"

#include <boost/json.hpp>

namespace lavenderkeel::internal {

namespace json = boost::json;

std::string FormatTextLine(std::string_view text) {
  return json::serialize(json::object{{"text", text}}) + "\n";
}

std::string FormatServiceLine(int status, std::string_view content_type) {
  return json::serialize(
             json::object{{"status", status}, {"content_type", content_type}}) +
         "\n";
}

std::optional<uint64_t> ParseCompletionTokens(std::string_view finish_json) {
  boost::system::error_code error;
  const json::value finish = json::parse(finish_json, error);
  const json::value* count =
      error ? nullptr : finish.find_pointer("/usage/completion_tokens", error);
  if (count == nullptr || !count->is_int64() || count->get_int64() < 0) {
    return std::nullopt;
  }
  return static_cast<uint64_t>(count->get_int64());
}

std::string AddRequestId(const std::string& body,
                         const std::string& request_id) {
  boost::system::error_code error;
  json::value document = json::parse(body, error);
  if (error || !document.is_object()) {
    return body;
  }
  document.get_object()["request_id"] = request_id;
  document.get_object()["stream"] = true;
  return json::serialize(document);
}

}  // namespace lavenderkeel::internal
