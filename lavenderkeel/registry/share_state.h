#ifndef LAVENDERKEEL_REGISTRY_SHARE_STATE_H_
#define LAVENDERKEEL_REGISTRY_SHARE_STATE_H_

#include <cstddef>

namespace lavenderkeel {

/// Whether an entry may use its share of what all entries share, and if not,
/// why.
enum class ShareStatus {
  kUsable,
  /// The registry was not read yet.
  kUnread,
  /// The other entries may not have counted this one in what they used within
  /// the window.
  kUnsettled,
  /// The registry was not read for so long that this entry may have been
  /// removed.
  kExpired,
};

constexpr const char* ShareStatusName(ShareStatus status) {
  switch (status) {
    case ShareStatus::kUsable:
      return "usable";
    case ShareStatus::kUnread:
      return "unread";
    case ShareStatus::kUnsettled:
      return "unsettled";
    case ShareStatus::kExpired:
      return "expired";
  }
  return "unread";
}

/// One entry's share of what all entries share.
struct ShareState {
  ShareStatus status = ShareStatus::kUnread;
  /// Number of entries that share.
  size_t entries = 0;
  /// Whether a former process of this entry may have used the share.
  bool has_predecessor = false;

  /// Returns the fraction that this entry may use.
  double fraction() const {
    return status == ShareStatus::kUsable ? 1 / static_cast<double>(entries)
                                          : 0;
  }

  friend bool operator==(const ShareState&, const ShareState&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_REGISTRY_SHARE_STATE_H_
