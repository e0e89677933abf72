#include "lavenderkeel/dispatch/caller_subscriptions.h"

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

const std::string kAnswer =
    "{\"kind\":\"completion\",\"model\":\"m\"}\n{\"text\":\"one \"}\n"
    "{\"text\":\"two\"}\n{\"finish_reason\":\"stop\"}\n";

Chunk ChunkAt(SubscriptionId subscription, size_t from, size_t to) {
  Chunk chunk;
  chunk.subscription = subscription;
  chunk.offset = from;
  const auto begin = kAnswer.begin();
  chunk.bytes.assign(begin + static_cast<ptrdiff_t>(from),
                     begin + static_cast<ptrdiff_t>(to));
  return chunk;
}

Finished FinishOf(SubscriptionId subscription) {
  Finished finish;
  finish.subscription = subscription;
  finish.length = kAnswer.size();
  finish.checksum = HashBytes(kAnswer);
  return finish;
}

struct SubscribedCaller {
  Outbox outbox;
  CallerSubscriptions subscriptions{outbox};
  SubscriptionId id = subscriptions.Open(7, {.hi = 1, .lo = 1}, "key", false);

  SubscribedCaller() { subscriptions.SetSource(id, 5); }
  std::string Body() {
    for (const Action& action : outbox.Take()) {
      if (const auto* whole = std::get_if<ReplyComplete>(&action)) {
        return whole->body;
      }
    }
    return "";
  }
};

}  // namespace

// Guards against duplicated or mixed bytes in the caller's answer when a
// replaced connection still delivers chunks, or chunks arrive twice or out of
// order.
BOOST_AUTO_TEST_CASE(OnlyTheExpectedOffsetOfTheCurrentSourceIsAccepted) {
  SubscribedCaller caller;
  caller.subscriptions.OnChunk(5, ChunkAt(caller.id, 0, 50));
  caller.subscriptions.OnChunk(4, ChunkAt(caller.id, 50, kAnswer.size()));
  caller.subscriptions.OnChunk(5, ChunkAt(caller.id, 0, 50));
  caller.subscriptions.OnChunk(5, ChunkAt(caller.id, 60, kAnswer.size()));
  caller.subscriptions.OnChunk(5, ChunkAt(caller.id, 50, kAnswer.size()));
  caller.subscriptions.OnFinish(FinishOf(caller.id));
  BOOST_TEST(caller.Body().find("\"text\":\"one two\"") != std::string::npos);
}

// Guards against a truncated answer that is delivered as a complete one: the
// caller gets server_failed if a part is missing at the end.
BOOST_AUTO_TEST_CASE(TruncatedAnswerIsReportedAsFailed) {
  SubscribedCaller caller;
  caller.subscriptions.OnChunk(5, ChunkAt(caller.id, 0, 50));
  caller.subscriptions.OnFinish(FinishOf(caller.id));
  BOOST_TEST(caller.Body().find("server_failed") != std::string::npos);
}

}  // namespace lavenderkeel
