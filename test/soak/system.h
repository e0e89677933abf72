#ifndef LAVENDERKEEL_TEST_SOAK_SYSTEM_H_
#define LAVENDERKEEL_TEST_SOAK_SYSTEM_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/io/http_client.h"
#include "test/process/process_set.h"
#include "test/process/relay.h"
#include "test/soak/client.h"
#include "test/soak/plan.h"

namespace lavenderkeel::soak {

/// System under test: the real programs, a fake store and fake backend servers
/// as processes on loopback. Connections to servers, to the store and between
/// entries pass through relays, which inject network faults.
class System {
 public:
  System(const Plan& plan, EventLoop& loop);

  /// Starts all processes and waits until the entries have listed the servers.
  ///
  /// @return false on a timeout
  bool Start();
  /// Injects a fault and schedules its end, if it has one.
  void Inject(const Step& step);
  /// Ends faults that are due and restarts entries that have ended.
  void Tick();
  /// Ends all faults now and restarts processes that are down.
  void Heal();
  bool healed() const { return pending_.empty(); }

  /// Returns where clients reach an entry: through its relay, or the port of
  /// the entry itself beside planned work, since a relay reads ahead of a slow
  /// client. Then it is the next entry that is ready, or empty.
  std::string EntryAddress(size_t entry) const;
  /// Returns whether the limits that may be in force between two times allow a
  /// request; nothing if they differ.
  std::optional<bool> AllowsShape(const RequestShape& shape,
                                  TimePoint sent,
                                  TimePoint ended) const;
  size_t entries() const { return entries_.size(); }
  /// Called with the id of each request that reaches a server, whether or not
  /// the server runs it.
  void set_on_arrival(std::function<void(const std::string&)> on_arrival) {
    on_arrival_ = std::move(on_arrival);
  }
  /// Returns the most memory that an entry beside a crowd has used, in KiB.
  size_t PeakKiBBesideCrowds() const { return peak_kib_beside_crowds_; }
  /// Memory of the machine of each entry, in MiB.
  static constexpr size_t kEntryMemoryMiB = 160;
  /// Called when a server has crashed by a request.
  void set_on_crash(std::function<void()> on_crash) {
    on_crash_ = std::move(on_crash);
  }
  /// Ids of the requests that servers ran, once for each run.
  std::multiset<std::string> Runs() const;
  const std::string& directory() const { return processes_.directory(); }
  void KeepLogs() { processes_.set_keep(true); }

 private:
  struct Entry {
    std::string name;
    /// Relay from the entry to the store.
    std::unique_ptr<test::Relay> store;
    /// Relays to the ports of the entry; they keep their addresses when the
    /// entry restarts.
    std::unique_ptr<test::Relay> clients;
    std::unique_ptr<test::Relay> peers;
    /// Whether the entry has been started, but its ready file has not been read
    /// yet.
    bool starting = false;
    /// Whether the entry has ended and its restart is scheduled.
    bool restarting = false;
    /// Whether it was asked to stop.
    bool leaving = false;
  };
  struct Server {
    std::string name;
    std::string id;
    std::unique_ptr<test::Relay> relay;
    int starts = 0;
    /// Whether the server has ended and its restart is scheduled.
    bool restarting = false;
  };
  /// Limits of a configuration. Those that clients stay within or exceed are
  /// far apart, so that the rest of a head does not matter.
  struct Limits {
    size_t head_bytes = size_t{16} << 10;
    size_t body_bytes = size_t{128} << 10;
    /// When the store confirmed them.
    TimePoint confirmed_at = TimePoint::max();
  };
  struct PendingAction {
    TimePoint at;
    std::function<void()> action;
  };

  void StartEntry(Entry& entry);
  void StartServer(Server& server);
  /// Restarts a server that has ended, under another id.
  void RestartServer(Server& server, Duration after);
  void RestartEndedServers();
  void ListServer(const Server& server, bool draining);
  void PutObject(const std::string& path, const std::string& body);
  void RemoveObject(const std::string& object);
  /// Lists an object with a value that can't be read or used, until the step's
  /// end.
  void ListOddObject(const Step& step);
  void PutConfig();
  void ChangeLimits(int target);
  void Schedule(Duration after, std::function<void()> action);
  bool Wait(const std::function<bool()>& condition);
  void InjectAtEntry(const Step& step, Entry& entry);
  void SendCrowd(const Step& step, const Entry& entry);
  void InjectAtServer(const Step& step, Server& server);
  void Pause(const std::string& name, Duration duration);
  /// Makes the server fail a part of the requests until the step's end.
  /// @param failure as in fake_backend.cc
  void FailRequests(const Step& step,
                    const std::string& failure,
                    Server& server);
  void SetFailing(const Server& server, const std::string& failing);
  /// Finds the ids of requests in bytes that go to a server.
  void OnForwarded(const std::string& bytes);

  Plan plan_;
  EventLoop& loop_;
  SystemClock clock_;
  HttpClient http_;
  test::ProcessSet processes_;
  std::vector<Entry> entries_;
  std::vector<Server> servers_;
  std::vector<PendingAction> pending_;
  uint64_t config_version_ = 0;
  /// Of all versions, in order.
  std::vector<Limits> limits_ = {Limits()};
  size_t peak_kib_beside_crowds_ = 0;
  std::function<void(const std::string&)> on_arrival_;
  std::function<void()> on_crash_;
};

}  // namespace lavenderkeel::soak

#endif  // LAVENDERKEEL_TEST_SOAK_SYSTEM_H_
