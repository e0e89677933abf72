#include "test/soak/plan.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <random>

#include "test/fakes/odd_objects.h"

namespace lavenderkeel::soak {

namespace {

constexpr std::array<const char*, kFaultKinds> kFaultNames = {
    "kill entry",
    "stop entry",
    "pause entry",
    "kill all entries",
    "kill server",
    "pause server",
    "drain server",
    "reset server links",
    "silence server links",
    "delay server links",
    "cut server one way",
    "pause store",
    "reset store links",
    "silence store links",
    "cut store one way",
    "reset peer links",
    "silence peer links",
    "cut peer one way",
    "change config",
    "server rejects",
    "server errs",
    "server loses answers",
    "server repeats answers",
    "server never ends",
    "store lists an odd object",
    "server refuses what it ran",
    "server contradicts itself",
    "cut server answers",
    "cut store answers",
    "cut peer messages",
    "server sends interim responses",
    "clients crowd",
    "server pauses",
    "change limits",
    "reload entry"};

constexpr int kFaultsEndMs = 8000;
constexpr int kMaxFaultMs = 2500;

/// Adds servers that fail a part of their requests, and further ends of
/// entries meanwhile: those are when retries are most frequent.
void AddFailingServers(Plan& plan) {
  std::mt19937_64 random(plan.seed + 1);
  const auto pick = [&random](int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random);
  };
  const auto failure = [&pick] {
    return static_cast<Fault>(static_cast<int>(Fault::kServerRejects) +
                              pick(0, 2));
  };
  const int begin = pick(0, kFaultsEndMs / 2);
  const int end = pick(begin, kFaultsEndMs);
  for (int server = 0; server < plan.servers; ++server) {
    plan.steps.push_back({.at = std::chrono::milliseconds(begin),
                          .fault = failure(),
                          .target = server,
                          .duration = std::chrono::milliseconds(end - begin)});
  }
  constexpr Fault kEnds[] = {Fault::kKillEntry, Fault::kStopEntry,
                             Fault::kPauseEntry, Fault::kKillAllEntries};
  for (int ends = pick(0, 4); ends > 0; --ends) {
    plan.steps.push_back(
        {.at = std::chrono::milliseconds(pick(begin, end)),
         .fault = kEnds[pick(0, static_cast<int>(std::size(kEnds)) - 1)],
         .target = pick(0, plan.entries - 1),
         .duration = std::chrono::milliseconds(pick(200, kMaxFaultMs))});
  }
}

/// Adds servers that send answers a second time or bytes without end, and
/// objects that can't be read, with steps of their own, so that the other steps
/// of a seed don't depend on them.
void AddFaultyBytes(Plan& plan) {
  std::mt19937_64 random(plan.seed + 2);
  const auto pick = [&random](int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random);
  };
  for (int server = 0; server < plan.servers; ++server) {
    if (pick(0, 1) == 1) {
      plan.steps.push_back(
          {.at = std::chrono::milliseconds(pick(0, kFaultsEndMs / 2)),
           .fault = Fault::kServerRepeatsAnswers,
           .target = server,
           .duration =
               std::chrono::milliseconds(pick(1000, kFaultsEndMs / 2))});
    }
  }
  plan.steps.push_back(
      {.at = std::chrono::milliseconds(pick(0, kFaultsEndMs / 2)),
       .fault = Fault::kServerNeverEnds,
       .target = pick(0, plan.servers - 1),
       .duration = std::chrono::milliseconds(pick(500, kMaxFaultMs))});
  for (int objects = pick(0, 4); objects > 0; --objects) {
    plan.steps.push_back(
        {.at = std::chrono::milliseconds(pick(0, kFaultsEndMs / 2)),
         .fault = Fault::kStoreListsOddObject,
         .target = objects,
         .duration = std::chrono::milliseconds(pick(1000, kFaultsEndMs / 2))});
  }
}

/// Adds servers that refuse what they ran, answers and messages that end early,
/// interim responses, and objects with values that can't be used.
void AddFalseAnswers(Plan& plan) {
  std::mt19937_64 random(plan.seed + 4);
  const auto pick = [&random](int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random);
  };
  const auto add = [&](Fault fault, int target) {
    plan.steps.push_back(
        {.at = std::chrono::milliseconds(pick(0, kFaultsEndMs / 2)),
         .fault = fault,
         .target = target,
         .duration = std::chrono::milliseconds(pick(500, kFaultsEndMs / 2))});
  };
  for (int server = 0; server < plan.servers; ++server) {
    if (const int fault = pick(0, 5); fault < 4) {
      constexpr Fault kFaults[] = {
          Fault::kServerRefuses, Fault::kServerContradicts,
          Fault::kCutServerAnswers, Fault::kServerSendsInterim};
      add(kFaults[fault], server);
    }
  }
  for (int entry = 0; entry < plan.entries; ++entry) {
    if (pick(0, 1) == 1) {
      add(pick(0, 1) == 1 ? Fault::kCutStoreAnswers : Fault::kCutPeerMessages,
          entry);
    }
  }
  for (int objects = pick(0, 4); objects > 0; --objects) {
    add(Fault::kStoreListsOddObject,
        pick(0, static_cast<int>(fakes::OddObjects().size()) - 1));
  }
}

/// Adds crowds of clients at entries, some of them at the same time.
void AddCrowds(Plan& plan) {
  constexpr int kMaxCrowds = 4;
  constexpr int kMaxTarget = 1000;
  std::mt19937_64 random(plan.seed + 5);
  const auto pick = [&random](int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random);
  };
  for (int crowds = pick(1, kMaxCrowds); crowds > 0; --crowds) {
    plan.steps.push_back(
        {.at = std::chrono::milliseconds(pick(0, kFaultsEndMs / 2)),
         .fault = Fault::kClientsCrowd,
         .target = pick(0, kMaxTarget),
         .duration = std::chrono::milliseconds(pick(500, kFaultsEndMs / 2))});
  }
}

