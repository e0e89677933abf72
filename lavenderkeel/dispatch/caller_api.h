#ifndef LAVENDERKEEL_DISPATCH_CALLER_API_H_
#define LAVENDERKEEL_DISPATCH_CALLER_API_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lavenderkeel/dispatch/caller_request.h"
#include "lavenderkeel/dispatch/request_controller.h"

namespace lavenderkeel {

/// A caller's request while it is checked.
struct RequestDraft {
  CallerRequest http;
  std::shared_ptr<const Config> config;
  const Team* team = nullptr;
  const WorkClass* work = nullptr;
  Submission submission;
};

/// One check of the chain: fills the draft or refuses it.
using RequestFilter =
    std::function<std::optional<Failure>(RequestDraft& draft)>;

/// What callers may ask over HTTP, short of the sockets.
///
/// The synchronous part of the filter chain (identify, key, work, deadline,
/// body) is here; claim, limit, route, dispatch and account follow in the
/// controllers, since they wait for other processes.
class CallerApi {
 public:
  CallerApi(EntryContext& context, RequestController& requests);

  void Handle(CallerRequest request);

 private:
  void HandleRead(const CallerRequest& request, const std::string& text);
  void HandleRun(CallerRequest request);
  void RefuseUnconfigured(const CallerRequest& request);
  void Refuse(CallerId caller, const Failure& failure);

  std::optional<Failure> IdentifyTeam(RequestDraft& draft) const;
  std::optional<Failure> ReadKey(RequestDraft& draft) const;
  static std::optional<Failure> ReadWork(RequestDraft& draft);
  static std::optional<Failure> ReadDeadline(RequestDraft& draft);
  static std::optional<Failure> ReadBody(RequestDraft& draft);

  EntryContext& context_;
  RequestController& requests_;
  std::vector<RequestFilter> filters_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_CALLER_API_H_
