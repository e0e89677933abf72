#ifndef LAVENDERKEEL_TEST_FUZZ_ORACLE_H_
#define LAVENDERKEEL_TEST_FUZZ_ORACLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/action/action.h"
#include "lavenderkeel/base/result_code.h"

namespace lavenderkeel::fuzz {

/// Black-box checker of the system's guarantees. Its only input is the requests
/// and replies of callers and the starts of requests at engines.
class Oracle {
 public:
  /// A logical request: one key, submitted once or several times.
  struct LogicalRequest {
    std::string word;
    bool repeatable = false;
    uint32_t tokens = 0;
    uint32_t starts = 0;
    /// Number of submissions that may still run: sent, and not reported as not
    /// run.
    int outstanding = 0;
    int submissions = 0;
    bool answered = false;
  };

  /// @param word the first word of the prompt, which identifies the logical
  ///     request
  void OnSubmit(CallerId caller,
                const std::string& word,
                bool repeatable,
                uint32_t tokens);
  /// Registers a caller that only reads the answer, which must not start a run.
  void OnRead(CallerId caller, const std::string& word);
  /// Handles the start of a request at an engine.
  void OnStart(const std::string& prompt);
  /// Handles a caller's connection that broke before an outcome.
  void OnDisconnect(CallerId caller);

  void OnReply(const ReplyComplete& reply);
  void OnReply(const ReplyHead& reply);
  void OnReply(const ReplyChunk& reply);
  void OnReply(const ReplyEnd& reply);
  void OnReply(const ReplyAbort& reply);

  void AddViolation(std::string what) {
    violations_.push_back(std::move(what));
  }
  const std::vector<std::string>& violations() const { return violations_; }
  /// Number of callers that have no final outcome yet.
  size_t open_callers() const { return callers_.size(); }
  std::string DescribeOpenCallers() const;
  size_t Count(ResultCode code) const {
    const auto found = outcome_counts_.find(code);
    return found == outcome_counts_.end() ? 0 : found->second;
  }
  /// Returns the number of outcomes per result code.
  std::string Summary() const;

 private:
  struct Caller {
    std::string word;
    bool reads_only = false;
    bool streaming = false;
    std::string bytes;
  };

  void OnOutcome(CallerId caller, ResultCode code);
  void CheckAnswer(const Caller& caller, const std::string& text);

  std::map<std::string, LogicalRequest> logical_;
  std::map<CallerId, Caller> callers_;
  std::map<ResultCode, size_t> outcome_counts_;
  std::vector<std::string> violations_;
};

}  // namespace lavenderkeel::fuzz

#endif  // LAVENDERKEEL_TEST_FUZZ_ORACLE_H_
