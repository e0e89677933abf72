#include "lavenderkeel/dispatch/caller_subscriptions.h"

#include <xxhash.h>

#include <boost/json.hpp>
#include <utility>

#include "lavenderkeel/evidence/not_run_status.h"

namespace lavenderkeel {

namespace json = boost::json;

namespace {

constexpr int kBadGateway = 502;

}  // namespace

struct CallerSubscriptions::State {
  Subscription subscription;
  /// Running checksum of the received bytes, verified at the end.
  std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t*)> hash;
};

CallerSubscriptions::CallerSubscriptions(Outbox& outbox) : outbox_(outbox) {}
CallerSubscriptions::~CallerSubscriptions() = default;

SubscriptionId CallerSubscriptions::Open(CallerId caller,
                                         const RequestKey& key,
                                         const std::string& public_key,
                                         bool stream) {
  const SubscriptionId id = ++last_id_;
  auto state = std::make_unique<State>(
      State{.subscription = {.id = id,
                             .caller = caller,
                             .key = key,
                             .public_key = public_key,
                             .renderer = AnswerRenderer(public_key, stream)},
            .hash = {XXH3_createState(), XXH3_freeState}});
  XXH3_64bits_reset(state->hash.get());
  subscriptions_[id] = std::move(state);
  by_caller_[caller] = id;
  by_key_.emplace(key, id);
  return id;
}

void CallerSubscriptions::SetSource(SubscriptionId id, LinkId link) {
  const auto found = subscriptions_.find(id);
  if (found != subscriptions_.end()) {
    found->second->subscription.link = link;
    found->second->subscription.acked = found->second->subscription.offset;
  }
}

void CallerSubscriptions::OnChunk(LinkId link, const Chunk& chunk) {
  const auto found = subscriptions_.find(chunk.subscription);
  if (found == subscriptions_.end()) {
    Detach detach;
    detach.subscription = chunk.subscription;
    outbox_.Send(link, detach);
    return;
  }
  Subscription& subscription = found->second->subscription;
  // A replaced connection may still deliver chunks, and an answer may be
  // re-read from an earlier offset. Accepts a chunk only from the current
  // source and at the expected offset; others would duplicate or mix bytes in
  // the answer.
  const bool expected =
      subscription.link == link && chunk.offset == subscription.offset;
  if (!expected) {
    return;
  }
  XXH3_64bits_update(found->second->hash.get(), chunk.bytes.data(),
                     chunk.bytes.size());
  subscription.offset += chunk.bytes.size();
  std::string bytes = subscription.renderer.Consume(chunk.bytes);
  if (bytes.empty()) {
    AckConsumed(subscription);
    return;
  }
  Emit(subscription, std::move(bytes));
}

void CallerSubscriptions::Emit(Subscription& subscription, std::string bytes) {
  if (!subscription.head_sent) {
    subscription.head_sent = true;
    HttpHeaders headers =
        Headers(subscription.public_key, ResultCode::kAnswered);
    headers.emplace_back("Content-Type", "text/event-stream");
    headers.emplace_back("Cache-Control", "no-store");
    outbox_.Push(ReplyHead{.caller = subscription.caller,
                           .status = 200,
                           .headers = std::move(headers)});
  }
  outbox_.Push(
      ReplyChunk{.caller = subscription.caller, .bytes = std::move(bytes)});
}

void CallerSubscriptions::AckConsumed(Subscription& subscription) {
  // A quarter of the agent's send window. One ack per token would double the
  // number of messages.
  constexpr uint64_t kAckIntervalBytes = uint64_t{64} << 10;
  if (!subscription.link.has_value() ||
      subscription.offset - subscription.acked < kAckIntervalBytes) {
    return;
  }
  subscription.acked = subscription.offset;
  Ack ack;
  ack.subscription = subscription.id;
  ack.offset = subscription.offset;
  outbox_.Send(*subscription.link, ack);
}

void CallerSubscriptions::Restart(const RequestKey& key) {
  for (const SubscriptionId id : SubscriptionsOf(key)) {
    State& state = *subscriptions_.at(id);
    Subscription& subscription = state.subscription;
    if (subscription.head_sent) {
      continue;
    }
    subscription.renderer = AnswerRenderer(
        subscription.public_key, subscription.renderer.wants_stream());
    subscription.offset = 0;
    subscription.acked = 0;
    subscription.link.reset();
    XXH3_64bits_reset(state.hash.get());
  }
}

void CallerSubscriptions::OnDrained(CallerId caller) {
  const auto found = by_caller_.find(caller);
  if (found == by_caller_.end()) {
    return;
  }
  // Acknowledges bytes only after they were written to the caller, so that a
  // slow caller throttles the agent instead of filling this entry's memory.
  AckConsumed(subscriptions_.at(found->second)->subscription);
}