void MakeServersRefuse(Plan& plan) {
  for (int server = 0; server < plan.servers; ++server) {
    plan.steps.push_back({.fault = server % 2 == 0 ? Fault::kServerRefuses
                                                   : Fault::kServerContradicts,
                          .target = server,
                          .duration = std::chrono::milliseconds(kFaultsEndMs)});
  }
}

/// Leaves a single server for a time, which rejects requests and repeats its
/// answers: a rejected request returns to it.
void AddRepeatedRejections(Plan& plan) {
  plan.retry_bound.ratio = 1;
  plan.retry_bound.extra = 200;
  std::mt19937_64 random(plan.seed + 3);
  const auto pick = [&random](int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random);
  };
  const Duration at = std::chrono::milliseconds(pick(0, kFaultsEndMs / 2));
  const Duration duration =
      std::chrono::milliseconds(pick(1000, kFaultsEndMs / 2));
  const int remaining = pick(0, plan.servers - 1);
  for (int server = 0; server < plan.servers; ++server) {
    if (server != remaining) {
      plan.steps.push_back({.at = at,
                            .fault = Fault::kDrainServer,
                            .target = server,
                            .duration = duration});
    }
  }
  for (const Fault fault :
       {Fault::kServerRejects, Fault::kServerRepeatsAnswers}) {
    plan.steps.push_back(
        {.at = at, .fault = fault, .target = remaining, .duration = duration});
  }
}

void MakePartCrash(Plan& plan) {
  constexpr int kTimesServers = 2;
  plan.servers *= kTimesServers;
  plan.has_crashing_part = true;
  constexpr Fault kKinds[] = {
      Fault::kKillEntry,       Fault::kStopEntry,      Fault::kKillAllEntries,
      Fault::kKillServer,      Fault::kDrainServer,    Fault::kResetServerLinks,
      Fault::kResetStoreLinks, Fault::kResetPeerLinks, Fault::kChangeConfig};
  for (Step& step : plan.steps) {
    step.fault = kKinds[static_cast<size_t>(step.fault) % std::size(kKinds)];
  }
}

void DoPlannedWork(Plan& plan) {
  plan.is_planned_work = true;
  plan.steps.clear();
  std::mt19937_64 random(plan.seed + 6);
  const auto pick = [&random](int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random);
  };
  const auto add = [&](Fault fault, int at, int target, int ms) {
    plan.steps.push_back({.at = std::chrono::milliseconds(at),
                          .fault = fault,
                          .target = target,
                          .duration = std::chrono::milliseconds(ms)});
  };
  for (int server = 0; server < plan.servers; ++server) {
    add(Fault::kServerPauses, pick(0, kFaultsEndMs / 2), server,
        pick(1000, kFaultsEndMs));
  }
  constexpr int kChanges = 12;
  constexpr int kMaxTarget = 1000;
  constexpr Fault kKinds[] = {Fault::kStopEntry, Fault::kReloadEntry,
                              Fault::kChangeLimits, Fault::kChangeLimits,
                              Fault::kChangeConfig};
  for (int change = 0; change < kChanges; ++change) {
    add(kKinds[pick(0, static_cast<int>(std::size(kKinds)) - 1)],
        pick(300, kFaultsEndMs), pick(0, kMaxTarget), 0);
  }
}

}  // namespace

Plan MakePlan(uint64_t seed, Variant variant) {
  std::mt19937_64 random(seed);
  const auto pick = [&random](int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random);
  };
  Plan plan{.seed = seed, .entries = pick(2, 4), .servers = pick(3, 6)};
  if (variant == Variant::kLarge) {
    constexpr int kTimesEntries = 4;
    constexpr int kTimesServers = 6;
    plan.entries *= kTimesEntries;
    plan.servers *= kTimesServers;
    plan.clients *= kTimesEntries;
  }
  const int count = pick(4, 14);
  for (int i = 0; i < count; ++i) {
    const int at = pick(300, kFaultsEndMs - kMaxFaultMs);
    plan.steps.push_back(
        {.at = std::chrono::milliseconds(at),
         .fault = static_cast<Fault>(
             pick(0, static_cast<int>(Fault::kChangeConfig))),
         .target = pick(0, 7),
         .duration = std::chrono::milliseconds(pick(200, kMaxFaultMs))});
  }
  if (variant == Variant::kCrashingPart) {
    MakePartCrash(plan);
  } else {
    AddFailingServers(plan);
    AddFaultyBytes(plan);
    AddFalseAnswers(plan);
    AddCrowds(plan);
  }
  if (variant == Variant::kRepeatedRejections) {
    AddRepeatedRejections(plan);
  }
  if (variant == Variant::kFalseRefusals) {
    MakeServersRefuse(plan);
  }
  if (variant == Variant::kPlannedWork) {
    DoPlannedWork(plan);
  }
  std::ranges::stable_sort(plan.steps, {}, &Step::at);
  return plan;
}

std::string Describe(const Step& step) {
  return std::to_string(ToMilliseconds(step.at)) +
         " ms: " + kFaultNames.at(static_cast<size_t>(step.fault)) + " " +
         std::to_string(step.target) + " for " +
         std::to_string(ToMilliseconds(step.duration)) + " ms";
}

}  // namespace lavenderkeel::soak
