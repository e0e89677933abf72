#include "test/soak/checker.h"

#include <algorithm>
#include <sstream>

#include "lavenderkeel/evidence.h"

namespace lavenderkeel::soak {

namespace {

constexpr int kOk = 200;

}  // namespace

void Checker::AddViolation(const RequestRecord& record,
                           const std::string& guarantee) {
  violations_.push_back(
      guarantee + ": " + record.id + " (" + record.route + ", status " +
      (record.status ? std::to_string(*record.status) : "none") + ", head " +
      std::to_string(record.shape.head_bytes) + ", body " +
      std::to_string(record.shape.body_bytes) + ", answer " +
      std::to_string(record.shape.answer_bytes) + ", took " +
      std::to_string(ToMilliseconds(record.ended - record.sent)) + " ms)");
}

void Checker::OnArrival(const std::string& id, TimePoint now) {
  constexpr size_t kCrashes = 5;
  constexpr Duration kContactTime = std::chrono::seconds(3);
  arrivals_.insert(id);
  retries_.OnArrival(id, now);
  if (HasCrashingPart(id) && crashes_.size() >= kCrashes &&
      now > crashes_[kCrashes - 1] + kContactTime) {
    ++late_culprits_;
  }
}

void Checker::OnRequestDone(const RequestRecord& record) {
  if (HasCrashingPart(record.id)) {
    return;
  }
  if (record.route == "once") {
    non_idempotent_.insert(record.id);
  }
  // Routes time out after four seconds. The margin covers scheduling delays of
  // the machine that runs the test.
  constexpr Duration kMaxAnswerTime = std::chrono::milliseconds(5500);
  if (timed_ && record.ended - record.sent > kMaxAnswerTime &&
      record.status.has_value()) {
    AddViolation(record, "final answer after the time limit");
  }
  if (!record.status.has_value()) {
    ++lost_;
    if (record.got_head) {
      CheckStream(record, /*complete=*/false);
    }
    return;
  }
  const std::string* id = FindField(record.fields, "Request-Id");
  if (id != nullptr && *id != record.id) {
    AddViolation(record, "answer carries the id of another request");
  }
  if (*record.status == kOk) {
    ++served_;
    CheckAnswer(record);
  } else if (StatesNotRun(*record.status)) {
    ++refused_;
    reported_not_run_.insert(record.id);
  } else {
    ++lost_;
  }
}

void Checker::OnRequestBesidePlannedWork(const RequestRecord& record,
                                         std::optional<bool> allowed) {
  OnRequestDone(record);
  constexpr Duration kTimeLimit = std::chrono::milliseconds(3900);
  const bool timed_out = record.ended - record.sent >= kTimeLimit;
  if (!record.status.has_value()) {
    if (!timed_out) {
      cut_[record.id] = record;
    }
    return;
  }
  const int status = *record.status;
  constexpr int kBodyTooLarge = 413;
  constexpr int kHeadTooLarge = 431;
  const bool too_large = status == kBodyTooLarge || status == kHeadTooLarge;
  if (too_large && allowed == true) {
    AddViolation(record, "refused though all limits in force allow it");
  }
  if (status == kOk && allowed == false) {
    AddViolation(record, "served though no limit in force allows it");
  }
  if (status != kOk && !StatesNotRun(status) && !too_large && !timed_out) {
    AddViolation(record, "failed beside planned work");
  }
}

void Checker::CheckAnswer(const RequestRecord& record) {
  const std::string* seal = FindField(record.fields, "Response-Seal");
  if (seal == nullptr || *seal != "s." + record.id) {
    AddViolation(record, "status 200 without the server's seal");
  }
  if (record.route == "stream") {
    CheckStream(record, /*complete=*/true);
    return;
  }
  std::string expected = "answer to " + record.id;
  expected.resize(std::max(expected.size(), record.shape.answer_bytes), 'x');
  if (record.body != expected) {
    constexpr size_t kMaxShown = 64;
    AddViolation(record, "body is not the complete answer to this request (" +
                             record.body.substr(0, kMaxShown) + ")");
  }
}

void Checker::CheckStream(const RequestRecord& record, bool complete) {
  if (record.route != "stream") {
    return;
  }
  constexpr int kEvents = 12;
  std::string expected;
  for (int event = 1; event <= kEvents; ++event) {
    expected +=
        "id: " + std::to_string(event) + "\ndata: " + record.id + "\n\n";
  }
  if (complete ? record.body != expected : !expected.starts_with(record.body)) {
    AddViolation(record,
                 complete ? "stream has a missing, repeated or foreign event"
                          : "received events are not a prefix of the stream");
  }
}

void Checker::OnRuns(const std::multiset<std::string>& runs) {
  for (const std::string& id : non_idempotent_) {
    if (runs.count(id) > 1) {
      violations_.push_back("ran more than once: " + id);
    }
  }
  for (const std::string& id : reported_not_run_) {
    if (runs.contains(id)) {
      violations_.push_back("reported as not run, but ran: " + id);
    }
  }
  for (const auto& [id, record] : cut_) {
    if (record.got_head || runs.contains(id)) {
      AddViolation(record, "cut beside planned work");
    }
  }
  for (const std::string& id : runs) {
    if (runs.count(id) > arrivals_.count(id)) {
      violations_.push_back("ran more often than it reached a server: " + id);
    }
  }
  constexpr size_t kMaxLateCulprits = 3;
  if (late_culprits_ > kMaxLateCulprits) {
    violations_.push_back("requests with the crashing part reached servers " +
                          std::to_string(late_culprits_) +
                          " times after the fifth crash was known");
  }
  const fakes::RetryHistory::Window worst = retries_.WorstWindow();
  if (worst.excess() > 0) {
    std::ostringstream text;
    text << "retries beyond the bound: " << worst;
    violations_.push_back(text.str());
  }
}

void Checker::OnRequestAfterRecovery(const RequestRecord& record) {
  OnRequestDone(record);
  if (!record.status.has_value() || *record.status != kOk) {
    AddViolation(record, "not served after all faults ended");
  }
}

}  // namespace lavenderkeel::soak
