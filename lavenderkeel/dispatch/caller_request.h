#ifndef LAVENDERKEEL_DISPATCH_CALLER_REQUEST_H_
#define LAVENDERKEEL_DISPATCH_CALLER_REQUEST_H_

#include <optional>
#include <string>

#include "lavenderkeel/action/action.h"

namespace lavenderkeel {

/// A received HTTP request with only the headers that lavenderkeel uses.
struct CallerRequest {
  CallerId caller = 0;
  std::string method;
  /// Without the query.
  std::string path;
  std::string query;
  std::optional<std::string> bearer;
  std::optional<std::string> idempotency_key;
  std::optional<std::string> work;
  std::optional<std::string> deadline_ms;
  std::string body;

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_CALLER_REQUEST_H_
