#ifndef LAVENDERKEEL_DISPATCH_CALLER_REQUEST_H_
#define LAVENDERKEEL_DISPATCH_CALLER_REQUEST_H_

#include <memory>
#include <optional>
#include <string>

#include "lavenderkeel/action/action.h"
#include "lavenderkeel/base/result_code.h"
#include "lavenderkeel/memory/memory_budget.h"

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
  /// What is held for the request.
  std::shared_ptr<MemoryCharge> memory = nullptr;

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

/// What the head of a request says about its body.
struct CallerHeadDecision {
  /// Why the request is refused whatever its body is.
  std::optional<ResultCode> refusal = std::nullopt;
  /// Rank of its tier; 0 is the most urgent.
  int rank = 0;

  friend bool operator==(const CallerHeadDecision&,
                         const CallerHeadDecision&) = default;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_CALLER_REQUEST_H_
