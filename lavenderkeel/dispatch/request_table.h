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
  /// The same, if it is in that state.
  EntryRequest* FindIn(const RequestKey& key, EntryRequest::State state);
  EntryRequest& Add(const RequestKey& key);
  void Erase(const RequestKey& key);

  /// Replaces the request's timer.
  void SetTimer(EntryRequest& request, TimePoint when);
  void ClearTimer(EntryRequest& request);
  /// Keys whose timer is due; their timers are cleared.
  std::vector<RequestKey> TakeDue(TimePoint now);

  /// Keys of all requests that match, so that the visit may change the table.
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
