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
  operations_[call] = {.key = key,
                       .wanted = wanted,
                       .replaces = replaces,
                       .lookup = lookup,
                       .done = std::move(done),
                       .holders = {},
                       .result = {}};
  Continue(call);
}

bool Claimer::ChooseHolders(Operation& operation) {
  // If an entry that has just started claimed keys only at the holders that it
  // has connected to so far, the holders that it connects to later would have
  // missed these claims. They could not vouch for keys first sent before they
  // connected, and all callers of that second would get "unknown". The entry
  // claims nothing before it has connected to all entries, so that none of them
  // has missed a claim.
  if (!hooks_.may_claim()) {
    return false;
  }
  operation.holders_chosen = true;
  operation.holders = ranking_.Holders(operation.key);
  operation.result.coverage = ranking_.Coverage(operation.key);
  if (operation.lookup) {
    return true;
  }
  hooks_.on_claim();
  if (operation.result.coverage != HolderCoverage::kFull &&
      !operation.wanted.confirmed &&
      operation.wanted.status == ClaimStatus::kPlain) {
    operation.wanted.status = ClaimStatus::kTentative;
  }
  return true;
}

void Claimer::Continue(uint64_t call) {
  const auto found = operations_.find(call);
  if (found == operations_.end() || !Advance(call, found->second)) {
    return;
  }
  Operation operation = std::move(found->second);
  operations_.erase(found);
  ComputeResult(operation);
  operation.done(operation.key, operation.result);
}

bool Claimer::Advance(uint64_t call, Operation& operation) {
  if (!operation.holders_chosen && !ChooseHolders(operation)) {
    return false;
  }
  while (operation.next_holder < operation.holders.size()) {
    const std::string& holder = operation.holders[operation.next_holder];
    if (holder == members_.self().id.instance) {
      const ClaimTable::Answer answer =
          operation.lookup ? own_table_.Lookup(operation.key)
                           : own_table_.Request(operation.key, operation.wanted,
                                                operation.replaces);
      if (ApplyAnswer(operation, answer)) {
        return true;
      }
      continue;
    }
    const Member* member = members_.Find(holder);
    if (member == nullptr) {
      operation.result.coverage = HolderCoverage::kNone;
      ++operation.next_holder;
      continue;
    }
    if (member->lost) {
      // The holder was lost meanwhile; ComputeResult() takes that into account.
      ++operation.next_holder;
      continue;
    }
    if (!member->outbound.has_value() || operation.request_sent) {
      return false;
    }
    SendRequest(call, operation, *member->outbound);
    operation.request_sent = true;
    return false;
  }
  return true;
}

void Claimer::SendRequest(uint64_t call,
                          const Operation& operation,
                          LinkId link) {
  ClaimRequest request;
  request.key = ToWire(operation.key);
  request.call = call;
  request.lookup = operation.lookup;
  request.replaces_instance = operation.replaces.instance;
  request.replaces_incarnation = operation.replaces.incarnation;
  WriteClaim(operation.wanted, request);
  outbox_.Send(link, std::move(request));
}

bool Claimer::ApplyAnswer(Operation& operation,
                          const ClaimTable::Answer& answer) {
  const std::string& holder = operation.holders[operation.next_holder];
  operation.request_sent = false;
  ++operation.next_holder;
  operation.result.coverage =
      LesserCoverage(operation.result.coverage, answer.coverage);
  if (answer.granted) {
    operation.result.vouched |= answer.vouched;
    operation.result.vouched_for_lost_holders |=
        answer.vouched && ranking_.IsCoHolderWithLost(holder, operation.key);
    return false;
  }
  if (operation.lookup && answer.claim.owner == operation.replaces) {
    return false;
  }
  const bool undecided =
      !answer.claim.confirmed && answer.claim.status != ClaimStatus::kPlain;
  if (undecided && !operation.lookup) {
    // Another entry that is cut off from the other holder has claimed the key
    // here and waits for the platform. The other holder, which this entry can
    // reach, vouches for the key, so the request would be started by both. An
    // entry that finds such a claim asks the platform too.
    operation.result.contested = true;
    operation.result.coverage = LesserCoverage(
        operation.result.coverage, HolderCoverage::kPlatformDecides);
    return false;
  }
  // A holder that lost its state may have granted the key to an entry that then
  // learnt of an earlier claim from the other holder, and crashed. That claim
  // must not hide the earlier one, or the request runs again: a claim that its
  // holder could not vouch for does not end the search.
  operation.result.claim = answer.claim;
  operation.result.kind = ClaimResult::Kind::kHeld;
  return answer.claim.confirmed;
}

void Claimer::ComputeResult(Operation& operation) const {
  ClaimResult& result = operation.result;
  result.coverage =
      LesserCoverage(result.coverage, ranking_.Coverage(operation.key));
  const bool is_held = result.kind == ClaimResult::Kind::kHeld;
  // Two entries that started together may not know each other yet, and one of
  // them vouches although it does not receive the other's claims; both would
  // run the request. A claim of an unknown entry shows that the view of this
  // entry is incomplete, so the key does not count as vouched for.
  const bool owner_unknown =
      is_held && result.claim.owner != members_.self().id &&
      members_.Find(result.claim.owner.instance) == nullptr;
  if (!(is_held && result.claim.confirmed) && !owner_unknown &&
      result.vouched) {
    // A holder that would know of any earlier claim knows of none.
    result.kind = ClaimResult::Kind::kGranted;
  }
}

void Claimer::OnReply(LinkId link, const ClaimReply& reply) {
  const auto found = operations_.find(reply.call);
  const Member* member = members_.FindByLink(link);
  if (found == operations_.end() || member == nullptr) {
    return;
  }
  Operation& operation = found->second;
  const bool expected =
      operation.request_sent &&
      operation.next_holder < operation.holders.size() &&
      operation.holders[operation.next_holder] == member->info.id.instance;
  if (!expected) {
    return;
  }
  const ClaimTable::Answer answer{.granted = reply.granted,
                                  .vouched = reply.vouched,
                                  .claim = ReadClaim(reply),
                                  .coverage = ToHolderCoverage(reply.coverage)};
  if (ApplyAnswer(operation, answer)) {
    operation.next_holder = operation.holders.size();
  }
  Continue(reply.call);
}

void Claimer::OnLost(const PeerId& peer) {
  std::vector<uint64_t> waiting;
  for (auto& [call, operation] : operations_) {
    const bool waits_for_peer =
        operation.next_holder < operation.holders.size() &&
        operation.holders[operation.next_holder] == peer.instance;
    if (waits_for_peer) {
      operation.request_sent = false;
      waiting.push_back(call);
    }
  }
  for (const uint64_t call : waiting) {
    Continue(call);
  }
}

void Claimer::OnUp(const PeerId& peer) {
  OnLost(peer);
}

void Claimer::Tick() {
  std::vector<uint64_t> unsent;
  for (const auto& [call, operation] : operations_) {
    if (!operation.request_sent) {
      unsent.push_back(call);
    }
  }
  for (const uint64_t call : unsent) {
    Continue(call);
  }
}

}  // namespace lavenderkeel