std::optional<ResultCode> CallerSubscriptions::OnFinish(
    const Finished& finish) {
  const auto found = subscriptions_.find(finish.subscription);
  if (found == subscriptions_.end()) {
    return std::nullopt;
  }
  Subscription& subscription = found->second->subscription;
  const auto code = Describe(static_cast<ResultCode>(finish.code)).code;
  if (code != ResultCode::kAnswered) {
    return code;
  }
  const bool is_whole =
      subscription.offset == finish.length &&
      XXH3_64bits_digest(found->second->hash.get()) == finish.checksum &&
      subscription.renderer.complete();
  if (!is_whole) {
    Fail(subscription.id, ResultCode::kServerFailed, Duration::zero());
    return ResultCode::kServerFailed;
  }
  if (subscription.renderer.streams()) {
    Emit(subscription, subscription.renderer.StreamEnd());
    outbox_.Push(ReplyEnd{.caller = subscription.caller});
  } else {
    AnswerRenderer::WholeAnswer answer =
        subscription.renderer.TakeWholeAnswer();
    HttpHeaders headers =
        Headers(subscription.public_key, ResultCode::kAnswered);
    headers.emplace_back("Content-Type", answer.content_type);
    if (StatesNotRun(answer.status)) {
      // The answer is the service's, but its status would tell the caller that
      // the request did not run.
      headers.emplace_back("Lavenderkeel-Service-Status",
                           std::to_string(answer.status));
      answer.status = kBadGateway;
    }
    outbox_.Push(ReplyComplete{.caller = subscription.caller,
                               .status = answer.status,
                               .headers = std::move(headers),
                               .body = std::move(answer.body)});
  }
  Remove(subscription.id);
  return ResultCode::kAnswered;
}

void CallerSubscriptions::Fail(SubscriptionId id,
                               ResultCode code,
                               Duration retry_after) {
  const Subscription* subscription = Find(id);
  if (subscription == nullptr) {
    return;
  }
  if (subscription->head_sent) {
    outbox_.Push(ReplyAbort{.caller = subscription->caller});
  } else {
    outbox_.Push(ErrorReply(subscription->caller, code,
                            std::string(Describe(code).message),
                            subscription->public_key, retry_after));
  }
  if (subscription->link.has_value()) {
    Detach detach;
    detach.subscription = id;
    outbox_.Send(*subscription->link, detach);
  }
  Remove(id);
}

std::optional<RequestKey> CallerSubscriptions::OnCallerGone(CallerId caller) {
  const auto found = by_caller_.find(caller);
  if (found == by_caller_.end()) {
    return std::nullopt;
  }
  const SubscriptionId id = found->second;
  const Subscription& subscription = subscriptions_.at(id)->subscription;
  const RequestKey key = subscription.key;
  if (subscription.link.has_value()) {
    Detach detach;
    detach.subscription = id;
    outbox_.Send(*subscription.link, detach);
  }
  Remove(id);
  return key;
}

void CallerSubscriptions::Remove(SubscriptionId id) {
  const auto found = subscriptions_.find(id);
  const Subscription& subscription = found->second->subscription;
  by_caller_.erase(subscription.caller);
  auto [position, last] = by_key_.equal_range(subscription.key);
  while (position != last) {
    position =
        position->second == id ? by_key_.erase(position) : std::next(position);
  }
  subscriptions_.erase(found);
}

std::vector<SubscriptionId> CallerSubscriptions::SubscriptionsOf(
    const RequestKey& key) const {
  std::vector<SubscriptionId> ids;
  const auto [first, last] = by_key_.equal_range(key);
  for (auto position = first; position != last; ++position) {
    ids.push_back(position->second);
  }
  return ids;
}

const CallerSubscriptions::Subscription* CallerSubscriptions::Find(
    SubscriptionId id) const {
  const auto found = subscriptions_.find(id);
  return found == subscriptions_.end() ? nullptr : &found->second->subscription;
}

bool CallerSubscriptions::HasDelivered(const RequestKey& key) const {
  for (const SubscriptionId id : SubscriptionsOf(key)) {
    if (Find(id)->head_sent) {
      return true;
    }
  }
  return false;
}

HttpHeaders CallerSubscriptions::Headers(const std::string& public_key,
                                         ResultCode code) {
  HttpHeaders headers = {
      {"Lavenderkeel-Outcome",
       std::string(OutcomeName(Describe(code).outcome))},
      {"Lavenderkeel-Result", std::to_string(static_cast<uint32_t>(code))}};
  if (!public_key.empty()) {
    headers.emplace_back("Lavenderkeel-Key", public_key);
  }
  return headers;
}

ReplyComplete CallerSubscriptions::ErrorReply(CallerId caller,
                                              ResultCode code,
                                              const std::string& message,
                                              const std::string& public_key,
                                              Duration retry_after) {
  const ResultCodeInfo& info = Describe(code);
  const int64_t retry_after_ms = ToMilliseconds(retry_after);
  HttpHeaders headers = Headers(public_key, code);
  headers.emplace_back("Content-Type", "application/json");
  if (retry_after_ms > 0) {
    // Retry-After has a resolution of one second; rounded up, so that no caller
    // retries too early.
    headers.emplace_back("Retry-After",
                         std::to_string((retry_after_ms + 999) / 1000));
  }
  return {.caller = caller,
          .status = info.http_status,
          .headers = std::move(headers),
          .body = RefusalBody(code, message, retry_after)};
}

}  // namespace lavenderkeel
