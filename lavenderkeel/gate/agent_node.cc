#include "lavenderkeel/gate/agent_node.h"

#include <boost/json.hpp>
#include <utility>

#include "lavenderkeel/config/json_fields.h"

namespace lavenderkeel {

namespace json = boost::json;

namespace {

/// The object that counts the processes of an agent.
struct FenceRecord {
  uint64_t fence = 0;
  uint64_t incarnation = 0;
};

std::optional<FenceRecord> ParseFenceRecord(const std::string& text) {
  const std::optional<json::value> record = ParseJsonObject(text);
  if (!record.has_value()) {
    return std::nullopt;
  }
  const auto number = [&record](std::string_view name) {
    const json::value* value = record->get_object().if_contains(name);
    boost::system::error_code error;
    const uint64_t result =
        value == nullptr ? 0 : value->to_number<uint64_t>(error);
    return value == nullptr || error ? std::nullopt : std::optional(result);
  };
  const std::optional<uint64_t> fence = number("fence");
  const std::optional<uint64_t> incarnation = number("incarnation");
  if (!fence.has_value() || !incarnation.has_value()) {
    return std::nullopt;
  }
  return FenceRecord{.fence = *fence, .incarnation = *incarnation};
}

}  // namespace

AgentNode::AgentNode(Options options,
                     InstanceInfo self,
                     const Clock& clock,
                     uint64_t random_seed,
                     const EventLog& log,
                     Metrics& metrics)
    : options_(std::move(options)),
      clock_(clock),
      log_(log),
      random_(random_seed),
      platform_(outbox_),
      members_(options_.members,
               std::move(self),
               clock,
               random_,
               outbox_,
               [this] {
                 Heartbeat heartbeat;
                 heartbeat.leaving = leaving_;
                 heartbeat.serves = {options_.serves};
                 gate_.FillLoad(heartbeat);
                 return heartbeat;
               }),
      gate_(options_.gate, clock, members_, log, metrics, outbox_),
      registration_(options_.registration,
                    members_.self(),
                    clock,
                    random_,
                    platform_,
                    [](const InstanceList&) {}),
      fence_update_(
          {.object = "lavenderkeel/servers/" + members_.self().id.instance,
           .next =
               [this](const std::optional<std::string>& current) {
                 return NextFence(current);
               },
           .done = nullptr},
          clock,
          random_,
          platform_),
      freeze_detector_(options_.members.heartbeat_timeout) {
  gate_.signal_unavailable().connect([this] { members_.AnnounceNow(); });
  members_.signal_link_dropped().connect(
      [this](LinkId link) { gate_.OnLinkDown(link); });
}

void AgentNode::Start(const std::string& address) {
  members_.set_address(address);
  for (const std::string& seed : options_.seeds) {
    members_.AddSeed(seed);
  }
  registration_.Start();
  fence_update_.Start();
}

std::optional<std::string> AgentNode::NextFence(
    const std::optional<std::string>& current) {
  const uint64_t own = members_.self().id.incarnation;
  std::optional<FenceRecord> record =
      current.has_value() ? ParseFenceRecord(*current) : FenceRecord();
  if (!record.has_value()) {
    // The former number is not known, but no process before this one can have
    // counted that far: a lower number would end this agent's orders.
    record = {.fence = static_cast<uint64_t>(
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      clock_.WallNow().time_since_epoch())
                      .count())};
    log_.Warn("fence_unreadable", {{"instance", members_.self().id.instance},
                                   {"fence", record->fence + 1}});
  }
  if (record->incarnation == own) {
    fence_ = record->fence;
    return std::nullopt;
  }
  fence_ = record->fence + 1;
  return json::serialize(json::object{{"fence", fence_}, {"incarnation", own}});
}

void AgentNode::CheckForFreeze() {
  if (freeze_detector_.Check(clock_.Now())) {
    log_.Warn("gap_noticed", {{"instance", members_.self().id.instance}});
    members_.ResetSilenceTimers();
  }
}

void AgentNode::Tick() {
  CheckForFreeze();
  members_.Tick();
  registration_.Tick();
  fence_update_.Tick();
  gate_.Tick();
}

bool AgentNode::OnLinkUp(LinkId link,
                         const InstanceInfo& peer,
                         const std::string& dialed) {
  CheckForFreeze();
  return members_.OnLinkUp(link, peer, dialed);
}

void AgentNode::OnLinkDown(LinkId link) {
  CheckForFreeze();
  members_.OnLinkDown(link);
}

void AgentNode::OnDialFailed(const std::string& address) {
  members_.OnDialFailed(address);
}

void AgentNode::OnMessage(LinkId link, Message message) {
  CheckForFreeze();
  const Member* peer = members_.FindByLink(link);
  if (peer == nullptr) {
    // The link was replaced by a newer one to the same peer; messages on it are
    // stale.
    return;
  }
  members_.OnMessageReceived(link);
  std::visit(
      [this, link](auto& body) {
        using T = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<T, Heartbeat>) {
          members_.OnHeartbeat(link, body);
        } else if constexpr (std::is_same_v<T, Reserve>) {
          gate_.OnReserve(link, body);
        } else if constexpr (std::is_same_v<T, Withdraw>) {
          gate_.OnWithdraw(link, body);
        } else if constexpr (std::is_same_v<T, Go>) {
          gate_.OnGo(link, std::move(body));
        } else if constexpr (std::is_same_v<T, Attach>) {
          gate_.OnAttach(link, body);
        } else if constexpr (std::is_same_v<T, Ack>) {
          gate_.OnAck(link, body);
        } else if constexpr (std::is_same_v<T, Detach>) {
          gate_.OnDetach(link, body);
        } else if constexpr (std::is_same_v<T, Cancel>) {
          gate_.OnCancel(link, body);
        } else if constexpr (std::is_same_v<T, AgentPolicy>) {
          gate_.OnPolicy(body);
        }
      },
      message);
}

void AgentNode::OnPlatformReply(PlatformCallId call,
                                const PlatformReply& reply) {
  platform_.OnReply(call, reply);
}

void AgentNode::Leave() {
  if (std::exchange(leaving_, true)) {
    return;
  }
  log_.Info("leaving", {{"instance", members_.self().id.instance}});
  left_at_ = clock_.Now();
  members_.set_leaving();
  gate_.Leave();
  members_.AnnounceNow();
  registration_.Leave();
}

bool AgentNode::CanExit() const {
  // Leaves time for the leave notice to reach the entries before the sockets
  // close.
  constexpr auto kLeaveNoticeTime = std::chrono::milliseconds(100);
  return leaving_ && gate_.Idle() && clock_.Now() - left_at_ > kLeaveNoticeTime;
}

}  // namespace lavenderkeel
