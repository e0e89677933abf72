#ifndef LAVENDERKEEL_CLAIM_CLAIMER_H_
#define LAVENDERKEEL_CLAIM_CLAIMER_H_

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/claim/claim_table.h"
#include "lavenderkeel/membership/holder_ranking.h"
#include "lavenderkeel/membership/member_table.h"

namespace lavenderkeel {

/// Combined result of the answers of all holders.
struct ClaimResult {
  enum class Kind {
    /// This entry owns the key. See vouched, vouched_for_lost_holders and
    /// coverage.
    kGranted,
    /// Another entry owns the key; see `claim`.
    kHeld,
  };

  Kind kind = Kind::kGranted;
  /// At least one holder vouched that the key was unused.
  bool vouched = false;
  /// A holder that vouched shares the key with each lost holder, see
  /// HolderRanking::IsCoHolderWithLost.
  bool vouched_for_lost_holders = false;
  /// The lowest coverage of this entry and the holders that answered. Below
  /// kFull, an entry that is cut off from this one may own the key.
  HolderCoverage coverage = HolderCoverage::kFull;
  /// A holder stores a claim of another entry that awaits the platform's
  /// decision.
  bool contested = false;
  Claim claim;
};

/// Client of the claim tables: claims keys for this entry at their holders.
///
/// The holders are asked one after the other, first holder first. If they were
/// asked at the same time, two entries that claim the same key could each be
/// granted it by one holder.
class Claimer {
 public:
  using Done = std::function<void(const RequestKey&, const ClaimResult&)>;

  struct Hooks {
    /// Returns false while this entry has not connected to all others yet;
    /// claims wait until then.
    std::function<bool()> may_claim;
    /// Called before a claim is made.
    std::function<void()> on_claim;
  };

  Claimer(ClaimTable& own_table,
          const HolderRanking& ranking,
          const MemberTable& members,
          Outbox& outbox,
          Hooks hooks);

  /// @param replaces an owner whose claim does not count: it may be reassigned,
  ///     see ClaimTable::Request, and a lookup ignores it
  /// @param lookup if true, looks the claim up without claiming the key
  void Start(const RequestKey& key,
             const Claim& wanted,
             const PeerId& replaces,
             bool lookup,
             Done done);

  void OnReply(LinkId link, const ClaimReply& reply);
  /// Continues without a holder that was lost.
  void OnLost(const PeerId& peer);
  /// Repeats the request to a holder whose link is up again: the answer to the
  /// request on the old link may be lost.
  void OnUp(const PeerId& peer);
  /// Retries holders to which there was no link.
  void Tick();

  size_t size() const { return operations_.size(); }

 private:
  struct Operation {
    RequestKey key;
    Claim wanted;
    PeerId replaces;
    bool lookup = false;
    Done done;
    bool holders_chosen = false;
    std::vector<std::string> holders;
    size_t next_holder = 0;
    bool request_sent = false;
    ClaimResult result;
  };

  /// Chooses the holders; returns false while that has to wait.
  bool ChooseHolders(Operation& operation);
  /// Asks holders until one has to be waited for; returns true when finished.
  bool Advance(uint64_t call, Operation& operation);
  void Continue(uint64_t call);
  bool ApplyAnswer(Operation& operation, const ClaimTable::Answer& answer);
  void SendRequest(uint64_t call, const Operation& operation, LinkId link);
  /// Computes the result once all holders were asked.
  void ComputeResult(Operation& operation) const;

  ClaimTable& own_table_;
  const HolderRanking& ranking_;
  const MemberTable& members_;
  Outbox& outbox_;
  Hooks hooks_;
  uint64_t last_call_ = 0;
  std::unordered_map<uint64_t, Operation> operations_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CLAIM_CLAIMER_H_
