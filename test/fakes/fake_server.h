#ifndef LAVENDERKEEL_TEST_FAKES_FAKE_SERVER_H_
#define LAVENDERKEEL_TEST_FAKES_FAKE_SERVER_H_

#include <csignal>
#include <string>
#include <utility>

#include "lavenderkeel/io.h"

namespace lavenderkeel::fakes {

/// Runs the event loop of a fake server until SIGTERM or SIGINT.
///
/// @param step called every `period`
/// @return the exit status
inline int RunFakeServer(EventLoop& loop,
                         HttpServer& http,
                         const std::string& listen,
                         const std::string& ready_file,
                         Duration period,
                         EventLoop::Task step) {
  const auto address = http.Listen(listen);
  if (!address.has_value()) {
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  loop.Every(period, std::move(step));
  WriteReadyFile(ready_file, {{"http", *address}});
  loop.Run();
  return 0;
}

}  // namespace lavenderkeel::fakes

#endif  // LAVENDERKEEL_TEST_FAKES_FAKE_SERVER_H_
