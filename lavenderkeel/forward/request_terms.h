#ifndef LAVENDERKEEL_FORWARD_REQUEST_TERMS_H_
#define LAVENDERKEEL_FORWARD_REQUEST_TERMS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/http/message_head.h"

namespace lavenderkeel {

/// What the head of a client's request says, in this project's words.
struct RequestTerms {
  /// Names one attempt of a client; echoed in every answer to it.
  std::string request_id;
  std::optional<std::string> api_key;
  /// How long the client will wait from now.
  std::optional<Duration> time_left;
  /// Tokens of the prompt and the most that may be generated; zero: unknown.
  uint64_t prompt_tokens = 0;
  uint64_t output_tokens = 0;
  /// Output tokens that the client expects; zero: it does not say.
  uint64_t expected_output_tokens = 0;
  /// The client goes on with a stream behind this event.
  std::string last_event_id;

  friend bool operator==(const RequestTerms&, const RequestTerms&) = default;
};

/// What the system itself tells a backend server with a request.
struct ServerCallTerms {
  std::string server_id;
  /// Empty for a request without a team.
  std::string team;
  Duration time_left{};
  /// The stream goes on behind this event; empty: from the start.
  std::string last_event_id;

  friend bool operator==(const ServerCallTerms&,
                         const ServerCallTerms&) = default;
};

/// What the head of a server's answer says, in this project's words.
struct AnswerTerms {
  /// The request that it answers; empty if it does not say.
  std::string request_id;
  /// The server vouches for the answer.
  bool sealed = false;
  /// The server states that it did not run the request and never will.
  bool not_run = false;

  friend bool operator==(const AnswerTerms&, const AnswerTerms&) = default;
};

/// Translates between heads on the wire and terms, for one wire format.
struct ForwardCodec {
  /// Nothing if a field that has to be readable is not.
  std::function<std::optional<RequestTerms>(const RequestHead&)> read_request;
  std::function<RequestHead(const RequestHead&, const ServerCallTerms&)>
      write_request;
  std::function<AnswerTerms(const ResponseHead&)> read_answer;
  /// Fields of an answer that this entry makes itself.
  std::function<HttpFields(const std::string& request_id)> own_answer_fields;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_REQUEST_TERMS_H_
