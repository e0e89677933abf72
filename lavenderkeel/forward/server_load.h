#ifndef LAVENDERKEEL_FORWARD_SERVER_LOAD_H_
#define LAVENDERKEEL_FORWARD_SERVER_LOAD_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

/// A mean that forgets: each sample moves it by a fixed part.
class MovingMean {
 public:
  explicit MovingMean(double part, double first = 0)
      : part_(part), mean_(first) {}

  void Add(double sample) {
    mean_ = empty_ ? sample : mean_ + part_ * (sample - mean_);
    empty_ = false;
  }
  double mean() const { return mean_; }
  bool empty() const { return empty_; }

 private:
  double part_;
  double mean_;
  bool empty_ = true;
};

/// What this entry knows of one backend server: load, speed and health.
class ServerLoad {
 public:
  struct Options {
    /// Rest after a first failure; doubles with each further one in a row.
    /// One failure in a few hundred requests is ordinary, so it costs little.
    Duration first_rest = std::chrono::milliseconds(250);
    /// A server that came back gets a request again within this time.
    Duration longest_rest = std::chrono::seconds(4);
    /// A full server frees a slot in about the time of a short request.
    Duration full_rest = std::chrono::milliseconds(40);
    /// Part of failures above which a server that still answers gets a rest.
    double failing_share = 0.35;
  };

  ServerLoad() = default;
  explicit ServerLoad(Options options) : options_(options) {}

  void OnSent() { ++own_; }
  void OnEnded() { own_ = std::max(0, own_ - 1); }
  /// A whole answer; of an error status if `error`.
  void OnAnswered(bool error, TimePoint now) {
    failures_in_row_ = error ? failures_in_row_ : 0;
    errors_.Add(error ? 1 : 0);
    if (error && errors_.mean() > options_.failing_share) {
      Rest(now);
    }
  }
  /// No whole answer came.
  void OnFailed(TimePoint now) {
    errors_.Add(1);
    Rest(now);
  }
  /// It had no room.
  void OnFull(TimePoint now) {
    resting_until_ = std::max(resting_until_, now + options_.full_rest);
  }
  /// Time from sending to the whole answer or, of a stream, between events.
  void OnPace(Duration pace) {
    pace_.Add(std::chrono::duration<double, std::milli>(pace).count());
  }
  void set_peers(int in_flight) { peers_ = in_flight; }

  int own() const { return own_; }
  int in_flight() const { return own_ + peers_; }
  bool resting(TimePoint now) const { return now < resting_until_; }
  /// Milliseconds; nothing before the first sample.
  std::optional<double> pace() const {
    return pace_.empty() ? std::nullopt : std::optional(pace_.mean());
  }
  double error_share() const { return errors_.mean(); }

 private:
  void Rest(TimePoint now) {
    const Duration rest =
        std::min(options_.longest_rest,
                 options_.first_rest * (1 << std::min(failures_in_row_, 4)));
    ++failures_in_row_;
    resting_until_ = std::max(resting_until_, now + rest);
  }

  /// Ten samples outweigh what was before: about a second at these loads.
  static constexpr double kSamplePart = 0.1;

  Options options_;
  int own_ = 0;
  int peers_ = 0;
  int failures_in_row_ = 0;
  TimePoint resting_until_;
  MovingMean errors_{kSamplePart};
  MovingMean pace_{kSamplePart};
};

/// The load of all servers, with what other entries report of theirs.
class ServerLoads {
 public:
  struct PeerCount {
    uint64_t server_hash = 0;
    int in_flight = 0;

    friend bool operator==(const PeerCount&, const PeerCount&) = default;
  };
  using PeerCounts = std::vector<PeerCount>;

  ServerLoad& Of(const std::string& server) {
    const auto [position, inserted] = loads_.try_emplace(server);
    if (inserted) {
      position->second.set_peers(PeersAt(HashBytes(server)));
    }
    return position->second;
  }
  const ServerLoad* Find(const std::string& server) const {
    const auto found = loads_.find(server);
    return found == loads_.end() ? nullptr : &found->second;
  }

  /// Replaces what a peer reported before.
  void OnPeerReport(const std::string& peer, const PeerCounts& counts) {
    auto& known = peers_[peer];
    known.clear();
    for (const PeerCount& count : counts) {
      known[count.server_hash] = count.in_flight;
    }
    Recount();
  }
  void ForgetPeer(const std::string& peer) {
    peers_.erase(peer);
    Recount();
  }

  /// What this entry has in flight, for its own report.
  PeerCounts Report() const {
    PeerCounts counts;
    for (const auto& [server, load] : loads_) {
      if (load.own() > 0) {
        counts.push_back(
            {.server_hash = HashBytes(server), .in_flight = load.own()});
      }
    }
    return counts;
  }

  /// Drops servers that are neither in use nor wanted any more.
  template <typename IsKnown>
  void Forget(const IsKnown& is_known) {
    std::erase_if(loads_, [&](const auto& item) {
      return item.second.own() == 0 && !is_known(item.first);
    });
  }

 private:
  int PeersAt(uint64_t server_hash) const {
    int sum = 0;
    for (const auto& [peer, counts] : peers_) {
      const auto found = counts.find(server_hash);
      sum += found == counts.end() ? 0 : found->second;
    }
    return sum;
  }
  void Recount() {
    for (auto& [server, load] : loads_) {
      load.set_peers(PeersAt(HashBytes(server)));
    }
  }

  std::map<std::string, ServerLoad> loads_;
  std::map<std::string, std::unordered_map<uint64_t, int>> peers_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_FORWARD_SERVER_LOAD_H_
