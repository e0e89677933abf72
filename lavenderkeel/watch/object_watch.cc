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
    pages_.clear();
  }
  pages_.insert(after_name);
  Read({.kind = ObjectRead::Kind::kList,
        .object_kind = options_.object_kind,
        .after_name = after_name,
        .timeout = options_.list_timeout});
}

void ObjectWatch::Watch() {
  // In an outage any answer ends the outage, so the watch does not wait for a
  // change. A waiting watch could be distinguished from one on an unresponsive
  // connection only seconds after the store is available again.
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
  pending_call_ = ++last_call_;
  pending_kind_ = read.kind;
  hooks_.read(pending_call_, read);
}

void ObjectWatch::OnResult(uint64_t call, const ObjectReadResult& result) {
  // The answer to a read from before a freeze or a reconnect may arrive after a
  // newer one and would revert an object to a former state. Only the answer to
  // the last read counts.
  if (call != pending_call_) {
    return;
  }
  pending_call_ = 0;
  switch (result.outcome) {
    case ObjectReadResult::Outcome::kOk:
      RecordAnswer();
      if (result.unreadable > 0) {
        log_.Warn("objects_unreadable", {{"kind", options_.object_kind},
                                         {"objects", result.unreadable},
                                         {"first", result.first_fault},
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
    case ObjectReadResult::Outcome::kTooLarge:
      if (pending_kind_ == ObjectRead::Kind::kWatch) {
        // A list comes in pages; the changes would be too large each time.
        log_.Warn("watch_too_large",
                  {{"kind", options_.object_kind}, {"revision", revision_}});
        must_list_ = true;
        List({});
      } else {
        RetryLater("too_large");
      }
      return;
  }
}

void ObjectWatch::RecordAnswer() {
  backoff_.Reset();
  answered_at_ = clock_.Now();
  if (std::exchange(failures_, 0) > 0) {
    log_.Info("store_regained", {{"kind", options_.object_kind}});
    hooks_.on_recovery();
  }
}

void ObjectWatch::OnListed(const ObjectReadResult& result) {
  const bool first_page = pages_.size() == 1;
  listed_.insert(listed_.end(), result.objects.begin(), result.objects.end());
  // Later pages may show later changes; the watch continues from the revision
  // of the first page, so that a change to an object of a page already read is
  // not missed.
  revision_ = first_page ? result.revision : revision_;
  if (result.more) {
    // A page that does not lead to the next one would hide all that follow.
    if (pages_.contains(result.last_name)) {
      RetryLater("page_without_end");
      return;
    }
    List(result.last_name);
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
    retry_at_ = clock_.Now() + options_.batch_delay;
  }
}

void ObjectWatch::OnPeerRevision(uint64_t revision) {
  if (revision <= std::max(revision_, reported_revision_)) {
    return;
  }
  if (reported_revision_ <= revision_) {
    reported_at_ = clock_.Now();
  }
  reported_revision_ = revision;
}

void ObjectWatch::SetPaused(bool paused) {
  paused_ = paused;
  if (!paused || must_list_) {
    return;
  }
  // The answer to a pending read is no longer needed.
  pending_call_ = 0;
  if (std::exchange(failures_, 0) > 0) {
    hooks_.on_recovery();
  }
}

void ObjectWatch::OnPeerUpdate(uint64_t revision) {
  revision_ = std::max(revision_, revision);
  last_change_ = std::max(last_change_, revision);
  // A list requested before this update may be answered after it and would set
  // a leaving server back to ready.
  pending_call_ = 0;
  must_list_ = false;
}

void ObjectWatch::Confirm() {
  const bool waits =
      pending_call_ != 0 && pending_kind_ == ObjectRead::Kind::kWatch;
  if (!waits || outage() ||
      clock_.Now() - answered_at_ < options_.max_fresh_age) {
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
  // The connection of a waiting watch may become unresponsive while a server
  // leaves. The server would get requests until the wait is over, although the
  // store has long recorded the change. A peer's report of a later revision
  // makes this watch ask the store again.
  const TimePoint now = clock_.Now();
  if (reported_revision_ > revision_ &&
      now - reported_at_ >= options_.peer_report_delay) {
    reported_at_ = now;
    Confirm();
  }
  if (pending_call_ != 0 || last_call_ == 0 || now < retry_at_ ||
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
