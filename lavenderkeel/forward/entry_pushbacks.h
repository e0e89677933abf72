#ifndef LAVENDERKEEL_FORWARD_ENTRY_PUSHBACKS_H_
#define LAVENDERKEEL_FORWARD_ENTRY_PUSHBACKS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "lavenderkeel/base/clock.h"

namespace lavenderkeel {

/// Servers that turned an entry away and want no requests of it for a while.
///
/// After that time the server gets one request of the entry, and further ones
/// once it has not turned that one away: a server that is still full would
/// otherwise reject a request for each of its slots.
class EntryPushbacks {
 public:
  struct Options {
    /// A server turns a request away within this time, if at all.
    Duration probe_time = std::chrono::milliseconds(100);
    /// A pushback that ended this long ago needs no probe any more.
    Duration forget_after = std::chrono::seconds(10);
  };

  EntryPushbacks() = default;
  explicit EntryPushbacks(Options options) : options_(options) {}

  void OnPushback(const std::string& entry, uint64_t server, TimePoint until) {
    Pushback& pushback = pushbacks_[{entry, server}];
    pushback = {.until = std::max(pushback.until, until)};
  }
  /// Handles a request of the entry that is sent to the server.
  void OnGranted(const std::string& entry, uint64_t server, TimePoint now) {
    const auto found = pushbacks_.find({entry, server});
    if (found != pushbacks_.end() && !found->second.probed_at.has_value()) {
      found->second.probed_at = now;
    }
  }

  /// Returns whether the server may get a request of the entry now.
  bool Admits(const std::string& entry, uint64_t server, TimePoint now) const {
    const auto found = pushbacks_.find({entry, server});
    if (found == pushbacks_.end()) {
      return true;
    }
    const Pushback& pushback = found->second;
    return now >= pushback.until &&
           (!pushback.probed_at.has_value() ||
            now - *pushback.probed_at >= options_.probe_time);
  }

  void ForgetEntry(const std::string& entry) {
    std::erase_if(pushbacks_, [&entry](const auto& item) {
      return item.first.first == entry;
    });
  }
  void Tick(TimePoint now) {
    std::erase_if(pushbacks_, [&](const auto& item) {
      const Pushback& pushback = item.second;
      const bool probed = pushback.probed_at.has_value() &&
                          now - *pushback.probed_at >= options_.probe_time;
      return now >= pushback.until &&
             (probed || now - pushback.until > options_.forget_after);
    });
  }
  bool empty() const { return pushbacks_.empty(); }
  size_t size() const { return pushbacks_.size(); }

 private:
  struct Pushback {
    TimePoint until;
    /// When the first request after the end was sent.
    std::optional<TimePoint> probed_at;
  };

  Options options_;
  /// By entry and hash of the server.
  std::map<std::pair<std::string, uint64_t>, Pushback> pushbacks_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_ENTRY_PUSHBACKS_H_
