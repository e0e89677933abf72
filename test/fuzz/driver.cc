// Carries steps out on a world and checks what is left to check at the end.
#include <cstdlib>
#include <iostream>
#include <optional>

#include "test/fuzz/step.h"
#include "test/fuzz/world.h"

namespace lavenderkeel::fuzz {

namespace {

struct Sent {
  std::string key;
  std::string word;
  bool repeatable = false;
  uint32_t tokens = 0;
};

class Driver {
 public:
  explicit Driver(uint64_t seed)
      : world_({.entries = 2 + seed % 3,
                .agents = 1 + seed / 3 % 3,
                .seed = seed,
                .log = Log()}) {}

  void Do(const Step& step) {
    const size_t process = step.a % world_.processes();
    const size_t other = step.b % world_.processes();
    const size_t entry = step.a % world_.entries();
    const size_t agent = step.a % (world_.processes() - world_.entries());
    switch (step.kind) {
      case Step::kSubmit:
      case Step::kSubmitAgain:
        Submit(entry, step);
        break;
      case Step::kSubmitEverywhere:
        SubmitEverywhere(entry, step);
        break;
      case Step::kRetry:
        WithSent(step.b, [&](const Sent& sent) {
          world_.Submit(entry, sent.key, sent.word, sent.repeatable,
                        sent.tokens);
        });
        break;
      case Step::kRead:
        WithSent(step.b, [&](const Sent& sent) {
          world_.Read(entry, sent.key, sent.word);
        });
        break;
      case Step::kDelete:
        WithSent(step.b,
                 [&](const Sent& sent) { world_.Delete(entry, sent.key); });
        break;
      case Step::kKill:
        world_.Kill(process, /*silently=*/false);
        break;
      case Step::kKillSilently:
        world_.Kill(process, /*silently=*/true);
        break;
      case Step::kRestart:
        if (!world_.alive(process)) {
          world_.Restart(process);
        }
        break;
      case Step::kFreeze:
        world_.Freeze(process, std::chrono::milliseconds(40 * step.b));
        break;
      case Step::kLeave:
        world_.Leave(process);
        break;
      case Step::kSilence:
        world_.SilenceLinks(process, other);
        break;
      case Step::kPartition:
        if (process != other) {
          world_.Partition(process, other);
        }
        break;
      case Step::kHeal:
        world_.Heal();
        break;
      case Step::kPlatformOutage:
        world_.platform().set_mode(fakes::PlatformCore::Mode::kOutage);
        break;
      case Step::kPlatformLoses:
        world_.platform().set_mode(
            fakes::PlatformCore::Mode::kLoseWriteAnswers);
        break;
      case Step::kPlatformSlow:
        world_.set_platform_delay(std::chrono::milliseconds(10 * step.b));
        break;
      case Step::kApply:
        Change(world_.Apply(entry, "marker" + std::to_string(changes_.size())));
        break;
      case Step::kPreset:
        Change(world_.UsePreset(entry, step.b % 2 == 0 ? "peak" : "ordinary"));
        break;
      case Step::kBreakStreams:
        world_.BreakServerStreams(agent, /*silently=*/false);
        break;
      case Step::kSilenceStreams:
        world_.BreakServerStreams(agent, /*silently=*/true);
        break;
      case Step::kSlowEngine:
        world_.engine(agent).set_speed(step.b % 2 == 0 ? 0.1 : 1);
        break;
      case Step::kBurst:
        for (int i = 0; i < 15; ++i) {
          Submit(entry, step);
        }
        break;
      case Step::kCrash:
        world_.Kill(process, /*silently=*/step.b % 2 == 0);
        world_.Restart(process);
        break;
      case Step::kCrashEngine:
        world_.CrashEngine(agent, std::chrono::milliseconds(20 * step.b));
        break;
      default:
        break;
    }
    world_.RunFor(std::chrono::milliseconds(step.wait_ms));
  }

