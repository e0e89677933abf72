#ifndef LAVENDERKEEL_GATE_ANSWER_SUBSCRIPTIONS_H_
#define LAVENDERKEEL_GATE_ANSWER_SUBSCRIPTIONS_H_

#include <map>
#include <utility>
#include <vector>

#include "lavenderkeel/action.h"
#include "lavenderkeel/gate/run_table.h"

namespace lavenderkeel {

/// The answer streams to the subscribed entries, each with its own offset.
///
/// At most kWindowBytes of an answer are unacknowledged per subscriber, so that
/// a slow caller costs the entry one window of memory instead of the whole
/// answer.
class AnswerSubscriptions {
 public:
  static constexpr size_t kWindowBytes = size_t{256} << 10;
  static constexpr size_t kMaxChunkBytes = size_t{64} << 10;

  AnswerSubscriptions(RunTable& runs, Outbox& outbox)
      : runs_(runs), outbox_(outbox) {}

  /// Subscribes a link to an answer from the offset on. Subscription 0 is a
  /// control subscription, which receives only the end.
  void Subscribe(LinkId link,
                 uint64_t subscription,
                 const RequestKey& key,
                 uint64_t offset);
  void Ack(LinkId link, uint64_t subscription, uint64_t offset);
  void Unsubscribe(LinkId link, uint64_t subscription);
  void DropLink(LinkId link);
  /// Sends new parts of an answer that grew, or its end.
  void OnProgress(const RequestKey& key);
  bool HasReaders() const { return !readers_.empty(); }
  bool HasReaders(const RequestKey& key) const { return by_key_.contains(key); }
  bool HasReadersBesides(LinkId link, const RequestKey& key) const;

 private:
  /// Control subscriptions are identified by key, others by their number, which
  /// is unique within a link.
  using ReaderId = std::pair<LinkId, std::pair<uint64_t, RequestKey>>;
  struct Reader {
    RequestKey key;
    uint64_t sent = 0;
    uint64_t acked = 0;
  };

  static ReaderId MakeId(LinkId link,
                         uint64_t subscription,
                         const RequestKey& key);
  /// Sends as much as the window allows.
  /// @return true once the end was sent
  bool SendAvailable(const ReaderId& id, Reader& reader);

  RunTable& runs_;
  Outbox& outbox_;
  std::map<ReaderId, Reader> readers_;
  std::multimap<RequestKey, ReaderId> by_key_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_GATE_ANSWER_SUBSCRIPTIONS_H_
