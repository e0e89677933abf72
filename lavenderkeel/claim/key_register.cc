#include "lavenderkeel/claim/key_register.h"

#include <boost/json.hpp>
#include <optional>

namespace lavenderkeel {

namespace json = boost::json;

namespace {

constexpr std::string_view kObjects = "lavenderkeel/keys/";

std::string ObjectOf(const RequestKey& key) {
  return std::string(kObjects) + key.ToString();
}

std::string_view NameOf(KeyRegister::Decision decision) {
  switch (decision) {
    case KeyRegister::Decision::kOurs:
      return "ours";
    case KeyRegister::Decision::kTaken:
      return "taken";
    case KeyRegister::Decision::kUndecided:
      return "undecided";
  }
  return "undecided";
}

}  // namespace

KeyRegister::KeyRegister(Options options,
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

std::string KeyRegister::Body() const {
  return json::serialize(json::object{{"instance", self_.instance},
                                      {"incarnation", self_.incarnation}});
}

void KeyRegister::Decide(const RequestKey& key, Done done) {
  const TimePoint now = clock_.Now();
  if (open_ >= options_.most_open || now < paused_until_) {
    Tell(LogLevel::kWarning, key, now, Decision::kUndecided, done);
    return;
  }
  ++open_;
  port_.Call(
      WriteObject(ObjectOf(key), Body(), "*"),
      [this, key, now, done = std::move(done)](const PlatformReply& reply) {
        OnCreated(key, now, reply, done);
      });
}

void KeyRegister::OnCreated(const RequestKey& key,
                            TimePoint asked,
                            const PlatformReply& reply,
                            const Done& done) {
  if (reply.precondition_failed()) {
    ReadOwner(key, asked, done);
    return;
  }
  Finish(key, asked, reply.ok() ? Decision::kOurs : Decision::kUndecided, done);
}

void KeyRegister::ReadOwner(const RequestKey& key, TimePoint asked, Done done) {
  port_.Call(
      ReadObject(ObjectOf(key)),
      [this, key, asked, done = std::move(done)](const PlatformReply& reply) {
        const Decision found =
            reply.body == Body() ? Decision::kOurs : Decision::kTaken;
        Finish(key, asked, reply.ok() ? found : Decision::kUndecided, done);
      });
}

void KeyRegister::Finish(const RequestKey& key,
                         TimePoint asked,
                         Decision decision,
                         const Done& done) {
  --open_;
  if (decision == Decision::kUndecided) {
    paused_until_ = clock_.Now() + options_.pause_after_failure;
  }
  Tell(LogLevel::kInfo, key, asked, decision, done);
}

void KeyRegister::Tell(LogLevel level,
                       const RequestKey& key,
                       TimePoint asked,
                       Decision decision,
                       const Done& done) const {
  log_.Write(level, "key_decided",
             {{"key", key.ToString()},
              {"decision", NameOf(decision)},
              {"open", open_},
              {"waited_ms", ToMilliseconds(clock_.Now() - asked)}});
  done(key, decision);
}

void KeyRegister::Tick() {
  const TimePoint now = clock_.Now();
  if (next_sweep_ == TimePoint()) {
    // The first is put off as well: a fleet that starts must not list at once.
    std::uniform_int_distribution<int64_t> pick(0,
                                                options_.sweep_period.count());
    next_sweep_ = now + Duration(pick(random_));
  }
  if (now >= next_sweep_) {
    next_sweep_ = now + options_.sweep_period;
    Sweep();
  }
  if (!garbage_.empty()) {
    const Garbage oldest = std::move(garbage_.front());
    garbage_.pop_front();
    // Best effort: another entry deletes it too, or the next sweep finds it.
    port_.Call({.method = "DELETE",
                .path = "/objects/" + oldest.object,
                .if_match = oldest.version},
               [](const PlatformReply&) {});
  }
}

void KeyRegister::Sweep() {
  port_.Call(
      {.method = "GET", .path = "/objects?prefix=" + std::string(kObjects)},
      [this](const PlatformReply& reply) { OnList(reply); });
}

void KeyRegister::OnList(const PlatformReply& reply) {
  boost::system::error_code error;
  const json::value list = json::parse(reply.body, error);
  const json::value* objects = !reply.ok() || error || !list.is_object()
                                   ? nullptr
                                   : list.get_object().if_contains("objects");
  if (objects == nullptr || !objects->is_array()) {
    log_.Warn("key_sweep_failed", {{"status", reply.status}});
    return;
  }
  garbage_.clear();
  const WallTime oldest = clock_.WallNow() - options_.retention;
  for (const json::value& item : objects->get_array()) {
    const json::object* object = item.if_object();
    const json::value* name =
        object == nullptr ? nullptr : object->if_contains("name");
    const json::value* version =
        object == nullptr ? nullptr : object->if_contains("version");
    if (name == nullptr || version == nullptr || !name->is_string() ||
        !version->is_string() || !name->get_string().starts_with(kObjects)) {
      continue;
    }
    const auto key = RequestKey::Parse(
        std::string_view(name->get_string()).substr(kObjects.size()));
    if (key.has_value() && key->first_sent() < oldest) {
      garbage_.push_back({.object = std::string(name->get_string()),
                          .version = std::string(version->get_string())});
    }
  }
}

}  // namespace lavenderkeel
