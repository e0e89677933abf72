#include "lavenderkeel/watch/object_watch.h"

#include <algorithm>
#include <utility>

namespace lavenderkeel {

ObjectWatch::ObjectWatch(Options options,
                         Hooks hooks,
                         const Clock& clock,
                         std::mt19937_64& random,
                         const EventLog& log)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(clock),
      random_(random),
      log_(log),
      backoff_(options_.retry) {}

void ObjectWatch::Start() {
  List({});
}

void ObjectWatch::Restart() {
  must_list_ = true;
  List({});
}

void ObjectWatch::List(const std::string& after_name) {
  if (after_name.empty()) {
    listed_.clear();
  }
  Read({.kind = ObjectRead::Kind::kList,
        .object_kind = options_.object_kind,
        .after_name = after_name,
        .timeout = options_.list_timeout});
}

void ObjectWatch::Watch() {
  // In an outage the answer itself is the news. A watch that waits would be
  // told from a dead connection only seconds after the store is back.
  WatchWithin(outage() ? Duration::zero() : options_.wait);
}

void ObjectWatch::WatchWithin(Duration wait) {
  const bool waits = wait > Duration::zero();
  Read({.kind = ObjectRead::Kind::kWatch,
        .object_kind = options_.object_kind,
        .revision = revision_,
        .wait = wait,
        .timeout = waits ? wait + options_.grace : options_.list_timeout});
}

void ObjectWatch::Read(ObjectRead read) {
  pending_ = ++last_call_;
  pending_kind_ = read.kind;
  hooks_.read(pending_, read);
}

void ObjectWatch::OnResult(uint64_t call, const ObjectReadResult& result) {
  // Failure: the answer to a read from before a freeze or a reconnect comes
  // after a newer one. Symptom: an object goes back to a former state. Only
  // the answer to the last read counts.
  if (call != pending_) {
    return;
  }
  pending_ = 0;
  switch (result.outcome) {
    case ObjectReadResult::Outcome::kOk:
      NoteAnswer();
      if (result.unreadable > 0) {
        log_.Warn("objects_unreadable", {{"kind", options_.object_kind},
                                         {"objects", result.unreadable},
                                         {"revision", result.revision}});
      }
      if (pending_kind_ == ObjectRead::Kind::kList) {
        OnListed(result);
      } else {
        OnChanges(result);
      }
      return;
    case ObjectReadResult::Outcome::kHistoryGone:
      log_.Info("watch_history_gone",
                {{"kind", options_.object_kind}, {"revision", revision_}});
      must_list_ = true;
      List({});
      return;
    case ObjectReadResult::Outcome::kRefused:
      RetryLater("refused");
      return;
    case ObjectReadResult::Outcome::kNoAnswer:
      RetryLater("no_answer");
      return;
  }
}

void ObjectWatch::NoteAnswer() {
  backoff_.Reset();
  answered_at_ = clock_.Now();
  if (std::exchange(failures_, 0) > 0) {
    log_.Info("store_regained", {{"kind", options_.object_kind}});
    hooks_.on_return();
  }
}

void ObjectWatch::OnListed(const ObjectReadResult& result) {
  const bool first_page = listed_.empty();
  listed_.insert(listed_.end(), result.objects.begin(), result.objects.end());
  // Later pages may show later changes; the watch goes on from the first, so
  // that a change to an object of a page already read is not missed.
  revision_ = first_page ? result.revision : revision_;
  if (result.more && !result.objects.empty()) {
    List(result.objects.back().name);
    return;
  }
  must_list_ = false;
  for (const StoredObject& object : listed_) {
    last_change_ = std::max(last_change_, object.revision);
  }
  hooks_.on_list(std::exchange(listed_, {}));
  if (!paused_) {
    Watch();
  }
}

void ObjectWatch::OnChanges(const ObjectReadResult& result) {
  for (const StoredObject& object : result.objects) {
    hooks_.on_change(object);
  }
  revision_ = std::max(revision_, result.revision);
  if (result.objects.empty()) {
    if (!paused_) {
      Watch();
    }
  } else {
    last_change_ = std::max(last_change_, result.revision);
    retry_at_ = clock_.Now() + options_.gather;
  }
}

void ObjectWatch::OnToldBy(uint64_t revision) {
  if (revision <= std::max(revision_, told_)) {
    return;
  }
  if (told_ <= revision_) {
    told_at_ = clock_.Now();
  }
  told_ = revision;
}

void ObjectWatch::SetPaused(bool paused) {
  paused_ = paused;
  if (!paused || must_list_) {
    return;
  }
  // An answer to what is still asked is of no use any more.
  pending_ = 0;
  if (std::exchange(failures_, 0) > 0) {
    hooks_.on_return();
  }
}

void ObjectWatch::OnFed(uint64_t revision) {
  revision_ = std::max(revision_, revision);
  last_change_ = std::max(last_change_, revision);
  // Failure: a list that was asked for before is answered after this. Symptom:
  // a server that is leaving goes back to being ready.
  pending_ = 0;
  must_list_ = false;
}

void ObjectWatch::Confirm() {
  const bool waits = pending_ != 0 && pending_kind_ == ObjectRead::Kind::kWatch;
  if (!waits || outage() || clock_.Now() - answered_at_ < options_.fresh) {
    return;
  }
  WatchWithin(Duration::zero());
}

void ObjectWatch::RetryLater(const char* why) {
  if (failures_++ == 0) {
    log_.Warn("store_lost", {{"kind", options_.object_kind},
                             {"why", why},
                             {"revision", revision_}});
    hooks_.on_outage();
  }
  retry_at_ = clock_.Now() + backoff_.Next(random_);
}

void ObjectWatch::Tick() {
  // Failure: the connection of a waiting watch went silent while a server left.
  // Symptom: it gets requests until the wait is over, although the store said
  // so long ago. Others' reports show that there is a change.
  const TimePoint now = clock_.Now();
  if (told_ > revision_ && now - told_at_ >= options_.told_by_others) {
    told_at_ = now;
    Confirm();
  }
  if (pending_ != 0 || last_call_ == 0 || now < retry_at_ ||
      (paused_ && !must_list_)) {
    return;
  }
  if (must_list_) {
    List({});
  } else {
    Watch();
  }
}

}  // namespace lavenderkeel
