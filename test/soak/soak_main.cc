// Soak test: runs the real programs under generated fault plans and checks the
// system's guarantees.
// Usage: soak FIRST_SEED [RUNS [timed | large | part | repeat | refuse |
// planned]].
// "timed" also checks answer times, for a machine that runs nothing else;
// "large" runs dozens of processes; with "part", a part of some prompts crashes
// servers; with "repeat", rejected requests return to a server that repeats its
// answers; with "refuse", servers run most requests that they refuse; with
// "planned", servers pause and clients are slow beside planned work, which
// excuses no loss.
// Prints one line per seed and, on a violation, the plan, the violated
// guarantees with the ids of the requests, and the directory of the logs.
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lavenderkeel/base/prompt_part.h"
#include "lavenderkeel/io/daemon_main.h"
#include "test/soak/checker.h"
#include "test/soak/client.h"
#include "test/soak/plan.h"
#include "test/soak/system.h"

namespace lavenderkeel::soak {

namespace {

constexpr Duration kRecoveryTime = std::chrono::seconds(12);
/// One in this many requests has the part that crashes servers.
constexpr uint64_t kCulpritPeriod = 20;

/// Test run of one seed, from the start of the processes to the result.
class Run {
 public:
  Run(uint64_t seed, Variant variant, bool timed)
      : plan_(MakePlan(seed, variant)),
        system_(plan_, loop_),
        checker_(timed, plan_.retry_bound) {
    system_.set_on_crash([this] { checker_.OnCrash(clock_.Now()); });
    system_.set_on_arrival([this](const std::string& id) {
      checker_.OnArrival(id, clock_.Now());
    });
    // Stops the loop periodically, so that callers of Run() can test their
    // conditions.
    loop_.Every(std::chrono::milliseconds(4), [this] { loop_.Stop(); });
  }

  bool Execute() {
    if (!system_.Start()) {
      std::cout << "seed " << plan_.seed << ": the system did not start\n";
      system_.KeepLogs();
      return false;
    }
    for (size_t i = 0; i < static_cast<size_t>(plan_.clients); ++i) {
      clients_.push_back(std::make_unique<Client>(
          loop_,
          [this, i] { return system_.EntryAddress(i % system_.entries()); },
          [this](const RequestRecord& record) { OnRequestDone(record); }));
    }
    RunTraffic();
    CheckRecovery();
    checker_.OnRuns(system_.Runs());
    return Report();
  }

 private:
  void OnRequestDone(const RequestRecord& record) {
    if (recovered_) {
      checker_.OnRequestAfterRecovery(record);
    } else if (plan_.is_planned_work) {
      checker_.OnRequestBesidePlannedWork(
          record, system_.AllowsShape(record.shape, record.sent, record.ended));
    } else {
      checker_.OnRequestDone(record);
    }
  }

  /// Draws sizes around the bounds of buffers and limits, and pauses.
  RequestShape DrawShape() {
    if (!plan_.is_planned_work || recovered_) {
      return {};
    }
    const auto pick = [this](int min, int max) {
      return std::uniform_int_distribution<int>(min, max)(random_);
    };
    constexpr size_t kKiB = 1024;
    constexpr size_t kAnswerBytes[] = {0,          16 * kKiB,  200 * kKiB,
                                       256 * kKiB, 257 * kKiB, 272 * kKiB + 1,
                                       600 * kKiB};
    constexpr int kOften = 3;
    constexpr int kMaxHeadPauseMs = 1500;
    constexpr int kMaxReadPauseMs = 1200;
    RequestShape shape;
    shape.answer_bytes =
        kAnswerBytes[pick(0, static_cast<int>(std::size(kAnswerBytes)) - 1)];
    shape.head_bytes = pick(0, kOften) == 0 ? 8 * kKiB : 0;
    shape.body_bytes = pick(0, kOften) == 0 ? 64 * kKiB : 0;
    if (pick(0, kOften) == 0) {
      shape.head_pause = std::chrono::milliseconds(pick(1, kMaxHeadPauseMs));
    }
    if (pick(0, kOften) == 0) {
      shape.read_pause = std::chrono::milliseconds(pick(1, kMaxReadPauseMs));
    }
    return shape;
  }

  void SendFromIdleClients() {
    static constexpr const char* kRoutes[] = {"stream", "once", "lookup",
                                              "once"};
    for (size_t i = 0; i < clients_.size(); ++i) {
      Client& client = *clients_[i];
      client.Tick();
      if (!client.busy() && client.CanSend()) {
        ++sent_;
        checker_.OnRequest(clock_.Now());
        const bool crashes = sent_ % kCulpritPeriod == 0 && AreCulpritsDue();
        client.Send((crashes ? "c" : "r") + std::to_string(sent_),
                    crashes ? kRoutes[0] : kRoutes[sent_ % std::size(kRoutes)],
                    PromptOf(crashes), DrawShape());
      }
    }
  }

