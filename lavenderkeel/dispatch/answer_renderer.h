#ifndef LAVENDERKEEL_DISPATCH_ANSWER_RENDERER_H_
#define LAVENDERKEEL_DISPATCH_ANSWER_RENDERER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace lavenderkeel {

/// A converter of the lines of a stored answer into the format that the caller
/// requested.
///
/// The first line is a header: `{"kind": "completion" | "chat" | "service",
/// "model": …}`.
class AnswerRenderer {
 public:
  /// @param id the request id in the response
  AnswerRenderer(std::string id, bool stream);

  /// Consumes the next bytes of the answer.
  /// @return the bytes to stream; empty if the caller did not request a stream
  std::string Consume(std::span<const uint8_t> bytes);

  struct WholeAnswer {
    int status = 200;
    std::string content_type;
    std::string body;
  };
  /// Returns the complete answer for a caller that did not request a stream.
  WholeAnswer TakeWholeAnswer();

  /// Returns the event that terminates a complete stream.
  std::string StreamEnd() const;

  bool wants_stream() const { return stream_; }
  bool streams() const { return stream_ && !is_service_; }
  /// Returns true once the line with the finish reason, or a service's header
  /// line, has been consumed; an answer without it is truncated.
  bool complete() const { return complete_; }

 private:
  std::string ConsumeLine(const std::string& line);
  std::string RenderText(const std::string& text);
  std::string RenderFinish(const std::string& reason,
                           const std::string& usage_json);

  std::string id_;
  bool stream_ = false;
  bool has_header_ = false;
  bool is_chat_ = false;
  bool is_service_ = false;
  bool in_service_body_ = false;
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
