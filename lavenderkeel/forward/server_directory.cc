#include "lavenderkeel/forward/server_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lavenderkeel {

void ServerDirectory::ApplyList(const std::vector<BackendServer>& servers,
                                TimePoint now) {
  std::set<std::string> listed;
  for (const BackendServer& server : servers) {
    listed.insert(server.id);
    Apply(server);
  }
  std::vector<std::string> missing;
  for (const auto& [key, entry] : servers_) {
    if (!listed.contains(entry.server.id)) {
      missing.push_back(entry.server.id);
    }
  }
  for (const std::string& id : missing) {
    Remove(id, now);
  }
}

void ServerDirectory::Apply(const BackendServer& server) {
  ++generation_;
  const auto previous = FindById(server.id);
  if (previous != servers_.end()) {
    servers_.erase(previous);
  }
  servers_[server.start_key()] = {.server = server, .drop_at = std::nullopt};
}

ServerDirectory::KnownServers::iterator ServerDirectory::FindById(
    const std::string& id) {
  return std::ranges::find_if(servers_, [&id](const auto& item) {
    return item.second.server.id == id;
  });
}

void ServerDirectory::Remove(const std::string& id, TimePoint now) {
  const auto found = FindById(id);
  if (found == servers_.end()) {
    return;
  }
  ++generation_;
  if (!IsAfterOutage(now) || found->second.server.draining) {
    servers_.erase(found);
    return;
  }
  if (!found->second.drop_at.has_value()) {
    const TimePoint since = outage_ ? now : *outage_end_;
    found->second.drop_at = since + options_.relist_timeout;
  }
}

void ServerDirectory::Discard(const std::string& id) {
  if (const auto found = FindById(id); found != servers_.end()) {
    ++generation_;
    servers_.erase(found);
  }
}

void ServerDirectory::OnOutage() {
  outage_ = true;
}

void ServerDirectory::OnRecovery(TimePoint now) {
  if (std::exchange(outage_, false)) {
    outage_end_ = now;
  }
}

void ServerDirectory::Tick(TimePoint now) {
  const size_t dropped = std::erase_if(servers_, [now](const auto& item) {
    const std::optional<TimePoint>& drop_at = item.second.drop_at;
    return drop_at.has_value() && now >= *drop_at;
  });
  generation_ += dropped > 0 ? 1 : 0;
}

const BackendServer* ServerDirectory::Find(const std::string& start_key) const {
  const auto found = servers_.find(start_key);
  return found == servers_.end() ? nullptr : &found->second.server;
}

std::vector<const BackendServer*> ServerDirectory::Usable(
    const std::string& service) const {
  std::vector<const BackendServer*> confirmed;
  std::vector<const BackendServer*> unconfirmed;
  for (const auto& [id, entry] : servers_) {
    if (entry.server.service == service && !entry.server.draining) {
      (entry.drop_at.has_value() ? unconfirmed : confirmed)
          .push_back(&entry.server);
    }
  }
  // An expiry during an outage affects most list entries at once. Where most
  // servers are still listed, the missing ones have left, for example while
  // this entry alone was disconnected from the store, and must get no more
  // requests.
  if (confirmed.size() >= unconfirmed.size()) {
    return confirmed;
  }
  confirmed.insert(confirmed.end(), unconfirmed.begin(), unconfirmed.end());
  return confirmed;
}

bool ServerDirectory::IsUnconfirmed(const std::string& start_key) const {
  const auto found = servers_.find(start_key);
  return found != servers_.end() && found->second.drop_at.has_value();
}

}  // namespace lavenderkeel
