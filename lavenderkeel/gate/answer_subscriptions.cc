#include "lavenderkeel/gate/answer_subscriptions.h"

#include <algorithm>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

AnswerSubscriptions::ReaderId AnswerSubscriptions::MakeId(
    LinkId link,
    uint64_t subscription,
    const RequestKey& key) {
  return {link, {subscription, subscription == 0 ? key : RequestKey()}};
}

void AnswerSubscriptions::Subscribe(LinkId link,
                                    uint64_t subscription,
                                    const RequestKey& key,
                                    uint64_t offset) {
  const ReaderId id = MakeId(link, subscription, key);
  const auto [position, inserted] = readers_.try_emplace(id);
  position->second = {.key = key, .sent = offset, .acked = offset};
  if (inserted) {
    by_key_.emplace(key, id);
  }
  OnProgress(key);
}

void AnswerSubscriptions::Ack(LinkId link,
                              uint64_t subscription,
                              uint64_t offset) {
  const auto found = readers_.find(MakeId(link, subscription, {}));
  if (found == readers_.end()) {
    return;
  }
  Reader& reader = found->second;
  reader.acked = std::clamp(offset, reader.acked, reader.sent);
  OnProgress(RequestKey(reader.key));
}

void AnswerSubscriptions::Unsubscribe(LinkId link, uint64_t subscription) {
  const auto found = readers_.find(MakeId(link, subscription, {}));
  if (found == readers_.end()) {
    return;
  }
  const auto [first, last] = by_key_.equal_range(found->second.key);
  const auto entry = std::find_if(first, last, [&](const auto& item) {
    return item.second == found->first;
  });
  if (entry != last) {
    by_key_.erase(entry);
  }
  readers_.erase(found);
}

void AnswerSubscriptions::DropLink(LinkId link) {
  std::erase_if(by_key_,
                [link](const auto& item) { return item.second.first == link; });
  std::erase_if(readers_,
                [link](const auto& item) { return item.first.first == link; });
}

bool AnswerSubscriptions::HasReadersBesides(LinkId link,
                                            const RequestKey& key) const {
  const auto [first, last] = by_key_.equal_range(key);
  return std::any_of(first, last, [link](const auto& item) {
    return item.second.first != link;
  });
}

void AnswerSubscriptions::OnProgress(const RequestKey& key) {
  auto [position, last] = by_key_.equal_range(key);
  while (position != last) {
    const auto reader = readers_.find(position->second);
    if (SendAvailable(reader->first, reader->second)) {
      readers_.erase(reader);
      position = by_key_.erase(position);
    } else {
      ++position;
    }
  }
}

bool AnswerSubscriptions::SendAvailable(const ReaderId& id, Reader& reader) {
  const auto& [link, subscription_and_key] = id;
  const uint64_t subscription = subscription_and_key.first;
  const Run* run = runs_.Find(reader.key);
  if (run == nullptr) {
    return true;
  }
  const uint64_t length = run->answer.size();
  const bool ended = run->state == Run::State::kFinished ||
                     run->state == Run::State::kAnswerDropped;
  // The rest of an answer that stays incomplete is not sent.
  const bool failed = ended && run->code != ResultCode::kAnswered;
  while (subscription != 0 && !failed && reader.sent < length &&
         reader.sent - reader.acked < kWindowBytes) {
    const size_t count = std::min(
        {static_cast<size_t>(length - reader.sent), kMaxChunkBytes,
         static_cast<size_t>(kWindowBytes - (reader.sent - reader.acked))});
    Chunk chunk;
    chunk.subscription = subscription;
    chunk.offset = reader.sent;
    const auto begin =
        run->answer.begin() + static_cast<ptrdiff_t>(reader.sent);
    chunk.bytes.assign(begin, begin + static_cast<ptrdiff_t>(count));
    outbox_.Send(link, std::move(chunk));
    reader.sent += count;
  }
  if (!ended || (subscription != 0 && !failed && reader.sent < length)) {
    return false;
  }
  Finished finish;
  finish.key = ToWire(reader.key);
  finish.subscription = subscription;
  const bool is_answer_dropped =
      run->state == Run::State::kAnswerDropped && subscription != 0;
  finish.code = static_cast<uint32_t>(
      is_answer_dropped ? ResultCode::kAnswerGone : run->code);
  finish.length = length;
  finish.server_life = run->server_life;
  // The reader compares length and checksum before it ends the caller's answer,
  // so that bytes lost or reordered on the way can't pass as a complete answer.
  finish.checksum = HashBytes(run->answer);
  outbox_.Send(link, finish);
  return true;
}

}  // namespace lavenderkeel
