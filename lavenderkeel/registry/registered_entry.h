#ifndef LAVENDERKEEL_REGISTRY_REGISTERED_ENTRY_H_
#define LAVENDERKEEL_REGISTRY_REGISTERED_ENTRY_H_

#include <cstdint>
#include <string>

namespace lavenderkeel {

/// An entry as recorded in the platform's store. It stays recorded while its
/// process is down, since nobody can tell a dead process from one that is cut
/// off.
struct RegisteredEntry {
  enum class State {
    /// Others may not know of it yet.
    kNew,
    /// All others have read that it is registered.
    kSettled,
    /// It will be removed unless it objects in time.
    kExpiring,
  };

  std::string name;
  /// The store's revision of its last change.
  uint64_t revision = 0;
  State state = State::kNew;

  friend bool operator==(const RegisteredEntry&,
                         const RegisteredEntry&) = default;
};

constexpr const char* RegistrationStateName(RegisteredEntry::State state) {
  switch (state) {
    case RegisteredEntry::State::kNew:
      return "new";
    case RegisteredEntry::State::kSettled:
      return "settled";
    case RegisteredEntry::State::kExpiring:
      return "expiring";
  }
  return "new";
}

/// A write to the registry.
struct RegistryWrite {
  enum class Kind { kCreate, kSetState, kRemove };

  Kind kind = Kind::kCreate;
  /// The entry with its new state. If it exists, the write is made only if it
  /// still has the revision.
  RegisteredEntry entry;

  friend bool operator==(const RegistryWrite&, const RegistryWrite&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_REGISTRY_REGISTERED_ENTRY_H_
