#ifndef LAVENDERKEEL_GATE_RUN_TABLE_H_
#define LAVENDERKEEL_GATE_RUN_TABLE_H_

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lavenderkeel/action.h"
#include "lavenderkeel/admission/reservation.h"
#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/base/result_code.h"

namespace lavenderkeel {

/// The agent's record of one request key.
struct Run {
  enum class State {
    /// Not started here; only the entry `allowed` may start the run.
    kSealed,
    /// Accepted, waiting for a slot at the server.
    kReady,
    kRunning,
    kFinished,
    /// Ran here; the answer is no longer stored.
    kAnswerDropped,
  };

  State state = State::kSealed;
  /// The entry incarnation that may start the run.
  PeerId allowed;
  /// The ballot of the seal that set `allowed`; zero without a seal.
  uint64_t ballot = 0;
  Reservation reservation;
  Go go;
  RunId run = 0;
  std::string request_id;
  ResultCode code = ResultCode::kAnswered;
  std::string answer;
  uint64_t next_index = 0;
  TimePoint started;
  std::optional<TimePoint> first_token;
  TimePoint last_event;
  uint32_t resumes = 0;
  /// Consecutive resumes for which the server accepted no connection.
  uint32_t unreachable_resumes = 0;
  /// The engine refused the request and is asked whether it runs it.
  bool awaits_confirmation = false;
  /// See RunController::server_life_.
  uint64_t server_life = 0;

  bool started_here() const {
    return state == State::kReady || state == State::kRunning ||
           state == State::kFinished || state == State::kAnswerDropped;
  }
};

/// The runs of an agent by request key, bounded in time and bytes.
class RunTable {
 public:
  struct Options {
    /// How long a key is remembered; at least the retention of claims.
    Duration retention = std::chrono::minutes(11);
    size_t kept_answer_bytes = size_t{16} << 20;
    size_t max_remembered_keys = 200'000;
  };

  /// Whether a reader is still subscribed to the answer of the key.
  using InUse = std::function<bool(const RequestKey&)>;

  explicit RunTable(Options options) : options_(options) {}

  void set_in_use(InUse in_use) { in_use_ = std::move(in_use); }

  Run* Find(const RequestKey& key);
  const Run* Find(const RequestKey& key) const;
  Run* FindByRun(RunId run);
  const Run* FindByRun(RunId run) const;
  const RequestKey* KeyOf(RunId run) const;
  Run& Add(const RequestKey& key, TimePoint now);
  void BindRun(const RequestKey& key, RunId run);
  void UnbindRun(RunId run);
  void Erase(const RequestKey& key);
  /// Counts the answer of a finished run towards the byte limit and drops the
  /// oldest answers above it.
  void RetainAnswer(const RequestKey& key);
  void Tick(TimePoint now);

  /// Returns whether the key may have run here and been forgotten, in which
  /// case NotHere must not be sent for it.
  bool MayHaveForgotten(const RequestKey& key) const {
    return key.first_sent() <= forgotten_until_;
  }
  size_t size() const { return runs_.size(); }

 private:
  void DropExcessAnswers();
  void DropAnswer(Run& run);
  void ForgetOldest();

  Options options_;
  InUse in_use_;
  std::unordered_map<RequestKey, Run, RequestKeyHash> runs_;
  std::unordered_map<RunId, RequestKey> by_run_;
  std::deque<std::pair<TimePoint, RequestKey>> by_age_;
  std::deque<RequestKey> retained_;
  size_t retained_bytes_ = 0;
  WallTime forgotten_until_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_GATE_RUN_TABLE_H_
