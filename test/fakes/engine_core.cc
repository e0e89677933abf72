#include "test/fakes/engine_core.h"

#include <algorithm>
#include <boost/json.hpp>
#include <string_view>

#include "lavenderkeel/base/rendezvous.h"

namespace lavenderkeel::fakes {

namespace json = boost::json;

namespace {

constexpr size_t kBytesPerToken = 4;
constexpr size_t kBlockBytes = 1024;
constexpr uint32_t kBlockTokens = kBlockBytes / kBytesPerToken;

}  // namespace

bool EngineCore::Start(const std::string& request_id,
                       const std::string& prompt,
                       uint32_t max_tokens) {
  if (streams_.contains(request_id)) {
    return false;
  }
  ++starts_;
  if (on_start) {
    on_start(prompt);
  }
  Stream stream;
  stream.word = prompt.substr(0, prompt.find(' '));
  stream.prompt_tokens =
      static_cast<uint32_t>(prompt.size() / kBytesPerToken + 1);
  stream.cached_tokens = UpdatePrefixCache(prompt);
  stream.prefill_left = stream.prompt_tokens -
                        std::min(stream.prompt_tokens, stream.cached_tokens);
  stream.max_tokens = max_tokens;
  streams_[request_id] = stream;
  running_.push_back(request_id);
  return true;
}

uint32_t EngineCore::UpdatePrefixCache(const std::string& prompt) {
  uint32_t hit = 0;
  bool hitting = true;
  uint64_t hash = 0;
  for (size_t i = 0; (i + 1) * kBlockBytes <= prompt.size(); ++i) {
    hash = HashBytes(
        std::string_view(prompt).substr(i * kBlockBytes, kBlockBytes), hash);
    hitting = hitting && cached_set_.contains(hash);
    hit += hitting ? kBlockTokens : 0;
    if (!cached_set_.insert(hash).second) {
      continue;
    }
    cached_.push_back(hash);
    cache_events_.push_back({cache_events_.size() + 1, true, hash});
    if (cached_.size() > options_.prefix_blocks) {
      cached_set_.erase(cached_.front());
      cache_events_.push_back(
          {cache_events_.size() + 1, false, cached_.front()});
      cached_.pop_front();
    }
  }
  return hit;
}

std::string EngineCore::Cancel(const std::string& request_id) {
  const auto found = streams_.find(request_id);
  if (found == streams_.end()) {
    return "unknown";
  }
  if (found->second.finished) {
    return "finished";
  }
  found->second.cancelled = true;
  found->second.finished = true;
  std::erase(running_, request_id);
  return "cancelled";
}

void EngineCore::CancelAll() {
  const std::vector<std::string> ids = running_;
  for (const std::string& id : ids) {
    Cancel(id);
  }
}

const EngineCore::Stream* EngineCore::Find(
    const std::string& request_id) const {
  const auto found = streams_.find(request_id);
  return found == streams_.end() ? nullptr : &found->second;
}

void EngineCore::Advance(TimePoint now) {
  if (running_.empty()) {
    next_step_ = now;
  }
  while (!running_.empty() && next_step_ <= now) {
    Step();
    const double batch =
        1 + options_.batch_slowdown * static_cast<double>(running_.size());
    next_step_ +=
        std::chrono::duration_cast<Duration>(options_.step * batch / speed_);
  }
  reports_.push_back({now, running_.size()});
  while (reports_.size() > 1 && now - reports_[1].at >= options_.report_lag) {
    reports_.pop_front();
  }
}

void EngineCore::Step() {
  uint32_t prefill_budget = options_.prefill_tokens_per_step;
  const std::vector<std::string> batch = running_;
  for (const std::string& id : batch) {
    Stream& stream = streams_[id];
    if (stream.prefill_left > 0) {
      const uint32_t done = std::min(stream.prefill_left, prefill_budget);
      stream.prefill_left -= done;
      prefill_budget -= done;
      continue;
    }
    const size_t index = stream.events.size();
    stream.events.push_back(json::serialize(
        json::object{{"index", index}, {"text", TextOf(stream.word, index)}}));
    if (stream.events.size() >= stream.max_tokens) {
      EndStream(id, stream);
    }
  }
}

void EngineCore::EndStream(const std::string& id, Stream& stream) {
  stream.finished = true;
  const json::object usage{{"prompt_tokens", stream.prompt_tokens},
                           {"cached_tokens", stream.cached_tokens},
                           {"completion_tokens", stream.events.size()}};
  stream.events.push_back(json::serialize(
      json::object{{"finish_reason", "stop"}, {"usage", usage}}));
  std::erase(running_, id);
}

std::string EngineCore::Load(TimePoint now) const {
  const Report report = reports_.empty() ? Report{now, 0} : reports_.front();
  return json::serialize(json::object{
      {"running", report.running},
      {"waiting", 0},
      {"kv_blocks_used", cached_.size()},
      {"kv_blocks", options_.prefix_blocks},
      {"measured_at_ms", ToMilliseconds(report.at.time_since_epoch())}});
}

std::string EngineCore::CacheEvents(uint64_t after) const {
  // Every seventh event is lost, and the newest events are delayed.
  constexpr uint64_t kLostEventInterval = 7;
  constexpr size_t kDelayedEvents = 8;
  json::array events;
  for (size_t i = 0; i + kDelayedEvents < cache_events_.size(); ++i) {
    const CacheEvent& event = cache_events_[i];
    if (event.seq > after && event.seq % kLostEventInterval != 0) {
      events.push_back(
          json::object{{"seq", event.seq},
                       {"kind", event.stored ? "stored" : "evicted"},
                       {"prefix_hash", event.prefix_hash}});
    }
  }
  return json::serialize(json::object{{"events", std::move(events)}});
}

int EngineCore::Order(uint64_t fence, const std::string& model) {
  constexpr int kAccepted = 202;
  constexpr int kConflict = 409;
  if (options_.checks_fence && fence < last_fence_) {
    return kConflict;
  }
  last_fence_ = std::max(last_fence_, fence);
  models_.insert(model);
  return kAccepted;
}

std::string EngineCore::State() const {
  return json::serialize(json::object{{"models", json::value_from(models_)},
                                      {"adapters", json::array()},
                                      {"role", "mixed"},
                                      {"generation", 1},
                                      {"last_fence", last_fence_}});
}

}  // namespace lavenderkeel::fakes
