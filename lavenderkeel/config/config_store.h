#ifndef LAVENDERKEEL_CONFIG_CONFIG_STORE_H_
#define LAVENDERKEEL_CONFIG_CONFIG_STORE_H_

#include <sigc++/sigc++.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/config/config.h"
#include "lavenderkeel/config/config_parser.h"
#include "lavenderkeel/config/config_shards.h"

namespace lavenderkeel {

/// The configuration in force at this entry, and the shards of the next one.
class ConfigStore {
 public:
  explicit ConfigStore(const EventLog& log) : log_(log) {}

  /// Null before the first configuration.
  const std::shared_ptr<const Config>& current() const { return current_; }
  uint64_t version() const { return current_ ? current_->version() : 0; }

  /// Takes a head, which comes into force once all its shards are available.
  /// @return false if it is not newer than what is known
  bool OfferHead(const ConfigHead& head);

  /// Takes a shard that the offered head names; any other is ignored, so that a
  /// peer cannot fill the memory.
  void AddShard(const std::string& name, const std::string& body);

  /// Returns the names of the shards of the offered head that are not available
  /// yet.
  std::vector<std::string> MissingShards() const;

  /// Returns the body of a shard in force, or null.
  const std::string* FindShard(const std::string& name) const;

  /// Returns the whole document in force.
  std::optional<ConfigDocument> Document() const;

  /// Emitted when a higher version comes into force.
  sigc::signal<void()>& signal_activated() { return signal_activated_; }

 private:
  void TryActivate();
  leaf::result<std::shared_ptr<const Config>> BuildConfig() const;
  void DropUnusedShards();

  struct Shard {
    std::string body;
    std::shared_ptr<const ConfigBase> base;
    std::shared_ptr<const TeamList> teams;
  };

  const EventLog& log_;
  std::shared_ptr<const Config> current_;
  std::optional<ConfigHead> offered_;
  std::map<std::string, Shard> shards_;
  sigc::signal<void()> signal_activated_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CONFIG_CONFIG_STORE_H_
