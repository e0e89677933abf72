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

/// Knows only what callers sent and were told, and what engines ran.
class Oracle {
 public:
  struct Logical {
    std::string word;
    bool repeatable = false;
    uint32_t tokens = 0;
    uint32_t starts = 0;
    /// Submissions that may still run: sent, and not told "not run".
    int outstanding = 0;
    bool answered = false;
  };

  /// @param word names the logical request: the first word of its prompt
  void OnSubmit(CallerId caller,
                const std::string& word,
                bool repeatable,
                uint32_t tokens);
  /// A read of the answer; it may not run anything.
  void OnRead(CallerId caller, const std::string& word);
  void OnStart(const std::string& prompt);
  /// The caller's connection broke before an outcome.
  void OnCut(CallerId caller);

  void OnReply(const ReplyWhole& reply);
  void OnReply(const ReplyHead& reply);
  void OnReply(const ReplyData& reply);
  void OnReply(const ReplyEnd& reply);
  void OnReply(const ReplyAbort& reply);

  void Violate(std::string what) { violations_.push_back(std::move(what)); }
  const std::vector<std::string>& violations() const { return violations_; }
  /// Callers that have no final outcome yet.
  size_t open() const { return callers_.size(); }
  std::string DescribeOpen() const;
  size_t Count(ResultCode code) const {
    const auto found = told_.find(code);
    return found == told_.end() ? 0 : found->second;
  }
  std::string Summary() const;

 private:
  struct Caller {
    std::string word;
    bool reads_only = false;
    bool streaming = false;
    std::string bytes;
  };

  void Told(CallerId caller, ResultCode code);
  void CheckWhole(const Caller& caller, const std::string& text);

  std::map<std::string, Logical> logical_;
  std::map<CallerId, Caller> callers_;
  std::map<ResultCode, size_t> told_;
  std::vector<std::string> violations_;
};

}  // namespace lavenderkeel::fuzz

#endif  // LAVENDERKEEL_TEST_FUZZ_ORACLE_H_
