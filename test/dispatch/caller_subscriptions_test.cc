#include "lavenderkeel/dispatch/caller_subscriptions.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "lavenderkeel/evidence/not_run_status.h"

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
  std::optional<ReplyComplete> Reply() {
    for (const Action& action : outbox.Take()) {
      if (const auto* whole = std::get_if<ReplyComplete>(&action)) {
        return *whole;
      }
    }
    return std::nullopt;
  }
  std::string Body() { return Reply().value_or(ReplyComplete()).body; }
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

// Guards against a caller that sends a request again since the service that ran
// it answered with a status for "not run".
BOOST_AUTO_TEST_CASE(OwnRefusalOfAServiceIsNotItsCallersStatus) {
  for (const int status : {200, 404, 408, 421, 429, 500, 503}) {
    SubscribedCaller caller;
    const std::string text =
        "{\"kind\":\"service\"}\n{\"status\":" + std::to_string(status) +
        ",\"content_type\":\"text/plain\"}\nbody";
    Chunk chunk;
    chunk.subscription = caller.id;
    chunk.bytes.assign(text.begin(), text.end());
    caller.subscriptions.OnChunk(5, chunk);
    Finished finish;
    finish.subscription = caller.id;
    finish.length = text.size();
    finish.checksum = HashBytes(text);
    caller.subscriptions.OnFinish(finish);
    const auto reply = caller.Reply();
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->body == "body");
    const bool is_refusal = StatesNotRun(status);
    BOOST_TEST(reply->status == (is_refusal ? 502 : status));
    const auto stated = std::ranges::find(
        reply->headers, std::string("Lavenderkeel-Service-Status"),
        [](const auto& header) { return header.first; });
    BOOST_TEST((stated != reply->headers.end()) == is_refusal);
    if (is_refusal) {
      BOOST_TEST(stated->second == std::to_string(status));
    }
  }
}

}  // namespace lavenderkeel
