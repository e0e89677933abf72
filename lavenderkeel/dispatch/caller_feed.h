#ifndef LAVENDERKEEL_DISPATCH_CALLER_FEED_H_
#define LAVENDERKEEL_DISPATCH_CALLER_FEED_H_

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

/// Numbers a caller's reading of one answer; unique in an entry's life.
using SubscriptionId = uint64_t;

/// The callers that read answers at this entry, each from its own offset.
class CallerFeed {
 public:
  struct Subscription {
    SubscriptionId id = 0;
    CallerId caller = 0;
    RequestKey key;
    /// As the caller knows it.
    std::string public_key;
    AnswerRenderer renderer;
    /// Bytes of the answer taken in so far.
    uint64_t offset = 0;
    /// Of those, what the source was told of.
    uint64_t acked = 0;
    bool head_sent = false;
    /// Where the answer comes from; it gets the acks.
    std::optional<LinkId> link;
  };

  explicit CallerFeed(Outbox& outbox);
  ~CallerFeed();

  SubscriptionId Open(CallerId caller,
                      const RequestKey& key,
                      const std::string& public_key,
                      bool stream);
  /// Says where the answer is read from now on.
  void Source(SubscriptionId id, LinkId link);

  void OnChunk(LinkId link, const Chunk& chunk);
  /// The end of the answer.
  /// @return the code the caller was given; kServerFailed where the answer is
  ///     not whole after all
  std::optional<ResultCode> OnFinish(const Finished& finish);
  /// Ends it with a failure: an error response, or a broken connection if part
  /// of the answer is out already.
  void Fail(SubscriptionId id, ResultCode code, Duration retry_after);
  /// Begins the answer anew for those that have been given none of it.
  void Restart(const RequestKey& key);
  /// The caller's connection has taken all that was handed out.
  void OnDrained(CallerId caller);
  /// The caller's connection is gone. @return its request
  std::optional<RequestKey> OnCallerGone(CallerId caller);

  std::vector<SubscriptionId> Of(const RequestKey& key) const;
  const Subscription* Find(SubscriptionId id) const;
  /// True if bytes of the answer have gone out to any caller of the key.
  bool Delivered(const RequestKey& key) const;
  size_t size() const { return subscriptions_.size(); }

  /// A refusal or failure as JSON, with the headers of INTERFACES.
  static ReplyWhole ErrorReply(CallerId caller,
                               ResultCode code,
                               const std::string& message,
                               const std::string& public_key,
                               Duration retry_after);

 private:
  struct Entry;

  void Emit(Subscription& subscription, std::string bytes);
  void AckConsumed(Subscription& subscription);
  void Remove(SubscriptionId id);
  static HttpHeaders Headers(const std::string& public_key, ResultCode code);

  Outbox& outbox_;
  SubscriptionId last_ = 0;
  std::unordered_map<SubscriptionId, std::unique_ptr<Entry>> subscriptions_;
  std::unordered_map<CallerId, SubscriptionId> by_caller_;
  std::multimap<RequestKey, SubscriptionId> by_key_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_CALLER_FEED_H_
