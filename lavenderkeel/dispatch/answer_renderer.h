#ifndef LAVENDERKEEL_DISPATCH_ANSWER_RENDERER_H_
#define LAVENDERKEEL_DISPATCH_ANSWER_RENDERER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace lavenderkeel {

/// Turns the lines of a kept answer into what the caller asked for.
///
/// The first line says what it is: `{"kind": "completion" | "chat" | "service",
/// "model": …}`.
class AnswerRenderer {
 public:
  /// @param id as shown to the caller
  AnswerRenderer(std::string id, bool stream);

  /// Takes the next bytes of the answer.
  /// @return bytes for a streaming caller, empty for one that waits
  std::string Consume(std::span<const uint8_t> bytes);

  struct Whole {
    int status = 200;
    std::string content_type;
    std::string body;
  };
  /// The whole answer for a caller that did not ask for a stream.
  Whole TakeWhole();

  /// What ends a complete stream.
  std::string StreamEnd() const;

  bool wants_stream() const { return stream_; }
  bool streams() const { return stream_ && !is_service_; }
  /// False until the finish line came: then the answer is not whole.
  bool complete() const { return complete_; }

 private:
  std::string ConsumeLine(const std::string& line);
  std::string RenderText(const std::string& text);
  std::string RenderFinish(const std::string& reason,
                           const std::string& usage_json);

  std::string id_;
  bool stream_ = false;
  bool has_head_ = false;
  bool is_chat_ = false;
  bool is_service_ = false;
  bool service_body_ = false;
  bool complete_ = false;
  std::string model_;
  std::string line_;
  std::string text_;
  std::string finish_reason_;
  std::string usage_;
  int status_ = 200;
  std::string content_type_ = "application/json";
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_ANSWER_RENDERER_H_
