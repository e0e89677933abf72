#ifndef LAVENDERKEEL_WIRE_MESSAGE_H_
#define LAVENDERKEEL_WIRE_MESSAGE_H_

#include <string_view>
#include <variant>

#include "lavenderkeel/base/request_key.h"
#include "lavenderkeel/wire/flatc-output/messages_generated.h"

namespace lavenderkeel {

// Value types of the messages that messages.fbs documents.
using Hello = fbs::HelloT;
using Heartbeat = fbs::HeartbeatT;
using Reserve = fbs::ReserveT;
using Withdraw = fbs::WithdrawT;
using SlotOffer = fbs::SlotOfferT;
using Go = fbs::GoT;
using Started = fbs::StartedT;
using Rejected = fbs::RejectedT;
using Attach = fbs::AttachT;
using NotHere = fbs::NotHereT;
using Chunk = fbs::ChunkT;
using Finished = fbs::FinishedT;
using Ack = fbs::AckT;
using Detach = fbs::DetachT;
using Cancel = fbs::CancelT;
using ClaimRequest = fbs::ClaimRequestT;
using ClaimReply = fbs::ClaimReplyT;
using Locate = fbs::LocateT;
using Located = fbs::LocatedT;
using ConfigHeadNotice = fbs::ConfigHeadT;
using ConfigPull = fbs::ConfigPullT;
using ConfigShards = fbs::ConfigShardsT;
using AgentPolicy = fbs::AgentPolicyT;
using ForwardStatus = fbs::ForwardStatusT;
using KnownEntries = fbs::KnownEntriesT;
using ServerFeed = fbs::ServerFeedT;
using GateStatus = fbs::GateStatusT;
using WantSlot = fbs::WantSlotT;
using HaveSlot = fbs::HaveSlotT;
using SlotEnd = fbs::SlotEndT;
using CrashEvidence = fbs::CrashEvidenceT;
using CrashNews = fbs::CrashNewsT;
using RegistryFeed = fbs::RegistryFeedT;
using WantRetries = fbs::WantRetriesT;
using HaveRetries = fbs::HaveRetriesT;

using Message = std::variant<Hello,
                             Heartbeat,
                             Reserve,
                             Withdraw,
                             SlotOffer,
                             Go,
                             Started,
                             Rejected,
                             Attach,
                             NotHere,
                             Chunk,
                             Finished,
                             Ack,
                             Detach,
                             Cancel,
                             ClaimRequest,
                             ClaimReply,
                             Locate,
                             Located,
                             ConfigHeadNotice,
                             ConfigPull,
                             ConfigShards,
                             AgentPolicy,
                             ForwardStatus,
                             KnownEntries,
                             WantSlot,
                             HaveSlot,
                             SlotEnd,
                             ServerFeed,
                             CrashNews,
                             RegistryFeed,
                             WantRetries,
                             HaveRetries>;

inline fbs::Key ToWire(const RequestKey& key) {
  return {key.hi, key.lo};
}

inline RequestKey FromWire(const fbs::Key& key) {
  return {.hi = key.hi(), .lo = key.lo()};
}

std::string_view MessageName(const Message& message);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_WIRE_MESSAGE_H_
