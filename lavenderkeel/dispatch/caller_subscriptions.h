#ifndef LAVENDERKEEL_DISPATCH_CALLER_SUBSCRIPTIONS_H_
#define LAVENDERKEEL_DISPATCH_CALLER_SUBSCRIPTIONS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lavenderkeel/action.h"
#include "lavenderkeel/base.h"
#include "lavenderkeel/dispatch/answer_renderer.h"

namespace lavenderkeel {

/// Identifies one caller's subscription to an answer; unique within an entry
/// process.
using SubscriptionId = uint64_t;

/// The answer subscriptions of this entry's callers, each with its own offset.
class CallerSubscriptions {
 public:
  struct Subscription {
    SubscriptionId id = 0;
    CallerId caller = 0;
    RequestKey key;
    /// The key as the caller sent or received it, without the team.
    std::string public_key;
    AnswerRenderer renderer;
    /// Bytes of the answer received so far.
    uint64_t offset = 0;
    /// Bytes acknowledged to the source.
    uint64_t acked = 0;
    bool head_sent = false;
    /// The link that delivers the answer and receives the acks.
    std::optional<LinkId> link;
  };

  explicit CallerSubscriptions(Outbox& outbox);
  ~CallerSubscriptions();

  SubscriptionId Open(CallerId caller,
                      const RequestKey& key,
                      const std::string& public_key,
                      bool stream);
  /// Sets the link that delivers the answer from now on.
  void SetSource(SubscriptionId id, LinkId link);

  void OnChunk(LinkId link, const Chunk& chunk);
  /// Completes the response after the last chunk.
  /// @return the result code; kServerFailed, sent to the caller as well, if the
  ///     answer is truncated or its checksum differs; nothing if the
  ///     subscription is unknown
  std::optional<ResultCode> OnFinish(const Finished& finish);
  /// Ends a subscription with a failure: sends an error response, or aborts the
  /// connection if part of the answer was already sent.
  void Fail(SubscriptionId id, ResultCode code, Duration retry_after);
  /// Resets the subscriptions of the key that have sent nothing to their
  /// caller.
  void Restart(const RequestKey& key);
  /// Handles that all bytes pending for the caller have been written.
  void OnDrained(CallerId caller);
  /// Removes the subscription of a caller that has disconnected.
  /// @return the key of its request
  std::optional<RequestKey> OnCallerGone(CallerId caller);

  std::vector<SubscriptionId> SubscriptionsOf(const RequestKey& key) const;
  const Subscription* Find(SubscriptionId id) const;
  /// Returns true if bytes of the answer were sent to any caller of the key.
  bool HasDelivered(const RequestKey& key) const;
  size_t size() const { return subscriptions_.size(); }

  /// Builds the JSON response to a refusal or failure, with the Lavenderkeel
  /// headers.
  static ReplyComplete ErrorReply(CallerId caller,
                                  ResultCode code,
                                  const std::string& message,
                                  const std::string& public_key,
                                  Duration retry_after);

 private:
  struct State;

  void Emit(Subscription& subscription, std::string bytes);
  void AckConsumed(Subscription& subscription);
  void Remove(SubscriptionId id);
  static HttpHeaders Headers(const std::string& public_key, ResultCode code);

  Outbox& outbox_;
  SubscriptionId last_id_ = 0;
  std::unordered_map<SubscriptionId, std::unique_ptr<State>> subscriptions_;
  std::unordered_map<CallerId, SubscriptionId> by_caller_;
  std::multimap<RequestKey, SubscriptionId> by_key_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_CALLER_SUBSCRIPTIONS_H_
