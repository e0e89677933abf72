#include "lavenderkeel/claim/claimer.h"

#include <algorithm>
#include <utility>

namespace lavenderkeel {

Claimer::Claimer(ClaimTable& own_table,
                 const HolderRanking& ranking,
                 const MemberTable& members,
                 Outbox& outbox,
                 Hooks hooks)
    : own_table_(own_table),
      ranking_(ranking),
      members_(members),
      outbox_(outbox),
      hooks_(std::move(hooks)) {}

void Claimer::Start(const RequestKey& key,
                    const Claim& wanted,
                    const PeerId& replaces,
                    bool lookup,
                    Done done) {
  const uint64_t call = ++last_call_;
  processes_[call] = {.key = key,
                      .wanted = wanted,
                      .replaces = replaces,
                      .lookup = lookup,
                      .done = std::move(done),
                      .holders = {},
                      .verdict = {}};
  Run(call);
}

bool Claimer::Begin(Process& process) {
  // Failure: an entry that has just started claims a key at the holders that it
  // has met so far. Symptom: the others, which it meets later, can't vouch for
  // anything older, and all callers of that second hear "unknown". It claims
  // nothing before it has met all, so that nobody has missed a claim of it.
  if (!hooks_.may_claim()) {
    return false;
  }
  process.begun = true;
  process.holders = ranking_.Holders(process.key);
  process.verdict.coverage = ranking_.Coverage(process.key);
  if (process.lookup) {
    return true;
  }
  hooks_.on_claim();
  if (process.verdict.coverage != HolderCoverage::kFull &&
      !process.wanted.confirmed &&
      process.wanted.standing == ClaimStanding::kPlain) {
    process.wanted.standing = ClaimStanding::kTentative;
  }
  return true;
}

void Claimer::Run(uint64_t call) {
  const auto found = processes_.find(call);
  if (found == processes_.end() || !Advance(call, found->second)) {
    return;
  }
  Process process = std::move(found->second);
  processes_.erase(found);
  Conclude(process);
  process.done(process.key, process.verdict);
}

bool Claimer::Advance(uint64_t call, Process& process) {
  if (!process.begun && !Begin(process)) {
    return false;
  }
  while (process.next < process.holders.size()) {
    const std::string& holder = process.holders[process.next];
    if (holder == members_.self().id.instance) {
      const ClaimTable::Answer answer =
          process.lookup ? own_table_.Lookup(process.key)
                         : own_table_.Request(process.key, process.wanted,
                                              process.replaces);
      if (Take(process, answer)) {
        return true;
      }
      continue;
    }
    const Member* member = members_.Find(holder);
    if (member == nullptr) {
      process.verdict.coverage = HolderCoverage::kNone;
      ++process.next;
      continue;
    }
    if (member->lost) {
      // Lost while we were asking: Conclude() counts it.
      ++process.next;
      continue;
    }
    if (!member->outbound.has_value() || process.asked) {
      return false;
    }
    Send(call, process, *member->outbound);
    process.asked = true;
    return false;
  }
  return true;
}

void Claimer::Send(uint64_t call, const Process& process, LinkId link) {
  ClaimRequest request;
  request.key = ToWire(process.key);
  request.call = call;
  request.lookup = process.lookup;
  request.replaces_instance = process.replaces.instance;
  request.replaces_incarnation = process.replaces.incarnation;
  PutClaim(process.wanted, request);
  outbox_.Send(link, std::move(request));
}

bool Claimer::Take(Process& process, const ClaimTable::Answer& answer) {
  const std::string& holder = process.holders[process.next];
  process.asked = false;
  ++process.next;
  process.verdict.coverage = Lesser(process.verdict.coverage, answer.coverage);
  if (answer.granted) {
    process.verdict.vouched |= answer.vouched;
    process.verdict.witnessed |=
        answer.vouched && ranking_.RanksBesideLost(holder, process.key);
    return false;
  }
  if (process.lookup && answer.claim.owner == process.replaces) {
    return false;
  }
  const bool undecided =
      !answer.claim.confirmed && answer.claim.standing != ClaimStanding::kPlain;
  if (undecided && !process.lookup) {
    // Failure: an entry that is cut from the other holder claims the key here
    // and waits for the platform; we are not cut off, so that the other holder
    // vouches. Symptom: the key is started for both. Whoever meets such a claim
    // goes to the platform too.
    process.verdict.contested = true;
    process.verdict.coverage =
        Lesser(process.verdict.coverage, HolderCoverage::kPlatformDecides);
    return false;
  }
  // Failure: an entry is granted the key by a holder that lost its state, then
  // learns from the other of the earlier claim, and dies. Symptom: its claim
  // hides the earlier one, and the key runs again. A claim that its holder
  // could not vouch for does not end the asking.
  process.verdict.claim = answer.claim;
  process.verdict.kind = ClaimVerdict::Kind::kHeld;
  return answer.claim.confirmed;
}

void Claimer::Conclude(Process& process) const {
  ClaimVerdict& verdict = process.verdict;
  verdict.coverage = Lesser(verdict.coverage, ranking_.Coverage(process.key));
  const bool held = verdict.kind == ClaimVerdict::Kind::kHeld;
  // Failure: two entries that started together don't know each other yet, and
  // one of them vouches although the other's claims don't come to it. Symptom:
  // both run the key. A claim of an entry that is not known here shows that the
  // view is too small to vouch on.
  const bool owner_unknown =
      held && verdict.claim.owner != members_.self().id &&
      members_.Find(verdict.claim.owner.instance) == nullptr;
  if (!(held && verdict.claim.confirmed) && !owner_unknown && verdict.vouched) {
    // A holder that met every claim met none before ours.
    verdict.kind = ClaimVerdict::Kind::kOurs;
  }
}

void Claimer::OnReply(LinkId link, const ClaimReply& reply) {
  const auto found = processes_.find(reply.call);
  const Member* member = members_.FindByLink(link);
  if (found == processes_.end() || member == nullptr) {
    return;
  }
  Process& process = found->second;
  const bool expected =
      process.asked && process.next < process.holders.size() &&
      process.holders[process.next] == member->info.id.instance;
  if (!expected) {
    return;
  }
  const ClaimTable::Answer answer{.granted = reply.granted,
                                  .vouched = reply.vouched,
                                  .claim = TakeClaim(reply),
                                  .coverage = ToHolderCoverage(reply.coverage)};
  if (Take(process, answer)) {
    process.next = process.holders.size();
  }
  Run(reply.call);
}

void Claimer::OnLost(const PeerId& peer) {
  std::vector<uint64_t> waiting;
  for (auto& [call, process] : processes_) {
    const bool waits_for_it = process.next < process.holders.size() &&
                              process.holders[process.next] == peer.instance;
    if (waits_for_it) {
      process.asked = false;
      waiting.push_back(call);
    }
  }
  for (const uint64_t call : waiting) {
    Run(call);
  }
}

void Claimer::OnUp(const PeerId& peer) {
  OnLost(peer);
}

void Claimer::Tick() {
  std::vector<uint64_t> unasked;
  for (const auto& [call, process] : processes_) {
    if (!process.asked) {
      unasked.push_back(call);
    }
  }
  for (const uint64_t call : unasked) {
    Run(call);
  }
}

}  // namespace lavenderkeel