  bool AreCulpritsDue() const {
    const Duration since_start = clock_.Now() - traffic_start_;
    return plan_.has_crashing_part && !recovered_ &&
           since_start > plan_.traffic / 8 &&
           since_start < plan_.traffic * 3 / 4;
  }

  /// Returns a prompt with a part that all prompts have, one that some have or
  /// that crashes servers, and one of its own.
  std::string PromptOf(bool crashes) const {
    constexpr uint64_t kDocuments = 10;
    return "a1:100," +
           (crashes ? std::string("dead:100")
                    : PromptPartName(0xd0 + sent_ % kDocuments) + ":100") +
           "," + PromptPartName(0x100000 + sent_) + ":100";
  }

  void RunTraffic() {
    traffic_start_ = clock_.Now();
    size_t next = 0;
    while (clock_.Now() - traffic_start_ < plan_.traffic) {
      while (next < plan_.steps.size() &&
             plan_.steps[next].at <= clock_.Now() - traffic_start_) {
        system_.Inject(plan_.steps[next++]);
      }
      system_.Tick();
      SendFromIdleClients();
      loop_.Run();
    }
  }

  bool AnyBusy() const {
    for (const auto& client : clients_) {
      if (client->busy()) {
        return true;
      }
    }
    return false;
  }

  /// Ends all faults, waits for the requests under way, and checks that new
  /// requests are served.
  void CheckRecovery() {
    system_.Heal();
    const TimePoint healed = clock_.Now();
    while (AnyBusy() || !system_.healed() ||
           clock_.Now() - healed < kRecoveryTime / 4) {
      system_.Tick();
      for (const auto& client : clients_) {
        client->Tick();
      }
      loop_.Run();
    }
    recovered_ = true;
    constexpr int kRounds = 3;
    for (int round = 0; round < kRounds; ++round) {
      SendFromIdleClients();
      while (AnyBusy()) {
        system_.Tick();
        for (const auto& client : clients_) {
          client->Tick();
        }
        loop_.Run();
      }
    }
  }

  bool Report() {
    constexpr size_t kKiBPerMiB = 1024;
    const size_t peak_kib = system_.PeakKiBBesideCrowds();
    if (peak_kib > System::kEntryMemoryMiB * kKiBPerMiB) {
      checker_.OnViolation("an entry beside a crowd used " +
                           std::to_string(peak_kib) + " KiB");
    }
    const bool holds = checker_.violations().empty();
    std::cout << "seed " << plan_.seed << ": " << (holds ? "holds" : "BROKEN")
              << ", " << plan_.entries << " entries, " << plan_.servers
              << " servers, " << plan_.steps.size() << " faults, " << sent_
              << " requests, " << checker_.served() << " served, "
              << checker_.refused() << " refused, " << checker_.crashes()
              << " crashes, " << checker_.lost() << " lost, "
              << checker_.retries() << " sent again, at most "
              << checker_.WorstRetryWindow() << ", " << peak_kib
              << " KiB beside crowds" << std::endl;
    if (holds) {
      return true;
    }
    system_.KeepLogs();
    for (const Step& step : plan_.steps) {
      std::cout << "  " << Describe(step) << "\n";
    }
    for (const std::string& violation : checker_.violations()) {
      std::cout << "  broken: " << violation << "\n";
    }
    std::cout << "  logs: " << system_.directory() << std::endl;
    return false;
  }

  Plan plan_;
  SystemClock clock_;
  EventLoop loop_;
  System system_;
  Checker checker_;
  std::vector<std::unique_ptr<Client>> clients_;
  TimePoint traffic_start_;
  uint64_t sent_ = 0;
  std::minstd_rand random_{
      static_cast<std::minstd_rand::result_type>(plan_.seed + 1)};
  bool recovered_ = false;
};

int Main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr
        << "usage: soak FIRST_SEED [RUNS [timed | large | part | repeat | "
           "refuse | planned]]\n";
    return kBadUseStatus;
  }
  PrepareProcess();
  const uint64_t first = std::strtoull(argv[1], nullptr, 10);
  const uint64_t runs = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  constexpr int kVariantArgument = 3;
  const std::string name =
      argc > kVariantArgument ? argv[kVariantArgument] : "";
  const Variant variant = name == "large"     ? Variant::kLarge
                          : name == "part"    ? Variant::kCrashingPart
                          : name == "repeat"  ? Variant::kRepeatedRejections
                          : name == "refuse"  ? Variant::kFalseRefusals
                          : name == "planned" ? Variant::kPlannedWork
                                              : Variant::kUsual;
  uint64_t failed = 0;
  for (uint64_t seed = first; seed < first + runs; ++seed) {
    failed += Run(seed, variant, name == "timed").Execute() ? 0 : 1;
  }
  std::cout << runs - failed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace

}  // namespace lavenderkeel::soak

int main(int argc, char** argv) {
  return lavenderkeel::soak::Main(argc, argv);
}
