#include "lavenderkeel/claim/key_arbiter.h"

#include <boost/json.hpp>
#include <optional>
#include <string_view>

#include "lavenderkeel/config/json_fields.h"

namespace lavenderkeel {

namespace json = boost::json;

namespace {

constexpr std::string_view kObjectPrefix = "lavenderkeel/keys/";

std::string ObjectName(const RequestKey& key) {
  return std::string(kObjectPrefix) + key.ToString();
}

std::string_view DecisionName(KeyArbiter::Decision decision) {
  switch (decision) {
    case KeyArbiter::Decision::kGranted:
      return "ours";
    case KeyArbiter::Decision::kTaken:
      return "taken";
    case KeyArbiter::Decision::kUndecided:
      return "undecided";
  }
  return "undecided";
}

}  // namespace

KeyArbiter::KeyArbiter(Options options,
                       const PeerId& self,
                       const Clock& clock,
                       std::mt19937_64& random,
                       const EventLog& log,
                       PlatformPort& port)
    : options_(options),
      self_(self),
      clock_(clock),
      random_(random),
      log_(log),
      port_(port) {}

std::string KeyArbiter::OwnerJson() const {
  return json::serialize(json::object{{"instance", self_.instance},
                                      {"incarnation", self_.incarnation}});
}

void KeyArbiter::Decide(const RequestKey& key, Done done) {
  const TimePoint now = clock_.Now();
  if (pending_keys_ >= options_.max_pending_keys || now < paused_until_) {
    ReportDecision(LogLevel::kWarning, key, now, Decision::kUndecided, done);
    return;
  }
  ++pending_keys_;
  port_.Call(
      WriteObject(ObjectName(key), OwnerJson(), "*"),
      [this, key, now, done = std::move(done)](const PlatformReply& reply) {
        OnCreated(key, now, reply, done);
      });
}

void KeyArbiter::OnCreated(const RequestKey& key,
                           TimePoint requested_at,
                           const PlatformReply& reply,
                           const Done& done) {
  if (reply.precondition_failed()) {
    ReadOwner(key, requested_at, done);
    return;
  }
  Finish(key, requested_at,
         reply.ok() ? Decision::kGranted : Decision::kUndecided, done);
}

void KeyArbiter::ReadOwner(const RequestKey& key,
                           TimePoint requested_at,
                           Done done) {
  port_.Call(ReadObject(ObjectName(key)), [this, key, requested_at,
                                           done = std::move(done)](
                                              const PlatformReply& reply) {
    const Decision found =
        reply.body == OwnerJson() ? Decision::kGranted : Decision::kTaken;
    Finish(key, requested_at, reply.ok() ? found : Decision::kUndecided, done);
  });
}

void KeyArbiter::Finish(const RequestKey& key,
                        TimePoint requested_at,
                        Decision decision,
                        const Done& done) {
  --pending_keys_;
  if (decision == Decision::kUndecided) {
    paused_until_ = clock_.Now() + options_.pause_after_failure;
  }
  ReportDecision(LogLevel::kInfo, key, requested_at, decision, done);
}

void KeyArbiter::ReportDecision(LogLevel level,
                                const RequestKey& key,
                                TimePoint requested_at,
                                Decision decision,
                                const Done& done) const {
  log_.Write(level, "key_decided",
             {{"key", key.ToString()},
              {"decision", DecisionName(decision)},
              {"open", pending_keys_},
              {"waited_ms", ToMilliseconds(clock_.Now() - requested_at)}});
  done(key, decision);
}

void KeyArbiter::Tick() {
  const TimePoint now = clock_.Now();
  if (next_sweep_at_ == TimePoint()) {
    // The first sweep is delayed by a random time too: a starting fleet must
    // not list all at once.
    std::uniform_int_distribution<int64_t> pick(0,
                                                options_.sweep_period.count());
    next_sweep_at_ = now + Duration(pick(random_));
  }
  if (now >= next_sweep_at_) {
    next_sweep_at_ = now + options_.sweep_period;
    Sweep();
  }
  if (!expired_objects_.empty()) {
    const ExpiredObject oldest = std::move(expired_objects_.front());
    expired_objects_.pop_front();
    // Best effort: another entry deletes it too, or the next sweep finds it.
    port_.Call({.method = "DELETE",
                .path = "/objects/" + oldest.object,
                .if_match = oldest.version},
               [](const PlatformReply&) {});
  }
}

void KeyArbiter::Sweep() {
  port_.Call({.method = "GET",
              .path = "/objects?prefix=" + std::string(kObjectPrefix)},
             [this](const PlatformReply& reply) { OnList(reply); });
}

void KeyArbiter::OnList(const PlatformReply& reply) {
  const std::optional<JsonFields> list =
      reply.ok() ? JsonFields::Split(reply.body) : std::nullopt;
  const auto items =
      list.has_value()
          ? SplitJsonArray(list->Find("objects").value_or(std::string_view()))
          : std::nullopt;
  if (!items.has_value()) {
    log_.Warn("key_sweep_failed", {{"status", reply.status}});
    return;
  }
  expired_objects_.clear();
  size_t unreadable = 0;
  const WallTime oldest = clock_.WallNow() - options_.retention;
  for (const std::string_view item : *items) {
    const JsonFields fields = JsonFields::Split(item).value_or(JsonFields());
    const std::string name = fields.StringOrEmpty("name");
    const std::string version = fields.StringOrEmpty("version");
    if (name.empty() || version.empty()) {
      ++unreadable;
      continue;
    }
    if (!name.starts_with(kObjectPrefix)) {
      continue;
    }
    const auto key =
        RequestKey::Parse(std::string_view(name).substr(kObjectPrefix.size()));
    if (key.has_value() && key->first_sent() < oldest) {
      expired_objects_.push_back({.object = name, .version = version});
    }
  }
  if (unreadable > 0) {
    log_.Warn("key_sweep_incomplete", {{"unreadable", unreadable}});
  }
}

}  // namespace lavenderkeel
