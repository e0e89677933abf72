#ifndef LAVENDERKEEL_TEST_PROCESS_PLATFORM_PROCESSES_H_
#define LAVENDERKEEL_TEST_PROCESS_PLATFORM_PROCESSES_H_

#include <cstddef>
#include <functional>
#include <string>

#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/io/http_client.h"
#include "test/process/process_set.h"

namespace lavenderkeel::test {

/// A fake store, and a forwarding entry and servers that are listed in it.
class PlatformProcesses {
 public:
  PlatformProcesses();

  /// Starts a fake backend server, whose id is its name.
  void StartBackend(const std::string& name);
  /// Starts the entry and waits until it has read the list of servers.
  /// @param settings fields beside the usual ones, as JSON text that ends with
  ///     a comma, or nothing
  void StartEntry(const std::string& settings);
  /// Writes a configuration with a route of each kind, `once`, `lookup` and
  /// `stream`, to the service `s`.
  void PutConfig(Duration timeout);
  /// Lists a server of the service `s` with four slots.
  void ListServer(const std::string& id,
                  const std::string& address,
                  const std::string& state);
  /// Returns the most memory that the entry has used, in KiB.
  size_t EntryPeakKiB() const;
  /// Writes the content of an object of the store.
  void Put(const std::string& object, const std::string& content);
  /// Runs the event loop until the condition holds.
  /// @return false on a timeout
  bool Wait(const std::function<bool()>& condition);

  EventLoop& loop() { return loop_; }
  HttpClient& http() { return http_; }
  ProcessSet& processes() { return processes_; }
  const ProcessSet& processes() const { return processes_; }

 private:
  EventLoop loop_;
  HttpClient http_{loop_};
  ProcessSet processes_;
};

}  // namespace lavenderkeel::test

#endif  // LAVENDERKEEL_TEST_PROCESS_PLATFORM_PROCESSES_H_
