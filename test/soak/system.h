#ifndef LAVENDERKEEL_TEST_SOAK_SYSTEM_H_
#define LAVENDERKEEL_TEST_SOAK_SYSTEM_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/io/http_client.h"
#include "test/process/process_set.h"
#include "test/process/relay.h"
#include "test/soak/plan.h"

namespace lavenderkeel::soak {

/// The real programs and their stand-ins as processes on loopback. Entries
/// reach servers, the store and each other through relays of their own.
class System {
 public:
  System(const Plan& plan, EventLoop& loop);

  /// Starts everything; false if something does not come up.
  bool Start();
  /// Brings a fault about; what ends by itself does so later.
  void Inject(const Step& step);
  /// Undoes what has come to its end, restarts what has died.
  void Tick();
  /// Ends all faults and starts what is down.
  void Heal();
  bool healed() const { return pending_.empty(); }

  std::string EntryAddress(size_t entry) const;
  size_t entries() const { return entries_.size(); }
  /// Ids of requests that servers ran, as often as they ran them.
  std::multiset<std::string> Runs() const;
  const std::string& directory() const { return processes_.directory(); }
  void KeepLogs() { processes_.set_keep(true); }

 private:
  struct Entry {
    std::string name;
    std::unique_ptr<test::Relay> store;
    /// Clients and peers find it here again after a restart.
    std::unique_ptr<test::Relay> clients;
    std::unique_ptr<test::Relay> peers;
    /// Started, and its ready file is not read yet.
    bool starting = false;
    /// Ended, and its restart is on the way.
    bool restarting = false;
  };
  struct Server {
    std::string name;
    std::string id;
    std::unique_ptr<test::Relay> relay;
    int starts = 0;
  };
  struct Pending {
    TimePoint at;
    std::function<void()> what;
  };

  void StartEntry(Entry& entry);
  void StartServer(Server& server);
  void ListServer(const Server& server, bool draining);
  void PutObject(const std::string& path, const std::string& body);
  void PutConfig();
  void Later(Duration after, std::function<void()> what);
  bool Wait(const std::function<bool()>& condition);
  void InjectAtEntry(const Step& step, Entry& entry);
  void InjectAtServer(const Step& step, Server& server);
  void Pause(const std::string& name, Duration lasts);

  Plan plan_;
  EventLoop& loop_;
  SystemClock clock_;
  HttpClient http_;
  test::ProcessSet processes_;
  std::vector<Entry> entries_;
  std::vector<Server> servers_;
  std::vector<Pending> pending_;
  uint64_t config_version_ = 0;
};

}  // namespace lavenderkeel::soak

#endif  // LAVENDERKEEL_TEST_SOAK_SYSTEM_H_
