#include "lavenderkeel/dispatch/caller_feed.h"

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

Finished Whole(SubscriptionId subscription) {
  Finished finish;
  finish.subscription = subscription;
  finish.length = kAnswer.size();
  finish.checksum = HashBytes(kAnswer);
  return finish;
}

struct Reader {
  Outbox outbox;
  CallerFeed feed{outbox};
  SubscriptionId id = feed.Open(7, {.hi = 1, .lo = 1}, "key", false);

  Reader() { feed.Source(id, 5); }
  std::string Body() {
    for (const Action& action : outbox.Take()) {
      if (const auto* whole = std::get_if<ReplyWhole>(&action)) {
        return whole->body;
      }
    }
    return "";
  }
};

}  // namespace

// A replaced connection still delivers, and parts come twice. The caller gets
// each byte once, from the present source only.
BOOST_AUTO_TEST_CASE(OnlyTheNextByteOfThePresentSourceCounts) {
  Reader reader;
  reader.feed.OnChunk(5, ChunkAt(reader.id, 0, 50));
  reader.feed.OnChunk(4, ChunkAt(reader.id, 50, kAnswer.size()));
  reader.feed.OnChunk(5, ChunkAt(reader.id, 0, 50));
  reader.feed.OnChunk(5, ChunkAt(reader.id, 60, kAnswer.size()));
  reader.feed.OnChunk(5, ChunkAt(reader.id, 50, kAnswer.size()));
  reader.feed.OnFinish(Whole(reader.id));
  BOOST_TEST(reader.Body().find("\"text\":\"one two\"") != std::string::npos);
}

// The end comes though a part is missing. The caller hears that the server
// failed; it never gets the part as if it were whole.
BOOST_AUTO_TEST_CASE(PartIsNeverGivenAsWhole) {
  Reader reader;
  reader.feed.OnChunk(5, ChunkAt(reader.id, 0, 50));
  reader.feed.OnFinish(Whole(reader.id));
  BOOST_TEST(reader.Body().find("server_failed") != std::string::npos);
}

}  // namespace lavenderkeel
