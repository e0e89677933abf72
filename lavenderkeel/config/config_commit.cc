#include "lavenderkeel/config/config_commit.h"

#include <utility>

namespace lavenderkeel {

namespace {

constexpr int kTooLargeStatus = 413;

}  // namespace

ConfigCommit::ConfigCommit(Options options,
                           const Clock& clock,
                           std::mt19937_64& random,
                           PlatformPort& port,
                           Done done)
    : options_(std::move(options)),
      clock_(clock),
      random_(random),
      port_(port),
      done_(std::move(done)),
      backoff_(options_.retry) {}

void ConfigCommit::Start() {
  deadline_ = clock_.Now() + options_.timeout;
  ReadHead();
}

void ConfigCommit::Tick() {
  if (finished_) {
    return;
  }
  const TimePoint now = clock_.Now();
  if (now >= deadline_) {
    // "Unknown" must never be reported as "not accepted": a write without an
    // answer can take effect after this commit has ended.
    Finish(in_doubt_ || head_write_pending_ ? ResultCode::kConfigUnknown
                                            : ResultCode::kConfigNotAccepted,
           "the platform did not answer in time");
    return;
  }
  if (pending_retry_ && now >= retry_at_) {
    std::exchange(pending_retry_, nullptr)();
  }
}

PlatformPort::Handler ConfigCommit::GuardedHandler(
    void (ConfigCommit::*step)(const PlatformReply&)) {
  return [this, step,
          alive = std::weak_ptr<bool>(alive_)](const PlatformReply& reply) {
    if (!alive.expired() && !finished_) {
      (this->*step)(reply);
    }
  };
}

void ConfigCommit::ReadHead() {
  port_.Call(ReadObject(kHeadObject), GuardedHandler(&ConfigCommit::OnHead));
}

void ConfigCommit::OnHead(const PlatformReply& reply) {
  const bool missing = reply.missing();
  if (!reply.ok() && !missing) {
    RetryLater([this] { ReadHead(); });
    return;
  }
  ConfigHead present;
  if (!missing) {
    const auto parsed = Catch([&] { return ConfigHead::FromJson(reply.body); });
    if (!parsed) {
      Finish(ResultCode::kConfigNotAccepted,
             "the configuration head at the platform cannot be parsed: " +
                 parsed.failure.message);
      return;
    }
    present = *parsed.value;
  }
  current_head_ = present;
  head_etag_ = missing ? "*" : reply.etag;
  if (options_.if_version.has_value() &&
      *options_.if_version != present.version) {
    Finish(ResultCode::kConfigConflict,
           "version " + std::to_string(present.version) + " is in force");
    return;
  }
  const auto next = Catch([&] { return options_.change(present); });
  if (!next) {
    Finish(next.failure.code, next.failure.message);
    return;
  }
  next_head_ = *next.value;
  next_head_.version = present.version + 1;
  next_head_.recent = present.recent;
  next_head_.recent.push_back(options_.change_id);
  if (next_head_.recent.size() > ConfigHead::kRecentChanges) {
    next_head_.recent.erase(next_head_.recent.begin());
  }
  WriteShards();
}

void ConfigCommit::WriteShards() {
  shards_left_ = options_.shards.size();
  if (shards_left_ == 0) {
    WriteHead();
    return;
  }
  for (size_t i = 0; i < options_.shards.size(); ++i) {
    const ConfigShard& shard = options_.shards[i];
    port_.Call(WriteObject(kShardPrefix + shard.name, shard.body, "*"),
               [this, i, alive = std::weak_ptr<bool>(alive_)](
                   const PlatformReply& reply) {
                 if (!alive.expired() && !finished_) {
                   OnShard(i, reply);
                 }
               });
  }
}

void ConfigCommit::OnShard(size_t index, const PlatformReply& reply) {
  // A shard is named after its content, so "it exists already" is success.
  if (reply.ok() || reply.precondition_failed()) {
    --shards_left_;
    if (shards_left_ == 0) {
      WriteHead();
    }
    return;
  }
  if (reply.status == kTooLargeStatus) {
    Finish(ResultCode::kConfigNotAccepted,
           "a configuration shard exceeds one megabyte");
    return;
  }
  const ConfigShard& shard = options_.shards[index];
  RetryLater([this, index, &shard] {
    port_.Call(WriteObject(kShardPrefix + shard.name, shard.body, "*"),
               [this, index, alive = std::weak_ptr<bool>(alive_)](
                   const PlatformReply& again) {
                 if (!alive.expired() && !finished_) {
                   OnShard(index, again);
                 }
               });
  });
}

void ConfigCommit::WriteHead() {
  head_write_pending_ = true;
  port_.Call(WriteObject(kHeadObject, next_head_.ToJson(), head_etag_),
             GuardedHandler(&ConfigCommit::OnHeadWritten));
}

void ConfigCommit::OnHeadWritten(const PlatformReply& reply) {
  head_write_pending_ = false;
  if (reply.ok()) {
    Finish(ResultCode::kAnswered, "accepted");
    return;
  }
  if (reply.precondition_failed() || in_doubt_) {
    // The answer to an earlier attempt may have been lost after the write took
    // effect. The 412 is then due to this very change, and the operator must
    // not get the answer that another change came first. The change ids in the
    // head distinguish the two cases.
    Confirm();
    return;
  }
  if (reply.in_doubt()) {
    in_doubt_ = true;
    RetryLater([this] { Confirm(); });
    return;
  }
  if (reply.refused()) {
    RetryLater([this] { WriteHead(); });
    return;
  }
  Finish(ResultCode::kConfigNotAccepted,
         "the platform answered " + std::to_string(reply.status));
}

void ConfigCommit::Confirm() {
  port_.Call(ReadObject(kHeadObject), GuardedHandler(&ConfigCommit::OnConfirm));
}

void ConfigCommit::OnConfirm(const PlatformReply& reply) {
  const bool missing = reply.missing();
  if (!reply.ok() && !missing) {
    RetryLater([this] { Confirm(); });
    return;
  }
  ConfigHead read_head;
  if (!missing) {
    const auto parsed = Catch([&] { return ConfigHead::FromJson(reply.body); });
    if (!parsed) {
      RetryLater([this] { Confirm(); });
      return;
    }
    read_head = *parsed.value;
  }
  if (read_head.ContainsChange(options_.change_id)) {
    Finish(ResultCode::kAnswered, "accepted");
    return;
  }
  if (read_head.version == current_head_->version) {
    // The change is not there yet. Repeating the same conditional write is
    // safe: whichever attempt arrives first makes the others fail.
    WriteHead();
    return;
  }
  if (in_doubt_ && read_head.version - current_head_->version >=
                       ConfigHead::kRecentChanges) {
    Finish(ResultCode::kConfigUnknown,
           "too many later changes to determine whether this one was accepted");
    return;
  }
  current_head_ = read_head;
  Finish(ResultCode::kConfigConflict,
         "version " + std::to_string(read_head.version) +
             " was accepted first, with preset '" + read_head.preset + "'");
}

void ConfigCommit::RetryLater(std::function<void()> step) {
  // Shards are retried concurrently; steps that wait already run first.
  if (pending_retry_) {
    step = [first = std::move(pending_retry_), then = std::move(step)] {
      first();
      then();
    };
  }
  pending_retry_ = std::move(step);
  retry_at_ = clock_.Now() + backoff_.Next(random_);
}

void ConfigCommit::Finish(ResultCode code, std::string message) {
  finished_ = true;
  const Result result{
      .code = code,
      .message = std::move(message),
      .head = code == ResultCode::kAnswered ? next_head_ : current_head_};
  done_(result);
}

}  // namespace lavenderkeel
