#include "lavenderkeel/forward/server_log.h"

#include <algorithm>

namespace lavenderkeel {

void ServerLog::OnList(const std::vector<StoredObject>& objects) {
  objects_.clear();
  for (const StoredObject& object : objects) {
    revision_ = std::max(revision_, object.revision);
    objects_[object.name] = {.object = object, .removed_at = {}};
  }
  // Removals before the list was read do not show in it.
  removals_known_after_ = revision_;
}

void ServerLog::OnChange(const StoredObject& object, TimePoint now) {
  revision_ = std::max(revision_, object.revision);
  objects_[object.name] = {.object = object, .removed_at = now};
}

void ServerLog::Tick(TimePoint now) {
  std::erase_if(objects_, [&](const auto& item) {
    const LoggedObject& logged = item.second;
    const bool expired = logged.object.removed &&
                         now - logged.removed_at > options_.removal_retention;
    if (expired) {
      removals_known_after_ =
          std::max(removals_known_after_, logged.object.revision);
    }
    return expired;
  });
}

ObjectDelta ServerLog::ChangesSince(uint64_t revision) const {
  const bool complete = revision < removals_known_after_ || revision == 0;
  ObjectDelta delta = {.complete = complete, .revision = revision_};
  for (const auto& [name, logged] : objects_) {
    const bool wanted =
        complete ? !logged.object.removed : logged.object.revision > revision;
    if (wanted) {
      delta.objects.push_back(logged.object);
    }
  }
  // Receivers apply changes in order of revision.
  std::ranges::sort(delta.objects, {}, &StoredObject::revision);
  return delta;
}

}  // namespace lavenderkeel
