#include "lavenderkeel/forward/server_log.h"

#include <algorithm>

namespace lavenderkeel {

void ServerLog::OnList(const std::vector<StoredObject>& objects) {
  entries_.clear();
  for (const StoredObject& object : objects) {
    revision_ = std::max(revision_, object.revision);
    entries_[object.name] = {.object = object, .removed_at = {}};
  }
  // What was removed before the list was made does not show in it.
  removals_since_ = revision_;
}

void ServerLog::OnChange(const StoredObject& object, TimePoint now) {
  revision_ = std::max(revision_, object.revision);
  entries_[object.name] = {.object = object, .removed_at = now};
}

void ServerLog::Tick(TimePoint now) {
  std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    const bool forgotten =
        entry.object.removed && now - entry.removed_at > options_.keep_removed;
    if (forgotten) {
      removals_since_ = std::max(removals_since_, entry.object.revision);
    }
    return forgotten;
  });
}

ObjectDelta ServerLog::Since(uint64_t revision) const {
  const bool complete = revision < removals_since_ || revision == 0;
  ObjectDelta delta = {.complete = complete, .revision = revision_};
  for (const auto& [name, entry] : entries_) {
    const bool wanted =
        complete ? !entry.object.removed : entry.object.revision > revision;
    if (wanted) {
      delta.objects.push_back(entry.object);
    }
  }
  // Applied in the order in which they happened.
  std::ranges::sort(delta.objects, {}, &StoredObject::revision);
  return delta;
}

}  // namespace lavenderkeel
