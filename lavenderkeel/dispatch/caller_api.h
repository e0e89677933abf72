#ifndef LAVENDERKEEL_DISPATCH_CALLER_API_H_
#define LAVENDERKEEL_DISPATCH_CALLER_API_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/dispatch/caller_request.h"
#include "lavenderkeel/dispatch/request_controller.h"

namespace lavenderkeel {

/// A caller's request during validation.
struct RequestDraft {
  CallerRequest http;
  std::shared_ptr<const Config> config;
  const Team* team = nullptr;
  const WorkClass* work = nullptr;
  Submission submission;
};

/// One step of the validation chain: fills in the draft or returns a failure.
using RequestFilter =
    std::function<std::optional<Failure>(RequestDraft& draft)>;

/// The HTTP API for callers, without the sockets.
///
/// Runs the synchronous part of the filter chain (identify, key, work,
/// deadline, body). The controllers run the rest (claim, limit, route,
/// dispatch, account), which waits for other processes.
class CallerApi {
 public:
  CallerApi(EntryContext& context, RequestController& requests);

  void Handle(CallerRequest request);
  /// Decides from the head of a request whether its body is to be read.
  CallerHeadDecision CheckHead(const CallerRequest& head);
  /// Refuses a request that was not read whole.
  void RefuseUnread(const CallerRequest& head, ResultCode code);

 private:
  void HandleByKey(const CallerRequest& request, const std::string& text);
  /// Returns why the path or the method is refused.
  static std::optional<ResultCode> CheckPath(const CallerRequest& request);
  void HandleSubmission(CallerRequest request);
  /// Runs the filters that need the head only.
  std::optional<Failure> ReadHead(RequestDraft& draft) const;
  /// Accounts what is held for the request until it has ended.
  static void HoldMemory(RequestDraft& draft);
  void RefuseUnconfigured(const CallerRequest& request);
  void Refuse(CallerId caller, const Failure& failure);

  std::optional<Failure> IdentifyTeam(RequestDraft& draft) const;
  std::optional<Failure> ReadKey(RequestDraft& draft) const;
  static std::optional<Failure> ReadWork(RequestDraft& draft);
  static std::optional<Failure> ReadDeadline(RequestDraft& draft);
  static std::optional<Failure> ReadBody(RequestDraft& draft);

  EntryContext& context_;
  RequestController& requests_;
  std::vector<RequestFilter> head_filters_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_CALLER_API_H_
