#include "lavenderkeel/gate/run_table.h"

#include <algorithm>

namespace lavenderkeel {

Run* RunTable::Find(const RequestKey& key) {
  const auto found = runs_.find(key);
  return found == runs_.end() ? nullptr : &found->second;
}

const Run* RunTable::Find(const RequestKey& key) const {
  const auto found = runs_.find(key);
  return found == runs_.end() ? nullptr : &found->second;
}

Run* RunTable::FindByRun(RunId run) {
  const RequestKey* key = KeyOf(run);
  return key == nullptr ? nullptr : Find(*key);
}

const Run* RunTable::FindByRun(RunId run) const {
  const RequestKey* key = KeyOf(run);
  return key == nullptr ? nullptr : Find(*key);
}

const RequestKey* RunTable::KeyOf(RunId run) const {
  const auto found = by_run_.find(run);
  return found == by_run_.end() ? nullptr : &found->second;
}

Run& RunTable::Add(const RequestKey& key, TimePoint now) {
  const auto [position, inserted] = runs_.try_emplace(key);
  if (inserted) {
    by_age_.emplace_back(now, key);
    if (by_age_.size() > options_.max_remembered_keys) {
      ForgetOldest();
    }
  }
  return position->second;
}

void RunTable::BindRun(const RequestKey& key, RunId run) {
  by_run_[run] = key;
}

void RunTable::UnbindRun(RunId run) {
  by_run_.erase(run);
}

void RunTable::Erase(const RequestKey& key) {
  const auto found = runs_.find(key);
  if (found != runs_.end()) {
    by_run_.erase(found->second.run);
    runs_.erase(found);
  }
}

void RunTable::RetainAnswer(const RequestKey& key) {
  const Run& run = runs_.at(key);
  retained_.push_back(key);
  retained_bytes_ += run.answer.size();
  DropExcessAnswers();
}

void RunTable::DropExcessAnswers() {
  for (size_t remaining = retained_.size();
       remaining > 1 && retained_bytes_ > options_.kept_answer_bytes;
       --remaining) {
    const RequestKey key = retained_.front();
    retained_.pop_front();
    // A slow caller still reads the answer, which would be cut off.
    if (in_use_ && in_use_(key)) {
      retained_.push_back(key);
    } else if (Run* oldest = Find(key)) {
      DropAnswer(*oldest);
    }
  }
}

void RunTable::DropAnswer(Run& run) {
  if (run.state != Run::State::kFinished) {
    return;
  }
  retained_bytes_ -= run.answer.size();
  run.answer = std::string();
  run.go = Go();
  run.state = Run::State::kAnswerDropped;
}

void RunTable::Tick(TimePoint now) {
  while (!by_age_.empty() && now - by_age_.front().first > options_.retention) {
    const Run* oldest = Find(by_age_.front().second);
    const bool active =
        oldest != nullptr && (oldest->state == Run::State::kReady ||
                              oldest->state == Run::State::kRunning);
    if (active) {
      // A long answer may outlast the retention; its key is checked again after
      // another retention.
      by_age_.emplace_back(now, by_age_.front().second);
      by_age_.pop_front();
      continue;
    }
    ForgetOldest();
  }
}

void RunTable::ForgetOldest() {
  const RequestKey key = by_age_.front().second;
  by_age_.pop_front();
  Run* run = Find(key);
  if (run == nullptr) {
    return;
  }
  const bool active =
      run->state == Run::State::kReady || run->state == Run::State::kRunning;
  if (active) {
    by_age_.emplace_back(TimePoint(), key);
    return;
  }
  // After this key's record is dropped, its entry may fail and another entry
  // ask for the key; a NotHere reply would lead to a second run elsewhere. Keys
  // contain the time when they were first sent, so all keys up to that time are
  // treated as possibly forgotten.
  forgotten_until_ = std::max(forgotten_until_, key.first_sent());
  DropAnswer(*run);
  Erase(key);
}

}  // namespace lavenderkeel
