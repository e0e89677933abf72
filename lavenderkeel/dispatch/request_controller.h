#ifndef LAVENDERKEEL_DISPATCH_REQUEST_CONTROLLER_H_
#define LAVENDERKEEL_DISPATCH_REQUEST_CONTROLLER_H_

#include <functional>
#include <optional>
#include <string>

#include "lavenderkeel/dispatch/dispatch_controller.h"
#include "lavenderkeel/dispatch/entry_context.h"
#include "lavenderkeel/dispatch/ownership_controller.h"

namespace lavenderkeel {

/// A validated request of a caller.
struct Submission {
  CallerId caller = 0;
  RequestKey key;
  std::string public_key;
  bool minted = false;
  bool stream = false;
  WorkProperties properties;
  uint64_t body_hash = 0;
  Payload payload;
  std::optional<Duration> deadline;
};

/// The controller of an entry's requests from submission to the final outcome.
class RequestController {
 public:
  explicit RequestController(EntryContext& context);

  // From callers.
  void Submit(Submission submission);
  /// Reads the answer of a request submitted earlier.
  void ReadAnswer(CallerId caller,
                  const RequestKey& key,
                  const std::string& public_key,
                  const std::string& team);
  /// Cancels a request for its caller, at whichever entry or agent it is.
  /// @param done called once, with the reason if no such request is known
  void CancelForCaller(
      const RequestKey& key,
      const std::function<void(const std::optional<ResultCode>& failure)>&
          done);
  void OnCallerGone(CallerId caller);

  // From other processes.
  void OnMessage(LinkId link, const Message& message);
  void OnAgentUp(const PeerId& agent);
  void OnAgentLost(const PeerId& agent);
  void OnEntryUp(const PeerId& entry);
  void OnEntryLost(const PeerId& entry);
  void OnConfigActivated() { dispatch_.OnConfigActivated(); }

  void Tick();
  /// Returns true if every caller has its outcome and no request of this entry
  /// is active.
  bool IsIdle() const;
  /// Returns the number of requests without a final outcome.
  size_t active() const;
  const DispatchController& dispatch() const { return dispatch_; }
  /// Returns the request with its history, or null.
  const EntryRequest* Explain(const std::string& public_key) const;

 private:
  /// Cancels a request of this entry.
  /// @param by_caller false if no caller waits for the request any more
  /// @return false if this entry does not have the request
  bool Cancel(const RequestKey& key, bool by_caller);
  void CancelAt(const PeerId& peer, const RequestKey& key, bool by_caller);
  void JoinExisting(EntryRequest& request, Submission* submission);
  void StartProcessing(EntryRequest& request);
  void FillFrom(EntryRequest& request, Submission& submission);
  /// Ends a request, after confirmation by the holders where necessary.
  void Conclude(EntryRequest& request, ResultCode code);
  /// Returns true if the holders have to confirm "not run" first.
  bool MustConfirmWithHolders(const EntryRequest& request,
                              ResultCode code) const;
  void ConfirmWithHolders(EntryRequest& request, ResultCode code);
  /// Ends a request; reports "unknown" instead of "not run" if another entry
  /// may have taken the key over.
  void Finish(EntryRequest& request, ResultCode code);
  void OnFinish(LinkId link, const Finished& finish);
  void OnNotHere(LinkId link, const NotHere& reply);
  EntryRequest* FindForPeer(LinkId link, const fbs::Key& key, PeerId& peer);

  EntryContext& context_;
  OwnershipController ownership_;
  DispatchController dispatch_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_DISPATCH_REQUEST_CONTROLLER_H_
