#ifndef LAVENDERKEEL_FORWARD_REQUEST_METADATA_H_
#define LAVENDERKEEL_FORWARD_REQUEST_METADATA_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/prompt_part.h"
#include "lavenderkeel/evidence/answer_assessment.h"
#include "lavenderkeel/http/message_head.h"
#include "lavenderkeel/notice/answer_notices.h"

namespace lavenderkeel {

/// Contents of the head of a client's request, independent of the wire format.
struct RequestMetadata {
  /// Identifies one attempt of a client; echoed in every answer to it.
  std::string request_id;
  std::optional<std::string> api_key;
  /// How long the client will wait from now.
  std::optional<Duration> time_left;
  /// Tokens of the prompt, and the maximum number of tokens to generate; zero:
  /// unknown.
  uint64_t prompt_tokens = 0;
  uint64_t output_tokens = 0;
  /// Output tokens that the client expects; zero: not stated.
  uint64_t expected_output_tokens = 0;
  /// The parts of the prompt in order. The last one belongs to the request or
  /// its session, the others may be those of many requests.
  std::vector<PromptPartId> prompt_parts = {};
  /// The client resumes a stream after this event.
  std::string last_event_id;

  friend bool operator==(const RequestMetadata&,
                         const RequestMetadata&) = default;
};

/// Fields that the system adds to a request to a backend server.
struct ServerRequestMetadata {
  std::string server_id;
  /// Empty for a request without a team.
  std::string team;
  Duration time_left{};
  /// The stream resumes after this event; empty: from the start.
  std::string last_event_id;

  friend bool operator==(const ServerRequestMetadata&,
                         const ServerRequestMetadata&) = default;
};

/// Contents of the head of a server's answer, independent of the wire format.
struct AnswerMetadata {
  AnswerStatements statements;
  /// What the server says about itself.
  AnswerNotices notices = {};

  friend bool operator==(const AnswerMetadata&,
                         const AnswerMetadata&) = default;
};

/// Translation between message heads and these structures, for one wire format.
struct ForwardCodec {
  /// Returns nothing if a required field cannot be parsed.
  std::function<std::optional<RequestMetadata>(const RequestHead&)>
      read_request;
  std::function<RequestHead(const RequestHead&, const ServerRequestMetadata&)>
      write_request;
  std::function<AnswerMetadata(const ResponseHead&)> read_answer;
  /// Header fields of an answer that this entry generates itself.
  std::function<HttpFields(const std::string& request_id)> own_answer_fields;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_REQUEST_METADATA_H_
