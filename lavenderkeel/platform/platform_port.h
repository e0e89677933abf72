#ifndef LAVENDERKEEL_PLATFORM_PLATFORM_PORT_H_
#define LAVENDERKEEL_PLATFORM_PLATFORM_PORT_H_

#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include "lavenderkeel/action.h"

namespace lavenderkeel {

/// Reply of the platform to a call. An object's version is its ETag.
struct PlatformReply {
  /// Status of a call without an answer: it may or may not have taken effect.
  static constexpr int kNoAnswer = 0;
  static constexpr int kMissing = 404;
  static constexpr int kPreconditionFailed = 412;

  int status = kNoAnswer;
  std::string etag;
  std::string body;

  bool ok() const { return status == 200 || status == 201; }
  /// The object does not exist.
  bool missing() const { return status == kMissing; }
  /// The object's version is not the one that the write requires.
  bool precondition_failed() const { return status == kPreconditionFailed; }
  /// The platform rejected the call without carrying it out; a later retry may
  /// succeed.
  bool refused() const { return status == 429 || status == 503; }
  /// The call may have taken effect: there is no answer, or one that states
  /// neither success nor a fault of the call.
  bool in_doubt() const {
    constexpr int kFirstClientError = 400;
    constexpr int kTimeout = 408;
    constexpr int kFirstServerError = 500;
    const bool states_fault = status >= kFirstClientError &&
                              status < kFirstServerError && status != kTimeout;
    return !ok() && !refused() && !states_fault;
  }

  friend bool operator==(const PlatformReply&, const PlatformReply&) = default;
};

/// Port to the platform: numbers the calls and passes each reply to the handler
/// of its call.
class PlatformPort {
 public:
  using Handler = std::function<void(const PlatformReply&)>;

  explicit PlatformPort(Outbox& outbox) : outbox_(outbox) {}

  /// Sends a call; the number in `call` is overwritten.
  void Call(PlatformCall call, Handler handler) {
    call.call = ++last_call_;
    handlers_[call.call] = std::move(handler);
    outbox_.Push(std::move(call));
  }

  /// @param call the number of a PlatformCall action; an unknown one is ignored
  void OnReply(PlatformCallId call, const PlatformReply& reply) {
    const auto found = handlers_.find(call);
    if (found == handlers_.end()) {
      return;
    }
    const Handler handler = std::move(found->second);
    handlers_.erase(found);
    handler(reply);
  }

 private:
  Outbox& outbox_;
  PlatformCallId last_call_ = 0;
  std::unordered_map<PlatformCallId, Handler> handlers_;
};

/// Reads an object: `GET /objects/{name}`.
inline PlatformCall ReadObject(const std::string& name) {
  return {.method = "GET", .path = "/objects/" + name};
}

/// Writes an object conditionally; see PlatformCall::if_match.
inline PlatformCall WriteObject(const std::string& name,
                                std::string body,
                                std::string if_match) {
  return {.method = "PUT",
          .path = "/objects/" + name,
          .body = std::move(body),
          .if_match = std::move(if_match)};
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_PLATFORM_PLATFORM_PORT_H_
