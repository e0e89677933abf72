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

/// What the holders said together.
struct ClaimVerdict {
  enum class Kind {
    /// The key is ours. See vouched, witnessed and coverage.
    kOurs,
    /// Another entry has it; `claim` says which.
    kHeld,
  };

  Kind kind = Kind::kOurs;
  /// At least one holder vouched that the key was unused.
  bool vouched = false;
  /// One that vouched ranks beside every lost holder of the key.
  bool witnessed = false;
  /// The least of what this entry and the holders that answered cover. Below
  /// kFull an entry that is cut off from here may have the key.
  HolderCoverage coverage = HolderCoverage::kFull;
  /// A holder has a claim of another entry on which the platform has the word.
  bool contested = false;
  Claim claim;
};

/// Claims keys at their holders on behalf of this entry.
///
/// The holders are asked one after the other, first holder first: asked at
/// once, two entries with the same key could each win one holder.
class Claimer {
 public:
  using Done = std::function<void(const RequestKey&, const ClaimVerdict&)>;

  struct Hooks {
    /// False while this entry has still to meet others: claims wait until then.
    std::function<bool()> may_claim;
    /// A claim is about to be made.
    std::function<void()> on_claim;
  };

  Claimer(ClaimTable& own_table,
          const HolderRanking& ranking,
          const MemberTable& members,
          Outbox& outbox,
          Hooks hooks);

  /// @param replaces an owner whose claim does not count: it may be taken over,
  ///     see ClaimTable::Request, and is no news to a lookup
  /// @param lookup ask only, claim nothing
  void Start(const RequestKey& key,
             const Claim& wanted,
             const PeerId& replaces,
             bool lookup,
             Done done);

  void OnReply(LinkId link, const ClaimReply& reply);
  /// Goes on without a holder that was lost.
  void OnLost(const PeerId& peer);
  /// A link to a holder is up again: what was asked on the old one is asked
  /// once more, since its answer may be gone.
  void OnUp(const PeerId& peer);
  /// Retries holders that had no link.
  void Tick();

  size_t size() const { return processes_.size(); }

 private:
  struct Process {
    RequestKey key;
    Claim wanted;
    PeerId replaces;
    bool lookup = false;
    Done done;
    /// The holders are chosen.
    bool begun = false;
    std::vector<std::string> holders;
    size_t next = 0;
    bool asked = false;
    ClaimVerdict verdict;
  };

  /// Chooses the holders; false while that has to wait.
  bool Begin(Process& process);
  /// Asks holders until one has to be waited for; true when finished.
  bool Advance(uint64_t call, Process& process);
  void Run(uint64_t call);
  bool Take(Process& process, const ClaimTable::Answer& answer);
  void Send(uint64_t call, const Process& process, LinkId link);
  /// What the answers come to once all holders were asked.
  void Conclude(Process& process) const;

  ClaimTable& own_table_;
  const HolderRanking& ranking_;
  const MemberTable& members_;
  Outbox& outbox_;
  Hooks hooks_;
  uint64_t last_call_ = 0;
  std::unordered_map<uint64_t, Process> processes_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CLAIM_CLAIMER_H_