  /// All faults end; then every caller has its outcome and all entries agree.
  void Finish() {
    world_.Heal();
    for (size_t i = 0; i < world_.processes() - world_.entries(); ++i) {
      world_.engine(i).set_speed(1);
    }
    const bool quiet = world_.RunUntil(
        [this] {
          RestartDead();
          return world_.oracle().open() == 0;
        },
        std::chrono::seconds(240));
    if (!quiet) {
      world_.oracle().Violate("callers without an outcome:" +
                              world_.oracle().DescribeOpen());
    }
    world_.RunUntil(
        [this] {
          RestartDead();
          return Agreed();
        },
        std::chrono::seconds(120));
    if (!Agreed()) {
      world_.oracle().Violate("entries differ from the head at the platform");
    }
    CheckChanges();
  }

  World& world() { return world_; }

 private:
  void Submit(size_t entry, const Step& step) {
    const bool repeatable = step.b % 3 == 0;
    sent_.push_back({.key = world_.NewKey(),
                     .word = "r" + std::to_string(sent_.size()) + "x",
                     .repeatable = repeatable,
                     .tokens = 2U + step.b % 40});
    const Sent& sent = sent_.back();
    const bool has_deadline = step.b % 4 == 1;
    world_.Submit(entry, sent.key, sent.word, repeatable, sent.tokens,
                  has_deadline ? std::optional<int64_t>(step.b * 20 + 100)
                               : std::nullopt);
  }

  /// One caller sends its key to all entries at once.
  void SubmitEverywhere(size_t first, const Step& step) {
    Submit(first, step);
    const Sent sent = sent_.back();
    for (size_t i = 1; i < world_.entries(); ++i) {
      world_.Submit((first + i) % world_.entries(), sent.key, sent.word,
                    sent.repeatable, sent.tokens);
    }
  }

  /// With FUZZ_LOG set, what the components log goes to standard error.
  static std::function<void(const std::string&)> Log() {
    if (std::getenv("FUZZ_LOG") == nullptr) {
      return nullptr;
    }
    return [](const std::string& line) { std::cerr << line << "\n"; };
  }

  template <typename Use>
  void WithSent(size_t which, const Use& use) {
    if (!sent_.empty()) {
      const Sent sent = sent_[which % sent_.size()];
      use(sent);
    }
  }

  void RestartDead() {
    for (size_t i = 0; i < world_.processes(); ++i) {
      if (!world_.alive(i)) {
        world_.Restart(i);
      }
    }
  }

  void Change(CallerId caller) { changes_.push_back(caller); }

  std::optional<ConfigHead> Head() {
    const auto& objects = world_.platform().objects();
    const auto found = objects.find(kHeadObject);
    if (found == objects.end()) {
      return std::nullopt;
    }
    return Catch([&] { return ConfigHead::FromJson(found->second.body); })
        .value;
  }

  bool Agreed() {
    const std::optional<ConfigHead> head = Head();
    for (size_t i = 0; i < world_.entries(); ++i) {
      EntryNode* entry = world_.entry(i);
      if (!world_.alive(i)) {
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
    // Each accepted change took a version of its own, and each version is
    // somebody's change that was not refused.
    size_t accepted = 0;
    size_t in_doubt = 0;
    for (const CallerId caller : changes_) {
      const auto reply = world_.operator_replies().find(caller);
      const int status =
          reply == world_.operator_replies().end() ? -1 : reply->second;
      accepted += status == 200;
      in_doubt += status == 0 || status == 504;
    }
    const uint64_t changes = Head()->version - 1;
    if (changes < accepted || changes > accepted + in_doubt) {
      world_.oracle().Violate("head has " + std::to_string(changes) +
                              " changes, accepted " + std::to_string(accepted) +
                              ", in doubt " + std::to_string(in_doubt));
    }
  }

  World world_;
  std::vector<Sent> sent_;
  std::vector<CallerId> changes_;
};

}  // namespace

std::string Play(uint64_t seed, const std::vector<Step>& steps) {
  Driver driver(seed);
  for (const Step& step : steps) {
    driver.Do(step);
    if (!driver.world().oracle().violations().empty()) {
      break;
    }
  }
  if (driver.world().oracle().violations().empty()) {
    driver.Finish();
  }
  if (std::getenv("FUZZ_VERBOSE") != nullptr) {
    std::cerr << driver.world().oracle().Summary() << "\n";
  }
  const auto& violations = driver.world().oracle().violations();
  return violations.empty() ? "" : violations.front();
}

}  // namespace lavenderkeel::fuzz
