// Lookups that all differ, and that crash the engine that runs them by a
// paragraph that they have in common.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>

#include "test/fuzz/simulation.h"

namespace lavenderkeel {

namespace {

using fuzz::Simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kIntroduction[] = "\n\nAnswer briefly.";
constexpr char kCrashingText[] = "a document that no engine survives";
constexpr Duration kPropagationTime = seconds(3);
constexpr size_t kMaxLateCrashes = 3;

class ParagraphPlay {
 public:
  explicit ParagraphPlay(Simulation::Options options) : simulation_(options) {
    simulation_.SetCrashingText(kCrashingText);
  }

  void Run(Duration duration,
           Duration crashing_every,
           const std::function<void(Duration since_start)>& on_step) {
    constexpr Duration kStep = milliseconds(10);
    constexpr Duration kSoundEvery = milliseconds(80);
    for (Duration now{}; now < duration; now += kStep) {
      on_step(now);
      if (now % crashing_every == Duration::zero()) {
        Submit("c", std::string("\n\n") + kCrashingText + kIntroduction);
        last_culprit_ = last_key_;
      }
      if (now % kSoundEvery == Duration::zero()) {
        Submit("s", kIntroduction);
        ++sound_;
      }
      simulation_.RunFor(kStep);
      const std::string decisions = Explain(last_culprit_);
      explanation_ = decisions.empty() ? explanation_ : decisions;
    }
    simulation_.RunUntil(
        [this] { return simulation_.oracle().open_callers() == 0; },
        seconds(60));
  }
  double AnsweredShare() {
    return static_cast<double>(
               simulation_.oracle().Count(ResultCode::kAnswered)) /
           static_cast<double>(sound_);
  }
  size_t CountLateCrashes() const {
    const std::vector<TimePoint>& crashes = simulation_.engine_crash_times();
    constexpr size_t kFifth = 4;
    return static_cast<size_t>(
        std::ranges::count_if(crashes, [&crashes](TimePoint at) {
          return crashes.size() > kFifth &&
                 at > crashes[kFifth] + kPropagationTime;
        }));
  }
  /// The decisions about the last request that has the paragraph.
  const std::string& explanation() const { return explanation_; }
  Simulation& simulation() { return simulation_; }

 private:
  std::string Explain(const std::string& key) {
    std::string text;
    for (size_t entry = 0; entry < simulation_.entries(); ++entry) {
      const EntryRequest* const request =
          simulation_.alive(entry)
              ? simulation_.entry(entry)->requests().Explain(key)
              : nullptr;
      if (request != nullptr) {
        for (const std::string& decision : request->history) {
          text += decision + "\n";
        }
      }
    }
    return text;
  }
  void Submit(const std::string& kind, const std::string& text) {
    do {
      next_entry_ = (next_entry_ + 1) % simulation_.entries();
    } while (!simulation_.alive(next_entry_));
    simulation_.SetPromptText(text);
    last_key_ = simulation_.NewKey();
    simulation_.Submit(next_entry_, last_key_,
                       kind + std::to_string(++submitted_) + "x",
                       /*repeatable=*/true, /*tokens=*/5);
  }

  Simulation simulation_;
  std::string last_key_;
  std::string last_culprit_;
  std::string explanation_;
  size_t next_entry_ = 0;
  size_t submitted_ = 0;
  size_t sound_ = 0;
};

}  // namespace

// Guards against a crashing paragraph that ends one engine after the other,
// since no request is sent twice.
BOOST_AUTO_TEST_CASE(CrashingParagraphIsStoppedByAllEntries) {
  ParagraphPlay play({.entries = 3, .agents = 8, .seed = 5});
  play.Run(seconds(20), milliseconds(500), [](Duration) {});
  BOOST_TEST_MESSAGE(play.simulation().engine_crash_times().size()
                     << " crashes, answered " << play.AnsweredShare());
  BOOST_TEST(play.CountLateCrashes() <= kMaxLateCrashes);
  BOOST_TEST(play.AnsweredShare() >= 0.95);
  BOOST_TEST(play.simulation().oracle().open_callers() == 0U);
}

// Guards against evidence that a killed entry takes along.
BOOST_AUTO_TEST_CASE(CrashingParagraphIsStoppedThoughEntriesRestart) {
  ParagraphPlay play({.entries = 3, .agents = 8, .seed = 7});
  Simulation& simulation = play.simulation();
  play.Run(seconds(40), milliseconds(500), [&simulation](Duration now) {
    for (size_t entry = 0; entry < simulation.entries(); ++entry) {
      const Duration due = seconds(8) * (static_cast<int64_t>(entry) + 1);
      if (now == due) {
        simulation.Kill(entry, /*silently=*/false);
      } else if (now == due + seconds(1)) {
        simulation.Restart(entry);
      }
    }
  });
  BOOST_TEST_MESSAGE(simulation.engine_crash_times().size() << " crashes");
  BOOST_TEST(play.CountLateCrashes() <= kMaxLateCrashes);
}

// Guards against a refusal whose reason `explain` does not tell.
BOOST_AUTO_TEST_CASE(RefusalNamesTheParagraphAndItsLosses) {
  ParagraphPlay play({.entries = 1, .agents = 8, .seed = 5});
  play.Run(seconds(20), milliseconds(500), [](Duration) {});
  const std::string& text = play.explanation();
  BOOST_TEST(text.find("refused: part:") != std::string::npos, text);
  BOOST_TEST(text.find("lost with") != std::string::npos, text);
}

}  // namespace lavenderkeel
