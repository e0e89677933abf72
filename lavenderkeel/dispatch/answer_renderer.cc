#include "lavenderkeel/dispatch/answer_renderer.h"

#include <boost/json.hpp>
#include <utility>

namespace lavenderkeel {

namespace json = boost::json;

namespace {

std::string GetString(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

std::string FormatEvent(const json::object& object) {
  return "data: " + json::serialize(object) + "\n\n";
}

json::value ParseOrNull(const std::string& text) {
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  return error ? json::value() : value;
}

}  // namespace

AnswerRenderer::AnswerRenderer(std::string id, bool stream)
    : id_(std::move(id)), stream_(stream) {}

std::string AnswerRenderer::Consume(std::span<const uint8_t> bytes) {
  std::string out;
  size_t position = 0;
  while (position < bytes.size()) {
    if (in_service_body_) {
      text_.append(bytes.begin() + static_cast<ptrdiff_t>(position),
                   bytes.end());
      break;
    }
    const char c = static_cast<char>(bytes[position]);
    ++position;
    if (c != '\n') {
      line_ += c;
      continue;
    }
    out += ConsumeLine(std::exchange(line_, {}));
  }
  return out;
}

std::string AnswerRenderer::ConsumeLine(const std::string& line) {
  const json::value value = ParseOrNull(line);
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return {};
  }
  if (!has_header_) {
    has_header_ = true;
    const std::string kind = GetString(*object, "kind");
    is_chat_ = kind == "chat";
    is_service_ = kind == "service";
    model_ = GetString(*object, "model");
    return {};
  }
  if (is_service_) {
    in_service_body_ = true;
    complete_ = true;
    const json::value* status = object->if_contains("status");
    status_ = status != nullptr && status->is_int64()
                  ? static_cast<int>(status->get_int64())
                  : 200;
    content_type_ = GetString(*object, "content_type");
    return {};
  }
  if (object->contains("finish_reason")) {
    complete_ = true;
    const json::value* usage = object->if_contains("usage");
    usage_ = usage == nullptr ? "null" : json::serialize(*usage);
    return RenderFinish(GetString(*object, "finish_reason"), usage_);
  }
  return RenderText(GetString(*object, "text"));
}

std::string AnswerRenderer::RenderText(const std::string& text) {
  if (!stream_) {
    text_ += text;
    return {};
  }
  json::object choice{{"index", 0}, {"finish_reason", nullptr}};
  if (is_chat_) {
    choice["delta"] = json::object{{"content", text}};
  } else {
    choice["text"] = text;
  }
  return FormatEvent(
      {{"id", id_},
       {"object", is_chat_ ? "chat.completion.chunk" : "text_completion"},
       {"model", model_},
       {"choices", json::array{std::move(choice)}}});
}

std::string AnswerRenderer::RenderFinish(const std::string& reason,
                                         const std::string& usage_json) {
  finish_reason_ = reason;
  if (!stream_) {
    return {};
  }
  json::object choice{{"index", 0}, {"finish_reason", reason}};
  if (is_chat_) {
    choice["delta"] = json::object();
  } else {
    choice["text"] = "";
  }
  return FormatEvent(
      {{"id", id_},
       {"object", is_chat_ ? "chat.completion.chunk" : "text_completion"},
       {"model", model_},
       {"choices", json::array{std::move(choice)}},
       {"usage", ParseOrNull(usage_json)}});
}

AnswerRenderer::WholeAnswer AnswerRenderer::TakeWholeAnswer() {
  if (is_service_) {
    return {.status = status_,
            .content_type = content_type_,
            .body = std::move(text_)};
  }
  json::object choice{{"index", 0}, {"finish_reason", finish_reason_}};
  if (is_chat_) {
    choice["message"] = json::object{{"role", "assistant"}, {"content", text_}};
  } else {
    choice["text"] = text_;
  }
  json::object answer{
      {"id", id_},
      {"object", is_chat_ ? "chat.completion" : "text_completion"},
      {"model", model_},
      {"choices", json::array{std::move(choice)}},
      {"usage", ParseOrNull(usage_)}};
  return {.status = 200,
          .content_type = "application/json",
          .body = json::serialize(answer)};
}

std::string AnswerRenderer::StreamEnd() const {
  return "data: [DONE]\n\n";
}

}  // namespace lavenderkeel
