// Executes steps in a simulation and checks its final state.
#include <cstdlib>
#include <iostream>
#include <optional>

#include "test/fuzz/simulation.h"
#include "test/fuzz/step.h"

namespace lavenderkeel::fuzz {

namespace {

struct SentRequest {
  std::string key;
  std::string word;
  bool repeatable = false;
  uint32_t tokens = 0;
};

class Driver {
 public:
  explicit Driver(uint64_t seed)
      : simulation_({.entries = 2 + seed % 3,
                     .agents = 1 + seed / 3 % 3,
                     .seed = seed,
                     .log = MakeLogSink()}) {}

  void Execute(const Step& step) {
    const size_t process = step.target % simulation_.processes();
    const size_t other = step.argument % simulation_.processes();
    const size_t entry = step.target % simulation_.entries();
    switch (step.kind) {
      case Step::kSubmit:
      case Step::kSubmitAgain:
        Submit(entry, step);
        break;
      case Step::kSubmitEverywhere:
        SubmitEverywhere(entry, step);
        break;
      case Step::kRetry:
        WithSentRequest(step.argument, [&](const SentRequest& sent) {
          simulation_.Submit(entry, sent.key, sent.word, sent.repeatable,
                             sent.tokens);
        });
        break;
      case Step::kRefuseUnread:
        WithSentRequest(step.argument, [&](const SentRequest& sent) {
          simulation_.RefuseUnread(entry, sent.key, sent.word, sent.repeatable,
                                   sent.tokens);
        });
        break;
      case Step::kRead:
        WithSentRequest(step.argument, [&](const SentRequest& sent) {
          simulation_.Read(entry, sent.key, sent.word);
        });
        break;
      case Step::kDelete:
        WithSentRequest(step.argument, [&](const SentRequest& sent) {
          simulation_.Delete(entry, sent.key);
        });
        break;
      case Step::kKill:
        simulation_.Kill(process, /*silently=*/false);
        break;
      case Step::kKillSilently:
        simulation_.Kill(process, /*silently=*/true);
        break;
      case Step::kRestart:
        if (!simulation_.alive(process)) {
          simulation_.Restart(process);
        }
        break;
      case Step::kFreeze:
        simulation_.Freeze(process,
                           std::chrono::milliseconds(40 * step.argument));
        break;
      case Step::kLeave:
        simulation_.Leave(process);
        break;
      case Step::kSilence:
        simulation_.StallLinks(process, other);
        break;
      case Step::kPartition:
        if (process != other) {
          simulation_.Partition(process, other);
        }
        break;
      case Step::kHeal:
        simulation_.Heal();
        break;
      case Step::kPlatformOutage:
        simulation_.platform().set_mode(fakes::PlatformCore::Mode::kOutage);
        break;
      case Step::kPlatformLosesAnswers:
        simulation_.platform().set_mode(
            fakes::PlatformCore::Mode::kLoseWriteAnswers);
        break;
      case Step::kPlatformSlow:
        simulation_.set_platform_delay(
            std::chrono::milliseconds(10 * step.argument));
        break;
      case Step::kApply:
        RecordChange(simulation_.Apply(
            entry, "marker" + std::to_string(changes_.size())));
        break;
      case Step::kPreset:
        RecordChange(simulation_.UsePreset(
            entry, step.argument % 2 == 0 ? "peak" : "ordinary"));
        break;
      case Step::kBurst:
        for (int i = 0; i < 15; ++i) {
          Submit(entry, step);
        }
        break;
      case Step::kCrash:
        simulation_.Kill(process, /*silently=*/step.argument % 2 == 0);
        simulation_.Restart(process);
        break;
      case Step::kListUnreadable:
        simulation_.ListUnreadable(step.argument);
        break;
      default:
        DisturbEngine(step);
        break;
    }
    simulation_.RunFor(std::chrono::milliseconds(step.wait_ms));
  }

  /// Ends all faults and checks that every caller then gets an outcome and that
  /// all entries agree on the configuration.
  void Finish() {
    simulation_.Heal();
    for (size_t i = 0; i < simulation_.processes() - simulation_.entries();
         ++i) {
      simulation_.engine(i).set_speed(1);
    }
    const bool all_ended = simulation_.RunUntil(
        [this] {
          RestartEndedProcesses();
          return simulation_.oracle().open_callers() == 0;
        },
        std::chrono::seconds(240));
    if (!all_ended) {
      simulation_.oracle().AddViolation(
          "callers without an outcome:" +
          simulation_.oracle().DescribeOpenCallers());
    }
    simulation_.RunUntil(
        [this] {
          RestartEndedProcesses();
          return EntriesAgree();
        },
        std::chrono::seconds(120));
    if (!EntriesAgree()) {
      simulation_.oracle().AddViolation(
          "entries differ from the head at the platform");
    }
    CheckChanges();
  }

  Simulation& simulation() { return simulation_; }

