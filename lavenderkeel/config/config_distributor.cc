#include "lavenderkeel/config/config_distributor.h"

#include <algorithm>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel {

namespace {

constexpr int kNotModifiedStatus = 304;
/// A message with shards is sent once it holds this much.
constexpr size_t kShardMessageFlushBytes = size_t{1} << 19;

}  // namespace

ConfigDistributor::ConfigDistributor(Options options,
                                     ConfigStore& store,
                                     const MemberTable& members,
                                     const Clock& clock,
                                     std::mt19937_64& random,
                                     PlatformPort& port,
                                     Outbox& outbox)
    : options_(options),
      store_(store),
      members_(members),
      clock_(clock),
      random_(random),
      port_(port),
      outbox_(outbox) {}

void ConfigDistributor::Start() {
  ReadPlatform();
}

void ConfigDistributor::Tick() {
  const TimePoint now = clock_.Now();
  if (!reading_ && now >= next_read_) {
    ReadPlatform();
  }
  if (fetch_deadline_.has_value() && now >= *fetch_deadline_) {
    source_.reset();
    FetchMissingShards();
  }
}

bool ConfigDistributor::IsWatcher() const {
  std::vector<std::string> candidates = {members_.self().id.instance};
  for (const Member* member : members_.Members(Role::kEntry)) {
    const bool is_near =
        member->info.data_centre == members_.self().data_centre;
    if (is_near && member->live() && !member->info.leaving) {
      candidates.push_back(member->info.id.instance);
    }
  }
  const std::vector<std::string> watchers = RendezvousTop(
      HashBytes(kHeadObject), candidates, options_.watchers_per_data_centre);
  return std::ranges::find(watchers, members_.self().id.instance) !=
         watchers.end();
}

void ConfigDistributor::ReadPlatform() {
  reading_ = true;
  PlatformCall call = ReadObject(kHeadObject);
  if (!head_etag_.empty() && IsWatcher()) {
    call.path += "?after=" + head_etag_ +
                 "&wait_ms=" + std::to_string(options_.watch_wait.count());
    call.wait_ms = options_.watch_wait.count();
  }
  port_.Call(std::move(call),
             [this](const PlatformReply& reply) { OnPlatformHead(reply); });
}

void ConfigDistributor::OnPlatformHead(const PlatformReply& reply) {
  reading_ = false;
  const std::optional<ConfigHead> head =
      reply.ok() ? Catch([&] { return ConfigHead::FromJson(reply.body); }).value
                 : std::nullopt;
  const bool answered = head.has_value() || reply.status == kNotModifiedStatus;
  // A head that can't be read may be a part of one. Watchers alone read it
  // again soon.
  const bool unreadable = reply.ok() && !head.has_value();
  const bool watch_again = answered && IsWatcher();
  const Duration period = answered || (unreadable && !IsWatcher())
                              ? options_.poll_period
                              : options_.retry_period;
  // Jitter spreads the reads of the whole fleet at the end of an outage.
  std::uniform_int_distribution<int64_t> jitter(0, period.count() / 2);
  const Duration wait =
      watch_again ? Duration::zero() : period + Duration(jitter(random_));
  next_read_ = clock_.Now() + wait;
  if (head.has_value()) {
    head_etag_ = reply.etag;
    OfferFrom(std::nullopt, *head);
  }
}

void ConfigDistributor::OnHead(LinkId link, const ConfigHeadNotice& notice) {
  const auto head = Catch([&] { return ConfigHead::FromJson(notice.head); });
  if (head) {
    OfferFrom(link, *head.value);
  }
}

void ConfigDistributor::OfferFrom(std::optional<LinkId> link,
                                  const ConfigHead& head) {
  if (!store_.OfferHead(head)) {
    return;
  }
  source_ = link;
  fetching_.clear();
  FetchMissingShards();
}

void ConfigDistributor::FetchMissingShards() {
  const std::vector<std::string> missing = store_.MissingShards();
  fetch_deadline_.reset();
  if (missing.empty()) {
    return;
  }
  fetch_deadline_ = clock_.Now() + options_.pull_timeout;
  if (!source_.has_value()) {
    FetchFromPlatform();
    return;
  }
  ConfigPull pull;
  pull.names = missing;
  outbox_.Send(*source_, std::move(pull));
}

void ConfigDistributor::FetchFromPlatform() {
  for (const std::string& name : store_.MissingShards()) {
    if (!fetching_.insert(name).second) {
      continue;
    }
    port_.Call(ReadObject(kShardPrefix + name),
               [this, name](const PlatformReply& reply) {
                 fetching_.erase(name);
                 if (reply.ok()) {
                   store_.AddShard(name, reply.body);
                 }
               });
  }
}

void ConfigDistributor::OnPull(LinkId link, const ConfigPull& pull) {
  if (!store_.current()) {
    return;
  }
  if (pull.names.empty()) {
    ConfigHeadNotice notice;
    notice.version = store_.version();
    notice.head = store_.current()->head().ToJson();
    outbox_.Send(link, std::move(notice));
    return;
  }
  ConfigShards reply;
  size_t bytes = 0;
  for (const std::string& name : pull.names) {
    const std::string* body = store_.FindShard(name);
    if (body == nullptr) {
      continue;
    }
    reply.names.push_back(name);
    reply.bodies.push_back(*body);
    bytes += body->size();
    if (bytes >= kShardMessageFlushBytes) {
      outbox_.Send(link, std::exchange(reply, {}));
      bytes = 0;
    }
  }
  if (!reply.names.empty()) {
    outbox_.Send(link, std::move(reply));
  }
}

void ConfigDistributor::OnShards(const ConfigShards& shards) {
  const size_t count = std::min(shards.names.size(), shards.bodies.size());
  for (size_t i = 0; i < count; ++i) {
    store_.AddShard(shards.names[i], shards.bodies[i]);
  }
  if (store_.MissingShards().empty()) {
    fetch_deadline_.reset();
  }
}

void ConfigDistributor::OnPeerVersion(LinkId link, uint64_t version) {
  const bool behind = version > store_.version();
  if (!behind || clock_.Now() < next_pull_) {
    return;
  }
  next_pull_ = clock_.Now() + options_.pull_timeout / 2;
  outbox_.Send(link, ConfigPull());
}

void ConfigDistributor::PushHead(const ConfigHead& head) {
  ConfigHeadNotice notice;
  notice.version = head.version;
  notice.head = head.ToJson();
  for (const Member* member : members_.Members(Role::kEntry)) {
    if (member->outbound.has_value()) {
      outbox_.Send(*member->outbound, notice);
    }
  }
}

}  // namespace lavenderkeel
