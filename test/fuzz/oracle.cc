#include "test/fuzz/oracle.h"

#include <boost/json.hpp>
#include <cstdlib>

#include "test/fakes/engine_core.h"

namespace lavenderkeel::fuzz {

namespace json = boost::json;

namespace {

std::string HeaderOf(const HttpHeaders& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return "";
}

std::string ExpectedText(const Oracle::LogicalRequest& logical) {
  std::string text;
  for (uint32_t i = 0; i < logical.tokens; ++i) {
    text += fakes::EngineCore::TextOf(logical.word, i);
  }
  return text;
}

/// Joins the texts of server-sent events; starts with "?" if they don't end in
/// [DONE].
std::string TextOfStream(const std::string& bytes) {
  std::string text;
  bool done = false;
  size_t position = 0;
  constexpr std::string_view kData = "data: ";
  while (position < bytes.size()) {
    const size_t end = bytes.find("\n\n", position);
    const std::string event =
        bytes.substr(position + kData.size(), end - position - kData.size());
    position = end + 2;
    if (event == "[DONE]") {
      done = true;
      continue;
    }
    const json::value value = json::parse(event);
    text += value.at("choices").at(0).at("text").as_string().c_str();
  }
  return done ? text : "?" + text;
}

}  // namespace

void Oracle::OnSubmit(CallerId caller,
                      const std::string& word,
                      bool repeatable,
                      uint32_t tokens) {
  LogicalRequest& logical = logical_[word];
  logical.word = word;
  logical.repeatable = repeatable;
  logical.tokens = tokens;
  ++logical.outstanding;
  ++logical.submissions;
  callers_[caller] = {.word = word};
}

void Oracle::OnRead(CallerId caller, const std::string& word) {
  callers_[caller] = {.word = word, .reads_only = true};
}

void Oracle::OnStart(const std::string& prompt) {
  LogicalRequest& logical = logical_[prompt.substr(0, prompt.find(' '))];
  ++logical.starts;
  if (!logical.repeatable && logical.starts > 1) {
    AddViolation(logical.word + " was started twice");
  }
  if (!logical.repeatable && logical.outstanding <= 0) {
    AddViolation(
        logical.word +
        " was started after it was reported as not run to all callers");
  }
}

void Oracle::OnDisconnect(CallerId caller) {
  // The request may still run: it was not reported as not run.
  callers_.erase(caller);
}

void Oracle::OnOutcome(CallerId id, ResultCode code) {
  const auto found = callers_.find(id);
  if (found == callers_.end()) {
    AddViolation("caller " + std::to_string(id) + " got a second outcome");
    return;
  }
  LogicalRequest& logical = logical_[found->second.word];
  ++outcome_counts_[code];
  const Outcome outcome = Describe(code).outcome;
  const bool reads_only = found->second.reads_only;
  const bool about_running = code != ResultCode::kNotFound &&
                             code != ResultCode::kKeyReused && !reads_only;
  // Of several submissions of a repeatable request only one may have run.
  const bool about_all_runs = !logical.repeatable || logical.submissions == 1;
  if (outcome == Outcome::kNotRun && about_running && about_all_runs) {
    if (logical.starts > 0) {
      AddViolation(logical.word + " ran, but its caller received " +
                   std::string(Describe(code).name));
    }
    --logical.outstanding;
  }
  // Where a key is not claimed, as for repeatable work, it is known nowhere.
  if (outcome == Outcome::kNotRun && reads_only && !logical.repeatable &&
      logical.starts > 0) {
    AddViolation(logical.word + " ran, but its reader received " +
                 std::string(Describe(code).name));
  }
  if (code == ResultCode::kKeyReused) {
    --logical.outstanding;
  }
  callers_.erase(found);
}

void Oracle::CheckAnswer(const Caller& caller, const std::string& text) {
  LogicalRequest& logical = logical_[caller.word];
  logical.answered = true;
  if (text != ExpectedText(logical)) {
    AddViolation(caller.word + " got an incomplete or foreign answer: " + text);
  }
  if (logical.starts == 0) {
    AddViolation(caller.word + " was answered without a run");
  }
}

void Oracle::OnReply(const ReplyComplete& reply) {
  const auto code = static_cast<ResultCode>(
      std::atoi(HeaderOf(reply.headers, "Lavenderkeel-Result").c_str()));
  const auto found = callers_.find(reply.caller);
  if (found != callers_.end() && reply.status == 200) {
    const json::value body = json::parse(reply.body);
    CheckAnswer(found->second,
                body.at("choices").at(0).at("text").as_string().c_str());
  }
  if (found != callers_.end() && found->second.streaming) {
    AddViolation(found->second.word +
                 " got a complete reply after a stream's head");
  }
  OnOutcome(reply.caller, code);
}

void Oracle::OnReply(const ReplyHead& reply) {
  const auto found = callers_.find(reply.caller);
  if (found == callers_.end() || found->second.streaming) {
    AddViolation("a second head for caller " + std::to_string(reply.caller));
    return;
  }
  found->second.streaming = true;
}

void Oracle::OnReply(const ReplyChunk& reply) {
  const auto found = callers_.find(reply.caller);
  if (found != callers_.end()) {
    found->second.bytes += reply.bytes;
  }
}

void Oracle::OnReply(const ReplyEnd& reply) {
  const auto found = callers_.find(reply.caller);
  if (found != callers_.end()) {
    CheckAnswer(found->second, TextOfStream(found->second.bytes));
  }
  OnOutcome(reply.caller, ResultCode::kAnswered);
}

void Oracle::OnReply(const ReplyAbort& reply) {
  // The caller's connection breaks, so the request may have run.
  OnOutcome(reply.caller, ResultCode::kServerLost);
}

std::string Oracle::DescribeOpenCallers() const {
  std::string text;
  for (const auto& [id, caller] : callers_) {
    text += " " + caller.word + (caller.reads_only ? "(read)" : "");
  }
  return text;
}

std::string Oracle::Summary() const {
  std::string text;
  for (const auto& [code, count] : outcome_counts_) {
    text +=
        std::string(Describe(code).name) + "=" + std::to_string(count) + " ";
  }
  return text;
}

}  // namespace lavenderkeel::fuzz
