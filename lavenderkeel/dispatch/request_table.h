#ifndef LAVENDERKEEL_DISPATCH_REQUEST_TABLE_H_
#define LAVENDERKEEL_DISPATCH_REQUEST_TABLE_H_

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lavenderkeel/dispatch/entry_request.h"

namespace lavenderkeel {

/// The requests of an entry by key, with one timer each.
class RequestTable {
 public:
  EntryRequest* Find(const RequestKey& key);
  /// Finds a request only if it is in the given state.
  EntryRequest* FindIn(const RequestKey& key, EntryRequest::State state);
  EntryRequest& Add(const RequestKey& key);
  void Erase(const RequestKey& key);

  /// Replaces the request's timer.
  void SetTimer(EntryRequest& request, TimePoint when);
  void ClearTimer(EntryRequest& request);
  /// Clears the timers that are due and returns their keys.
  std::vector<RequestKey> TakeDue(TimePoint now);

  /// Returns the keys of all matching requests. The caller may modify the table
  /// while it iterates over them.
  std::vector<RequestKey> Select(
      const std::function<bool(const EntryRequest&)>& matches) const;

  size_t size() const { return requests_.size(); }

 private:
  std::unordered_map<RequestKey, std::unique_ptr<EntryRequest>, RequestKeyHash>
      requests_;
  std::set<std::pair<TimePoint, RequestKey>> timers_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_REQUEST_TABLE_H_
