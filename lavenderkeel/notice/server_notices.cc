#include "lavenderkeel/notice/server_notices.h"

#include <algorithm>
#include <utility>

namespace lavenderkeel {

ServerNotices::ServerNotices(Options options,
                             const Clock& clock,
                             const EventLog& log)
    : options_(std::move(options)), clock_(clock), log_(log) {}

void ServerNotices::OnAnswer(const std::string& server,
                             const AnswerNotices& answer,
                             TimePoint sent_at) {
  for (const AnswerNotices::Stated& stated : answer.stated()) {
    Observe({.server = server,
             .kind = stated.kind,
             .value = stated.value,
             .said_at = clock_.Now(),
             .source = options_.self});
  }
  for (const AnswerNotices::Unreadable& unreadable : answer.unreadable()) {
    LogUnreadable(server, unreadable);
  }
  for (const NoticeKind kind : kNoticeKinds) {
    const ServerNotice* notice = Find(server, kind);
    // Answers on different connections may overtake each other. Only an answer
    // to a request that was sent after the notice is certain to be newer.
    if (notice == nullptr || !RulesOf(kind).ends_when_absent ||
        answer.Has(kind) || sent_at <= notice->said_at) {
      continue;
    }
    Observe({.server = server,
             .kind = kind,
             .value = notice->value,
             .in_force = false,
             .said_at = sent_at,
             .source = options_.self});
  }
}

void ServerNotices::Observe(const ServerNotice& notice) {
  if (Set(notice) && RulesOf(notice.kind).shared) {
    changes_.insert({notice.server, notice.kind});
  }
}

void ServerNotices::OnReports(const std::vector<ServerNotice>& reports,
                              bool pass_on) {
  for (const ServerNotice& report : reports) {
    const Key key = {report.server, report.kind};
    const auto known = notices_.find(key);
    if (known != notices_.end() &&
        known->second.notice.said_at >= report.said_at) {
      // The reporting entry lacks what is known here.
      const ServerNotice& newer = known->second.notice;
      if (newer.in_force != report.in_force || newer.value != report.value) {
        changes_.insert(key);
      }
      continue;
    }
    if (Set(report) && pass_on) {
      changes_.insert(key);
    }
  }
}

std::vector<ServerNotice> ServerNotices::TakeChanges() {
  std::vector<ServerNotice> changed;
  for (const Key& key : std::exchange(changes_, {})) {
    if (const auto found = notices_.find(key); found != notices_.end()) {
      changed.push_back(found->second.notice);
    }
  }
  return changed;
}

std::vector<ServerNotice> ServerNotices::Shared(bool only_own) const {
  std::vector<ServerNotice> shared;
  for (const auto& [key, record] : notices_) {
    const bool own = record.notice.source == options_.self;
    if (RulesOf(key.second).shared && (own || !only_own)) {
      shared.push_back(record.notice);
    }
  }
  return shared;
}

bool ServerNotices::Set(const ServerNotice& notice) {
  const TimePoint now = clock_.Now();
  const auto [found, added] = notices_.try_emplace(
      {notice.server, notice.kind},
      Record{.notice = notice, .last_listed = clock_.Now()});
  ServerNotice& current = found->second.notice;
  if (!added && RulesOf(notice.kind).value_is_duration &&
      current.EndsAt() > notice.EndsAt()) {
    return false;
  }
  const ServerNotice former = std::exchange(current, notice);
  if (!added && former.value == notice.value &&
      former.IsInForce(now) == notice.IsInForce(now)) {
    return false;
  }
  log_.Info("server_notice",
            {{"server", notice.server},
             {"kind", RulesOf(notice.kind).name},
             {"value", notice.value},
             {"in_force", notice.in_force},
             {"source", notice.source},
             {"age_ms", ToMilliseconds(now - notice.said_at)}});
  return true;
}

void ServerNotices::LogUnreadable(const std::string& server,
                                  const AnswerNotices::Unreadable& unreadable) {
  std::string& last = unreadable_[{server, unreadable.kind}];
  if (std::exchange(last, unreadable.text) == unreadable.text) {
    return;
  }
  log_.Warn("server_notice_unreadable",
            {{"server", server},
             {"kind", RulesOf(unreadable.kind).name},
             {"text", unreadable.text}});
}

void ServerNotices::Tick(
    const std::function<bool(const std::string& server)>& is_listed) {
  const TimePoint now = clock_.Now();
  for (auto& [key, record] : notices_) {
    if (is_listed(key.first)) {
      record.last_listed = now;
    }
  }
  std::erase_if(notices_, [&](const auto& item) {
    const Record& record = item.second;
    const TimePoint kept_since =
        record.notice.in_force ? record.last_listed : record.notice.said_at;
    return now >= record.notice.EndsAt() ||
           now - kept_since > options_.forget_after;
  });
  std::erase_if(unreadable_,
                [&](const auto& item) { return !is_listed(item.first.first); });
}

const ServerNotice* ServerNotices::FindBlocking(
    const std::string& server) const {
  for (const NoticeKind kind : kNoticeKinds) {
    const ServerNotice* notice = Find(server, kind);
    if (notice != nullptr && RulesOf(kind).blocks) {
      return notice;
    }
  }
  return nullptr;
}

bool ServerNotices::BlocksAllEntries(const std::string& server) const {
  return std::ranges::any_of(kNoticeKinds, [&](NoticeKind kind) {
    const NoticeRules rules = RulesOf(kind);
    return rules.shared && rules.blocks && Find(server, kind) != nullptr;
  });
}

const ServerNotice* ServerNotices::Find(const std::string& server,
                                        NoticeKind kind) const {
  const auto found = notices_.find({server, kind});
  return found != notices_.end() && found->second.notice.IsInForce(clock_.Now())
             ? &found->second.notice
             : nullptr;
}

}  // namespace lavenderkeel
