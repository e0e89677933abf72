#ifndef LAVENDERKEEL_DISPATCH_REQUEST_CONTROLLER_H_
#define LAVENDERKEEL_DISPATCH_REQUEST_CONTROLLER_H_

#include <functional>
#include <optional>
#include <string>

#include "lavenderkeel/dispatch/dispatch_controller.h"
#include "lavenderkeel/dispatch/entry_context.h"
#include "lavenderkeel/dispatch/ownership_controller.h"

namespace lavenderkeel {

/// A checked request of a caller.
struct Submission {
  CallerId caller = 0;
  RequestKey key;
  std::string public_key;
  bool minted = false;
  bool stream = false;
  WorkTerms terms;
  uint64_t body_hash = 0;
  Payload payload;
  std::optional<Duration> deadline;
};

/// The requests of an entry from submission to final outcome.
class RequestController {
 public:
  explicit RequestController(EntryContext& context);

  // From callers.
  void Submit(Submission submission);
  /// Reads the answer of an earlier request.
  void Observe(CallerId caller,
               const RequestKey& key,
               const std::string& public_key,
               const std::string& team);
  /// Cancels at a caller's wish, wherever the request is.
  /// @param found called once with whether there is such a request
  void CancelForCaller(const RequestKey& key,
                       const std::function<void(bool found)>& found);
  void OnCallerGone(CallerId caller);

  // From other processes.
  void OnMessage(LinkId link, const Message& message);
  void OnAgentUp(const PeerId& agent);
  void OnAgentLost(const PeerId& agent);
  void OnEntryUp(const PeerId& entry);
  void OnEntryLost(const PeerId& entry);
  void OnConfigActivated() { dispatch_.OnConfigActivated(); }

  void Tick();
  /// True when every caller has its outcome and nothing runs for us.
  bool Idle() const;
  /// Requests that are not over yet.
  size_t active() const;
  const DispatchController& dispatch() const { return dispatch_; }
  /// What was decided for a request, or nothing.
  const EntryRequest* Explain(const std::string& public_key) const;

 private:
  /// @param by_caller false if nobody here waits for it any more
  /// @return false if this entry does not know the request
  bool Cancel(const RequestKey& key, bool by_caller);
  void CancelAt(const PeerId& peer, const RequestKey& key, bool by_caller);
  void Join(EntryRequest& request, Submission* submission);
  void Begin(EntryRequest& request);
  void Fill(EntryRequest& request, Submission& submission);
  /// Ends a request, after the holders were asked if need be.
  void Conclude(EntryRequest& request, ResultCode code);
  /// True if "not run" has to be confirmed by the holders first.
  bool MustAskHolders(const EntryRequest& request, ResultCode code) const;
  void AskHolders(EntryRequest& request, ResultCode code);
  /// "Not run" turns into "unknown" where this entry can't know.
  void Finish(EntryRequest& request, ResultCode code);
  void OnFinish(LinkId link, const Finished& finish);
  void OnNotHere(LinkId link, const NotHere& reply);
  EntryRequest* FindFor(LinkId link, const fbs::Key& key, PeerId& peer);

  EntryContext& context_;
  OwnershipController ownership_;
  DispatchController dispatch_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_REQUEST_CONTROLLER_H_
