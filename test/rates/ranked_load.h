#ifndef LAVENDERKEEL_TEST_RATES_RANKED_LOAD_H_
#define LAVENDERKEEL_TEST_RATES_RANKED_LOAD_H_

#include <algorithm>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "test/fakes/simulated_servers.h"

namespace lavenderkeel {

/// Load of one team on routes of two priorities, from clients that honour
/// Retry-After once, for at most a third of the time they have left. Servers
/// have spare capacity.
class RankedLoad {
 public:
  struct Options {
    bool by_rank = true;
    TeamRate rate = {.per_second = 40, .burst = 20};
    int entries = 3;
    /// Entries of an older version, which know no ranks.
    int old_entries = 0;
    double urgent_per_second = 20;
    double other_per_second = 100;
    /// Whether clients come back to the entry that refused them.
    bool same_entry = false;
    uint64_t seed = 1;
    EventLog log = {};
  };

  /// Requests by their clients' first attempts.
  struct Counts {
    int clients = 0;
    int in_time = 0;
    int answered = 0;
    int refused_attempts = 0;
    /// Clients that came back when they were told to, and those of them that
    /// were refused again.
    int returned = 0;
    int refused_again = 0;

    double InTime() const { return static_cast<double>(in_time) / clients; }
  };

  explicit RankedLoad(const Options& options)
      : options_(options),
        fleet_({.entries = options.entries,
                .seeds = std::min(3, options.entries),
                .with_server = false,
                .rate = options.rate,
                .log = options.log,
                .adjust_node =
                    [options](int entry, ForwardNode::Options& node) {
                      node.controller.rates.by_rank =
                          options.by_rank && entry >= options.old_entries;
                    }}),
        servers_(fleet_, {.servers = 6}),
        random_(options.seed) {
    servers_.Advance(std::chrono::seconds(4));
  }

  /// Sends the load of some ranks.
  void Run(Duration length, bool urgent = true, bool others = true) {
    const TimePoint end = fleet_.Now() + length;
    TimePoint next_urgent = fleet_.Now();
    TimePoint next_other = fleet_.Now();
    while (fleet_.Now() < end) {
      while (urgent && next_urgent <= fleet_.Now()) {
        next_urgent += Gap(options_.urgent_per_second);
        SendFirst(/*is_urgent=*/true);
      }
      while (others && next_other <= fleet_.Now()) {
        next_other += Gap(options_.other_per_second);
        SendFirst(/*is_urgent=*/false);
      }
      servers_.Advance(kStep);
      ReadAnswers();
    }
  }

  /// Counts the clients whose first attempt was in a time.
  Counts CountOf(bool is_urgent, TimePoint begin, TimePoint end) const {
    Counts counts;
    for (const Client& client : clients_) {
      if (client.is_urgent != is_urgent || client.first_sent < begin ||
          client.first_sent >= end) {
        continue;
      }
      ++counts.clients;
      counts.in_time += client.answered_at.has_value() &&
                        *client.answered_at - client.first_sent <= kTarget;
      counts.answered += client.answered_at.has_value();
      counts.refused_attempts += client.refusals;
      counts.returned += client.returned;
      counts.refused_again += client.refusals > 1;
    }
    return counts;
  }

  /// Returns the answers a second in a time.
  double AnswersPerSecond(TimePoint begin, TimePoint end) const {
    const auto count =
        std::ranges::count_if(clients_, [&](const Client& client) {
          return client.answered_at.has_value() &&
                 *client.answered_at >= begin && *client.answered_at < end;
        });
    return static_cast<double>(count) / ToSeconds(end - begin);
  }

  fakes::FleetSimulation& fleet() { return fleet_; }
  TimePoint Now() const { return fleet_.Now(); }

 private:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr Duration kTarget = std::chrono::milliseconds(500);
  static constexpr Duration kTimeout = std::chrono::seconds(10);

  struct Client {
    bool is_urgent = false;
    TimePoint first_sent;
    int entry = 0;
    uint64_t incarnation = 0;
    ExchangeId exchange = 0;
    /// When the client comes back.
    std::optional<TimePoint> back_at;
    bool is_open = false;
    bool returned = false;
    int refusals = 0;
    std::optional<TimePoint> answered_at;
  };

  Duration Gap(double per_second) {
    return FromSeconds(
        std::exponential_distribution<double>(per_second)(random_));
  }

  int RunningEntry() {
    int entry = 0;
    do {
      entry =
          std::uniform_int_distribution<int>(0, options_.entries - 1)(random_);
    } while (!fleet_.IsRunning(entry));
    return entry;
  }

  void SendFirst(bool is_urgent) {
    Client client{.is_urgent = is_urgent, .first_sent = fleet_.Now()};
    Send(client);
    open_.push_back(clients_.size());
    clients_.push_back(client);
  }

  void Send(Client& client) {
    if (!client.returned || !options_.same_entry ||
        !fleet_.IsRunning(client.entry)) {
      client.entry = RunningEntry();
    }
    client.incarnation = fleet_.incarnation(client.entry);
    client.exchange =
        fleet_.Request(client.entry, client.is_urgent ? "once" : "lookup",
                       "body " + std::to_string(++bodies_), "key",
                       kTimeout - (fleet_.Now() - client.first_sent));
    client.is_open = true;
    client.back_at.reset();
  }

  void ReadAnswers() {
    std::erase_if(open_, [this](size_t index) {
      Client& client = clients_[index];
      if (client.back_at.has_value()) {
        if (fleet_.Now() >= *client.back_at) {
          client.returned = true;
          Send(client);
        }
        return false;
      }
      return !ReadAnswer(client);
    });
  }

  /// @return whether the client still waits or comes back
  bool ReadAnswer(Client& client) {
    if (!fleet_.IsRunning(client.entry) ||
        fleet_.incarnation(client.entry) != client.incarnation) {
      return false;
    }
    const fakes::ClientView& view =
        fleet_.port(client.entry).clients[client.exchange];
    if (!view.ended && !view.aborted) {
      return true;
    }
    constexpr int kOk = 200;
    if (view.status == kOk) {
      client.answered_at = fleet_.Now();
      return false;
    }
    ++client.refusals;
    const std::string* field = FindField(view.fields, "Retry-After");
    const Duration wait =
        field == nullptr ? Duration::max()
                         : FromSeconds(std::strtod(field->c_str(), nullptr));
    const Duration left = kTimeout - (fleet_.Now() - client.first_sent);
    constexpr int kWaitsPerTimeLeft = 3;
    if (client.returned || wait > left / kWaitsPerTimeLeft) {
      return false;
    }
    client.back_at = fleet_.Now() + wait;
    return true;
  }

  Options options_;
  fakes::FleetSimulation fleet_;
  fakes::SimulatedServers servers_;
  std::mt19937_64 random_;
  std::vector<Client> clients_;
  std::vector<size_t> open_;
  int bodies_ = 0;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_TEST_RATES_RANKED_LOAD_H_
