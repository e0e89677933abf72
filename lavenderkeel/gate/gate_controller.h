#ifndef LAVENDERKEEL_GATE_GATE_CONTROLLER_H_
#define LAVENDERKEEL_GATE_GATE_CONTROLLER_H_

#include <sigc++/sigc++.h>

#include <map>
#include <optional>
#include <string>

#include "lavenderkeel/action.h"
#include "lavenderkeel/admission.h"
#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/base/metrics.h"
#include "lavenderkeel/gate/answer_subscriptions.h"
#include "lavenderkeel/gate/run_controller.h"
#include "lavenderkeel/gate/run_table.h"
#include "lavenderkeel/membership/member_table.h"

namespace lavenderkeel {

/// The controller of all access to one backend server.
///
/// Engines have no priorities and admit requests as they arrive, and several
/// entries can't order work among themselves. All requests of the server pass
/// through its gate, so that tier order, the in-flight limit, cancellation and
/// whether a request was started are exact local decisions.
class GateController {
 public:
  struct Options {
    ReservationQueue::Options queue;
    RunController::Options server;
    RunTable::Options runs;
    /// Reservations offered a slot before one is free, which hides the round
    /// trip to the entry.
    uint32_t lookahead = 1;
    /// How long an entry may take to send the body after a slot offer.
    Duration offer_timeout = std::chrono::seconds(1);
    /// How long a deadline-bound reservation waits before it preempts a run.
    Duration preempt_after = std::chrono::milliseconds(30);
    size_t max_waiting = 20'000;
  };

  GateController(Options options,
                 const Clock& clock,
                 const MemberTable& members,
                 const EventLog& log,
                 Metrics& metrics,
                 Outbox& outbox);

  // Messages from entries.
  void OnReserve(LinkId link, const Reserve& reserve);
  void OnWithdraw(LinkId link, const Withdraw& withdraw);
  void OnGo(LinkId link, Go go);
  void OnAttach(LinkId link, const Attach& attach);
  void OnAck(LinkId link, const Ack& ack);
  void OnDetach(LinkId link, const Detach& detach);
  void OnCancel(LinkId link, const Cancel& cancel);
  void OnPolicy(const AgentPolicy& policy);
  void OnLinkDown(LinkId link);

  /// Returns the runs at the backend server; also takes the server's events.
  RunController& server() { return server_; }

  void Tick();
  /// Stops accepting work and returns waiting requests to their entries at
  /// once.
  void Leave();
  /// Returns true if no run is active and no answer is being sent.
  bool Idle() const;

  void FillLoad(Heartbeat& heartbeat) const;
  const RunTable& runs() const { return runs_; }
  /// Emitted when the server stops accepting connections or begins a rest,
  /// which changes the load that FillLoad() reports.
  sigc::signal<void()>& signal_unavailable() { return signal_unavailable_; }

 private:
  struct Offered {
    Reservation reservation;
    TimePoint expires;
  };

  void Reject(LinkId link,
              const RequestKey& key,
              uint64_t subscription,
              ResultCode code);
  /// Confirms a Go message and subscribes its sender to the answer.
  void Accept(LinkId link, const Go& go);
  void OfferSlots();
  bool IsBelowTierLimit(uint32_t tier) const;
  uint32_t CountInFlight(uint32_t tier) const;
  uint32_t CommittedSlots() const;
  /// Returns the limit of CommittedSlots().
  uint32_t MaxCommittedSlots() const;
  /// Returns the waiting reservations to their entries.
  void ReturnReservations(ResultCode code);
  /// Returns accepted runs that have not started to their entries.
  void ReturnReady(ResultCode code);
  void StartReady();
  void ExpireOffers(TimePoint now);
  void RejectReservations(const std::vector<ReservationId>& ids,
                          ResultCode code);
  std::optional<PeerId> PeerOf(LinkId link) const;

  Options options_;
  const Clock& clock_;
  const MemberTable& members_;
  const EventLog& log_;
  Metrics& metrics_;
  Outbox& outbox_;
  ReservationQueue queue_;
  RunTable runs_;
  AnswerSubscriptions subscriptions_;
  RunController server_;
  std::map<ReservationId, Offered> offered_;
  std::map<uint64_t, RequestKey> ready_;
  uint64_t last_ready_number_ = 0;
  AgentPolicy policy_;
  bool leaving_ = false;
  sigc::signal<void()> signal_unavailable_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_GATE_GATE_CONTROLLER_H_
