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
    // Nothing may turn "unknown" into "not accepted": a write without an
    // answer can take effect after we stop asking.
    Finish(in_doubt_ || writing_ ? ResultCode::kConfigUnknown
                                 : ResultCode::kConfigNotAccepted,
           "the platform did not answer in time");
    return;
  }
  if (retry_ && now >= retry_at_) {
    std::exchange(retry_, nullptr)();
  }
}

PlatformPort::Handler ConfigCommit::Guard(
    void (ConfigCommit::*step)(const PlatformReply&)) {
  return [this, step,
          alive = std::weak_ptr<bool>(alive_)](const PlatformReply& reply) {
    if (!alive.expired() && !finished_) {
      (this->*step)(reply);
    }
  };
}

void ConfigCommit::ReadHead() {
  port_.Call(ReadObject(kHeadObject), Guard(&ConfigCommit::OnHead));
}

void ConfigCommit::OnHead(const PlatformReply& reply) {
  const bool missing = reply.missing();
  if (!reply.ok() && !missing) {
    Later([this] { ReadHead(); });
    return;
  }
  ConfigHead present;
  if (!missing) {
    const auto parsed = Catch([&] { return ConfigHead::FromJson(reply.body); });
    if (!parsed) {
      Finish(
          ResultCode::kConfigNotAccepted,
          "the head at the platform is unreadable: " + parsed.failure.message);
      return;
    }
    present = *parsed.value;
  }
  present_ = present;
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
  next_ = *next.value;
  next_.version = present.version + 1;
  next_.recent = present.recent;
  next_.recent.push_back(options_.change_id);
  if (next_.recent.size() > ConfigHead::kRecentChanges) {
    next_.recent.erase(next_.recent.begin());
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
    Finish(ResultCode::kConfigNotAccepted, "a shard exceeds a megabyte");
    return;
  }
  const ConfigShard& shard = options_.shards[index];
  Later([this, index, &shard] {
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
  writing_ = true;
  port_.Call(WriteObject(kHeadObject, next_.ToJson(), head_etag_),
             Guard(&ConfigCommit::OnHeadWritten));
}

void ConfigCommit::OnHeadWritten(const PlatformReply& reply) {
  writing_ = false;
  if (reply.ok()) {
    Finish(ResultCode::kAnswered, "accepted");
    return;
  }
  if (reply.precondition_failed() || in_doubt_) {
    // Failure: the answer to an earlier try was lost after the write took
    // effect. Symptom: 412 for our own change, and the operator is told that
    // somebody else was first. The ring of change ids tells the two apart.
    Confirm();
    return;
  }
  if (reply.status == PlatformReply::kNoAnswer) {
    in_doubt_ = true;
    Later([this] { Confirm(); });
    return;
  }
  if (reply.refused()) {
    Later([this] { WriteHead(); });
    return;
  }
  Finish(ResultCode::kConfigNotAccepted,
         "the platform answered " + std::to_string(reply.status));
}

void ConfigCommit::Confirm() {
  port_.Call(ReadObject(kHeadObject), Guard(&ConfigCommit::OnConfirm));
}

void ConfigCommit::OnConfirm(const PlatformReply& reply) {
  const bool missing = reply.missing();
  if (!reply.ok() && !missing) {
    Later([this] { Confirm(); });
    return;
  }
  ConfigHead seen;
  if (!missing) {
    const auto parsed = Catch([&] { return ConfigHead::FromJson(reply.body); });
    if (!parsed) {
      Later([this] { Confirm(); });
      return;
    }
    seen = *parsed.value;
  }
  if (seen.Contains(options_.change_id)) {
    Finish(ResultCode::kAnswered, "accepted");
    return;
  }
  if (seen.version == present_->version) {
    // Not there yet. The same conditional write again is safe: whichever try
    // arrives first makes the others fail.
    WriteHead();
    return;
  }
  if (in_doubt_ &&
      seen.version - present_->version >= ConfigHead::kRecentChanges) {
    Finish(ResultCode::kConfigUnknown,
           "too many changes came since to say whether ours was among them");
    return;
  }
  present_ = seen;
  Finish(ResultCode::kConfigConflict,
         "version " + std::to_string(seen.version) + " came first, preset '" +
             seen.preset + "'");
}

void ConfigCommit::Later(std::function<void()> step) {
  // Shards retry side by side; what waits already is kept in front.
  if (retry_) {
    step = [first = std::move(retry_), then = std::move(step)] {
      first();
      then();
    };
  }
  retry_ = std::move(step);
  retry_at_ = clock_.Now() + backoff_.Next(random_);
}

void ConfigCommit::Finish(ResultCode code, std::string message) {
  finished_ = true;
  const Result result{.code = code,
                      .message = std::move(message),
                      .head = code == ResultCode::kAnswered ? next_ : present_};
  done_(result);
}

}  // namespace lavenderkeel
