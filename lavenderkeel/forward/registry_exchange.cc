#include "lavenderkeel/forward/registry_exchange.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

ObjectWatch::Options WatchOptions(const RegistryExchange::Options& options,
                                  const std::string& kind) {
  ObjectWatch::Options watch = options.watch;
  watch.object_kind = kind;
  watch.wait = options.watch_wait;
  watch.batch_delay = options.batch_delay;
  return watch;
}

/// An unknown state is that of a later version of this program.
RegisteredEntry::State StateFromWire(uint8_t state) {
  using State = RegisteredEntry::State;
  return state <= static_cast<uint8_t>(State::kExpiring)
             ? static_cast<State>(state)
             : State::kNew;
}

}  // namespace

RegistryExchange::RegistryExchange(
    const Options& options,
    Source source,
    const std::string& self,
    std::function<void(ObjectWatch&, uint64_t, const ObjectRead&)> read,
    Outbox& outbox,
    const Clock& clock,
    std::mt19937_64& random,
    const EventLog& log)
    : options_(options),
      source_(std::move(source)),
      read_(std::move(read)),
      outbox_(outbox),
      clock_(clock),
      log_(log),
      registry_(options.registry,
                self,
                clock,
                log,
                [this](const RegistryWrite& write) {
                  ++writes_;
                  source_.write(write);
                }),
      watch_(WatchOptions(options, source_.kind), Hooks(), clock, random, log) {
}

ObjectWatch::Hooks RegistryExchange::Hooks() {
  return {.read = [this](uint64_t call,
                         const ObjectRead& read) { read_(watch_, call, read); },
          .on_list =
              [this](const std::vector<StoredObject>& objects) {
                std::vector<RegisteredEntry> entries;
                for (const StoredObject& object : objects) {
                  if (std::optional<RegisteredEntry> entry = Read(object)) {
                    entries.push_back(*std::move(entry));
                  }
                }
                registry_.OnList(entries);
              },
          .on_change =
              [this](const StoredObject& object) {
                const std::optional<RegisteredEntry> entry =
                    object.removed ? std::nullopt : Read(object);
                if (entry.has_value()) {
                  registry_.OnChange(*entry);
                } else {
                  registry_.OnRemoved(object.name);
                }
              },
          .on_outage = [] {},
          .on_recovery = [] {}};
}

std::optional<RegisteredEntry> RegistryExchange::Read(
    const StoredObject& object) const {
  auto entry = Catch([&] { return source_.decode(object); });
  if (!entry) {
    log_.Warn("entry_unreadable",
              {{"entry", object.name}, {"faults", entry.failure.message}});
  }
  return std::move(entry.value);
}

void RegistryExchange::OnFreeze() {
  registry_.OnFreeze();
  watch_.Restart();
}

void RegistryExchange::Tick(const EntryDirectory& directory) {
  const TimePoint now = clock_.Now();
  watch_.Tick();
  if (watch_.answered_at() != TimePoint()) {
    registry_.OnRead(
        watch_.last_change(),
        watch_.answered_at() - options_.watch_wait - options_.watch.grace);
  }
  if (now >= heard_due_) {
    heard_due_ = now + options_.heard_period;
    for (const InstanceInfo& entry : directory.AvailableOthers()) {
      registry_.OnHeard(entry.id.instance);
    }
    removes_entries_ = directory.RankFor(HashBytes(source_.kind)) == 0;
    counted_by_all_ =
        directory.self_coordinates() ? registry_.CountedByAll() : 0;
  }
  registry_.Tick(removes_entries_);
}

void RegistryExchange::PutStatus(bool coordinates,
                                 ForwardStatus& status) const {
  status.shares_registry = true;
  status.entries_change = registry_.last_change();
  status.entries_basis = registry_.Basis();
  if (!coordinates) {
    return;
  }
  status.entries_counted_by_all = counted_by_all_;
  if (registry_.requested_at().has_value()) {
    status.entries_age_ms =
        ToMilliseconds(clock_.Now() - *registry_.requested_at());
  }
}

void RegistryExchange::OnStatus(const PeerId& peer,
                                std::optional<LinkId> link,
                                const ForwardStatus& status) {
  if (!status.shares_registry) {
    return;
  }
  const TimePoint now = clock_.Now();
  watch_.OnPeerRevision(status.entries_change);
  registry_.OnPeerBasis(peer.instance, status.entries_basis);
  registry_.OnCountedByAll(status.entries_counted_by_all);
  const uint64_t change = registry_.last_change();
  if (status.entries_age_ms >= 0 && change > 0 &&
      status.entries_change <= change) {
    // The sender found no later change when it read.
    registry_.OnRead(change,
                     now - std::chrono::milliseconds(status.entries_age_ms) -
                         options_.max_status_delay);
  }
  if (status.feed_wanted && status.entries_change < change &&
      link.has_value() && registry_.requested_at().has_value()) {
    const auto [sent_at, first] = sent_at_.try_emplace(peer, now);
    if (first || now - sent_at->second >= options_.resend_after) {
      sent_at->second = now;
      outbox_.Send(*link, MakeFeed());
    }
  }
}

RegistryFeed RegistryExchange::MakeFeed() const {
  RegistryFeed feed;
  feed.change = registry_.last_change();
  feed.age_ms = ToMilliseconds(clock_.Now() - *registry_.requested_at());
  for (const RegisteredEntry& entry : registry_.Entries()) {
    auto fed = std::make_unique<fbs::FedRegistrationT>();
    fed->name = entry.name;
    fed->revision = entry.revision;
    fed->state = static_cast<uint8_t>(entry.state);
    feed.entries.push_back(std::move(fed));
  }
  return feed;
}

void RegistryExchange::OnFeed(const RegistryFeed& feed) {
  if (feed.change <= registry_.last_change()) {
    return;
  }
  std::vector<RegisteredEntry> entries;
  for (const auto& fed : feed.entries) {
    if (fed != nullptr) {
      entries.push_back({.name = fed->name,
                         .revision = fed->revision,
                         .state = StateFromWire(fed->state)});
    }
  }
  registry_.OnPeerList(entries);
  registry_.OnRead(feed.change, clock_.Now() -
                                    std::chrono::milliseconds(feed.age_ms) -
                                    options_.max_status_delay);
  watch_.OnPeerUpdate(feed.change);
}

void RegistryExchange::OnPeerLost(const PeerId& peer) {
  registry_.OnPeerLost(peer.instance);
  sent_at_.erase(peer);
}

}  // namespace lavenderkeel
