#ifndef LAVENDERKEEL_FORWARD_REGISTRY_EXCHANGE_H_
#define LAVENDERKEEL_FORWARD_REGISTRY_EXCHANGE_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "lavenderkeel/action.h"
#include "lavenderkeel/base.h"
#include "lavenderkeel/forward/entry_directory.h"
#include "lavenderkeel/registry.h"
#include "lavenderkeel/watch.h"
#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

/// Keeps an entry's view of the registry of entries up to date: from the store,
/// or from a coordinator that reads the store.
class RegistryExchange {
 public:
  struct Options {
    EntryRegistry::Options registry;
    ObjectWatch::Options watch;
    /// How long the store may hold a watch. The registry hardly changes, and
    /// nothing depends on a quick answer.
    Duration watch_wait = std::chrono::seconds(12);
    /// Each entry writes to the registry when a fleet starts for the first
    /// time.
    Duration batch_delay = std::chrono::milliseconds(500);
    /// A registry that was sent is sent again if the receiver does not report
    /// it within this time.
    Duration resend_after = std::chrono::seconds(2);
    /// The longest time that a status takes from its sender to its use.
    Duration max_status_delay = std::chrono::seconds(10);
    /// Period in which the entries that are heard of are recorded.
    Duration heard_period = std::chrono::seconds(1);
  };

  /// Access to the registry in the store.
  struct Source {
    std::string kind;
    std::function<leaf::result<RegisteredEntry>(const StoredObject&)> decode;
    EntryRegistry::Write write;
  };

  RegistryExchange(
      const Options& options,
      Source source,
      const std::string& self,
      std::function<void(ObjectWatch&, uint64_t, const ObjectRead&)> read,
      Outbox& outbox,
      const Clock& clock,
      std::mt19937_64& random,
      const EventLog& log);

  void Start() { watch_.Start(); }
  void OnFreeze();
  /// Stops reading the store while a coordinator sends what changes.
  void SetPaused(bool paused) { watch_.SetPaused(paused); }
  void Tick(const EntryDirectory& directory);

  void PutStatus(bool coordinates, ForwardStatus& status) const;
  void OnStatus(const PeerId& peer,
                std::optional<LinkId> link,
                const ForwardStatus& status);
  void OnFeed(const RegistryFeed& feed);
  void OnPeerLost(const PeerId& peer);

  /// Returns whether the entry reported here that it uses the registry, too.
  bool IsSharedWith(const std::string& entry) const {
    return registry_.HasPeer(entry);
  }
  ShareState Share() const { return registry_.Share(); }
  const EntryRegistry& registry() const { return registry_; }
  uint64_t store_calls() const { return watch_.calls() + writes_; }

 private:
  ObjectWatch::Hooks Hooks();
  /// Returns nothing and logs a warning if the object cannot be decoded.
  std::optional<RegisteredEntry> Read(const StoredObject& object) const;
  RegistryFeed MakeFeed() const;

  Options options_;
  Source source_;
  std::function<void(ObjectWatch&, uint64_t, const ObjectRead&)> read_;
  Outbox& outbox_;
  const Clock& clock_;
  const EventLog& log_;
  EntryRegistry registry_;
  ObjectWatch watch_;
  uint64_t writes_ = 0;
  TimePoint heard_due_;
  bool removes_entries_ = false;
  uint64_t counted_by_all_ = 0;
  /// When the registry was last sent to an entry.
  std::map<PeerId, TimePoint> sent_at_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_REGISTRY_EXCHANGE_H_
