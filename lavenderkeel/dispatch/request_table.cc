#include "lavenderkeel/dispatch/request_table.h"

namespace lavenderkeel {

EntryRequest* RequestTable::Find(const RequestKey& key) {
  const auto found = requests_.find(key);
  return found == requests_.end() ? nullptr : found->second.get();
}

EntryRequest* RequestTable::FindIn(const RequestKey& key,
                                   EntryRequest::State state) {
  EntryRequest* request = Find(key);
  return request != nullptr && request->state == state ? request : nullptr;
}

EntryRequest& RequestTable::Add(const RequestKey& key) {
  auto& request = requests_[key];
  request = std::make_unique<EntryRequest>();
  request->key = key;
  return *request;
}

void RequestTable::Erase(const RequestKey& key) {
  EntryRequest* request = Find(key);
  if (request != nullptr) {
    ClearTimer(*request);
    requests_.erase(key);
  }
}

void RequestTable::SetTimer(EntryRequest& request, TimePoint when) {
  ClearTimer(request);
  request.timer = when;
  timers_.emplace(when, request.key);
}

void RequestTable::ClearTimer(EntryRequest& request) {
  if (request.timer.has_value()) {
    timers_.erase({*request.timer, request.key});
    request.timer.reset();
  }
}

std::vector<RequestKey> RequestTable::TakeDue(TimePoint now) {
  std::vector<RequestKey> due;
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const RequestKey key = timers_.begin()->second;
    ClearTimer(*Find(key));
    due.push_back(key);
  }
  return due;
}

std::vector<RequestKey> RequestTable::Select(
    const std::function<bool(const EntryRequest&)>& matches) const {
  std::vector<RequestKey> keys;
  for (const auto& [key, request] : requests_) {
    if (matches(*request)) {
      keys.push_back(key);
    }
  }
  return keys;
}

}  // namespace lavenderkeel