 private:
  void DisturbEngine(const Step& step) {
    const size_t agent =
        step.target % (simulation_.processes() - simulation_.entries());
    switch (step.kind) {
      case Step::kBreakStreams:
        simulation_.BreakServerStreams(agent, /*silently=*/false);
        break;
      case Step::kSilenceStreams:
        simulation_.BreakServerStreams(agent, /*silently=*/true);
        break;
      case Step::kSlowEngine:
        simulation_.engine(agent).set_speed(step.argument % 2 == 0 ? 0.1 : 1);
        break;
      case Step::kCrashEngine:
        simulation_.CrashEngine(agent,
                                std::chrono::milliseconds(20 * step.argument));
        break;
      case Step::kTurnAway:
        simulation_.TurnAway(
            agent, std::chrono::milliseconds(60 * step.argument),
            step.argument % 3 == 0 ? std::optional<std::string>("0")
                                   : std::nullopt);
        break;
      case Step::kTurnAwayFalsely:
        simulation_.TurnAwayFalsely(
            agent, std::chrono::milliseconds(60 * step.argument));
        break;
      case Step::kGarbleStreams:
        simulation_.GarbleStreams(
            agent, std::chrono::milliseconds(10 * step.argument));
        break;
      default:
        break;
    }
  }

  void Submit(size_t entry, const Step& step) {
    const bool repeatable = step.argument % 3 == 0;
    sent_.push_back({.key = simulation_.NewKey(),
                     .word = "r" + std::to_string(sent_.size()) + "x",
                     .repeatable = repeatable,
                     .tokens = 2U + step.argument % 40});
    const SentRequest& sent = sent_.back();
    const bool has_deadline = step.argument % 4 == 1;
    simulation_.Submit(entry, sent.key, sent.word, repeatable, sent.tokens,
                       has_deadline
                           ? std::optional<int64_t>(step.argument * 20 + 100)
                           : std::nullopt);
  }

  /// Submits one key to all entries at once.
  void SubmitEverywhere(size_t first, const Step& step) {
    Submit(first, step);
    const SentRequest sent = sent_.back();
    for (size_t i = 1; i < simulation_.entries(); ++i) {
      simulation_.Submit((first + i) % simulation_.entries(), sent.key,
                         sent.word, sent.repeatable, sent.tokens);
    }
  }

  /// Returns a sink that writes to standard error, or none without FUZZ_LOG.
  static std::function<void(const std::string&)> MakeLogSink() {
    if (std::getenv("FUZZ_LOG") == nullptr) {
      return nullptr;
    }
    return [](const std::string& line) { std::cerr << line << "\n"; };
  }

  template <typename Use>
  void WithSentRequest(size_t which, const Use& use) {
    if (!sent_.empty()) {
      const SentRequest sent = sent_[which % sent_.size()];
      use(sent);
    }
  }

  void RestartEndedProcesses() {
    for (size_t i = 0; i < simulation_.processes(); ++i) {
      if (!simulation_.alive(i)) {
        simulation_.Restart(i);
      }
    }
  }

  void RecordChange(CallerId caller) { changes_.push_back(caller); }

  std::optional<ConfigHead> ReadHead() {
    const auto& objects = simulation_.platform().objects();
    const auto found = objects.find(kHeadObject);
    if (found == objects.end()) {
      return std::nullopt;
    }
    return Catch([&] { return ConfigHead::FromJson(found->second.body); })
        .value;
  }

  bool EntriesAgree() {
    const std::optional<ConfigHead> head = ReadHead();
    for (size_t i = 0; i < simulation_.entries(); ++i) {
      EntryNode* entry = simulation_.entry(i);
      if (!simulation_.alive(i)) {
        continue;
      }
      if (!entry->config().current() ||
          entry->config().current()->head() != *head) {
        return false;
      }
    }
    return true;
  }

  void CheckChanges() {
    // Each accepted change has its own version, and each version belongs to a
    // change that was not refused.
    size_t accepted = 0;
    size_t in_doubt = 0;
    for (const CallerId caller : changes_) {
      const auto reply = simulation_.operator_replies().find(caller);
      const int status =
          reply == simulation_.operator_replies().end() ? -1 : reply->second;
      accepted += status == 200;
      in_doubt += status == 0 || status == 504;
    }
    const uint64_t changes = ReadHead()->version - 1;
    if (changes < accepted || changes > accepted + in_doubt) {
      simulation_.oracle().AddViolation(
          "head has " + std::to_string(changes) + " changes, accepted " +
          std::to_string(accepted) + ", in doubt " + std::to_string(in_doubt));
    }
  }

  Simulation simulation_;
  std::vector<SentRequest> sent_;
  std::vector<CallerId> changes_;
};

}  // namespace

std::string RunSteps(uint64_t seed, const std::vector<Step>& steps) {
  Driver driver(seed);
  for (const Step& step : steps) {
    driver.Execute(step);
    if (!driver.simulation().oracle().violations().empty()) {
      break;
    }
  }
  if (driver.simulation().oracle().violations().empty()) {
    driver.Finish();
  }
  if (std::getenv("FUZZ_VERBOSE") != nullptr) {
    std::cerr << driver.simulation().oracle().Summary() << "\n";
  }
  const auto& violations = driver.simulation().oracle().violations();
  return violations.empty() ? "" : violations.front();
}

}  // namespace lavenderkeel::fuzz
