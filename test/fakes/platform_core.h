#ifndef LAVENDERKEEL_TEST_FAKES_PLATFORM_CORE_H_
#define LAVENDERKEEL_TEST_FAKES_PLATFORM_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "lavenderkeel/platform/platform_port.h"

namespace lavenderkeel::fakes {

/// Simulation of the platform's object API, without sockets.
class PlatformCore {
 public:
  struct Object {
    std::string body;
    uint64_t version = 0;
  };
  enum class Mode {
    kUp,
    /// Every call fails with status 503.
    kOutage,
    /// Writes take effect, but their answers are lost.
    kLoseWriteAnswers,
  };

  /// Answers a call. A watch without a newer version gets 304 at once; to wait,
  /// the caller repeats the call.
  PlatformReply Handle(const PlatformCall& call);

  /// Stores an object as another writer would, whatever it contains.
  void Put(const std::string& name, const std::string& body);

  void set_mode(Mode mode) { mode_ = mode; }
  const std::map<std::string, Object>& objects() const { return objects_; }
  uint64_t calls() const { return calls_; }
  /// Called after each successful write.
  std::function<void(const std::string& name)> on_write;

 private:
  PlatformReply Read(const std::string& path) const;
  PlatformReply Write(const PlatformCall& call, const std::string& name);
  std::string InstanceList() const;
  std::string Names(const std::string& prefix) const;

  Mode mode_ = Mode::kUp;
  std::map<std::string, Object> objects_;
  uint64_t last_version_ = 0;
  uint64_t calls_ = 0;
};

}  // namespace lavenderkeel::fakes

#endif  // LAVENDERKEEL_TEST_FAKES_PLATFORM_CORE_H_
