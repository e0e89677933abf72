#ifndef LAVENDERKEEL_MEMORY_PROCESS_LIMITS_H_
#define LAVENDERKEEL_MEMORY_PROCESS_LIMITS_H_

#include <algorithm>
#include <cstddef>

namespace lavenderkeel {

/// Memory and descriptors of a process, and their shares. What is not given to
/// clients is for servers, the store, other entries and the process itself.
struct ProcessLimits {
  /// Memory of the machine.
  size_t memory_bytes = size_t{256} << 20;
  size_t descriptors = 1024;

  /// What may be held for clients. Twice as much is used at worst: memory that
  /// is freed is not always returned, and socket buffers hold copies.
  size_t client_bytes() const { return memory_bytes / 4; }
  /// What may be held of frames that other processes have sent in part.
  size_t peer_input_bytes() const { return memory_bytes / 8; }
  /// What may be written for other processes and not be sent yet.
  size_t peer_output_bytes() const { return memory_bytes / 8; }

  /// Connections of clients. Idle ones use up to half of the memory.
  size_t client_connections() const {
    constexpr size_t kConnectionBytes = size_t{8} << 10;
    return std::min(descriptors / 8 * 5, client_bytes() / kConnectionBytes);
  }
  /// Connections from other processes.
  size_t peer_connections() const {
    constexpr size_t kConnectionBytes = size_t{8} << 10;
    return std::min(descriptors / 8, peer_input_bytes() / kConnectionBytes);
  }
  /// Connections for readiness checks and metrics.
  size_t status_connections() const {
    constexpr size_t kMax = 64;
    return std::min(kMax, descriptors / 16);
  }

  friend bool operator==(const ProcessLimits&, const ProcessLimits&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_MEMORY_PROCESS_LIMITS_H_
