#include "test/forward/part_simulation.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"
#include "platform/header_codec.h"

namespace lavenderkeel {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kTimeLimit = std::chrono::seconds(10);
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
/// Documents that requests of a route share; the first are asked for most.
constexpr int kDocuments = 24;
constexpr int kClientAttempts = 2;

bool IsRefusal(int status) {
  return status == kUnavailable || status == kTooManyRequests;
}

std::string PrefixOf(const std::vector<PromptPartId>& parts) {
  std::string text;
  for (const PromptPartId part : parts) {
    text += (text.empty() ? "" : ",") + PromptPartName(part) + ":100";
  }
  return text;
}

std::vector<PromptPartId> PartsOf(const fakes::SentAttempt& attempt) {
  const RequestHead head = {
      .fields = {{"Request-Id", "r"},
                 {"Prompt-Prefix", attempt.Field("Prompt-Prefix")}}};
  return hybrid::MakeHeaderCodec().read_request(head)->prompt_parts;
}

}  // namespace

PartSimulation::PartSimulation(const Options& options)
    : options_(options),
      random_(options.seed),
      history_(options.culprits.size()),
      started_at_(static_cast<size_t>(options.entries)),
      fleet_({.entries = options.entries,
              .started = options.started,
              .seeds = std::min(3, options.entries),
              .with_server = false,
              .log = options.log,
              .node = options.node}),
      servers_(fleet_,
               {.servers = options.servers,
                .answer_delay = std::chrono::milliseconds(300),
                .crash_delay = options.crash_delay,
                .restart_delay = options.restart_delay,
                .on_arrival = [this](const std::string& id) { OnArrival(id); },
                .is_crashing =
                    [this](const fakes::SentAttempt& attempt) {
                      return CulpritOf(PartsOf(attempt)).has_value();
                    },
                .on_crash = [this](const std::string& id) { OnCrash(id); },
                .cut_streams_midway = true,
                .end_with_connection = options.end_with_connection}) {
  std::ranges::fill(started_at_, fleet_.Now() - std::chrono::hours(1));
  servers_.Advance(std::chrono::seconds(5));
  start_ = fleet_.Now();
}

int PartSimulation::Random(int below) {
  return static_cast<int>(random_() % static_cast<uint64_t>(below));
}

PromptPartId PartSimulation::SharedPart(const std::string& route) const {
  return HashBytes(route) % 0x100 + 0xa000;
}

std::optional<size_t> PartSimulation::CulpritOf(
    const std::vector<PromptPartId>& parts) const {
  for (size_t i = 0; i < options_.culprits.size(); ++i) {
    const bool has_all = std::ranges::all_of(
        options_.culprits[i].parts, [&parts](PromptPartId part) {
          return std::ranges::find(parts, part) != parts.end();
        });
    if (has_all) {
      return i;
    }
  }
  return std::nullopt;
}

void PartSimulation::SendTraffic(Duration duration,
                                 const std::function<void(Duration)>& during) {
  const Duration end = now() + duration;
  while (now() < end) {
    during(now());
    while (now() >= next_due_) {
      next_due_ += options_.request_every;
      SendNext();
    }
    Advance(kStep);
  }
}

void PartSimulation::Advance(Duration duration) {
  for (Duration elapsed{}; elapsed < duration; elapsed += kStep) {
    servers_.Advance(kStep);
    UpdateClients();
  }
}

void PartSimulation::SendNext() {
  const std::string& route =
      options_.routes[static_cast<size_t>(next_) % options_.routes.size()];
  const int next_entry = next_++ % options_.entries;
  const bool is_preferred = preferred_.has_value() && Random(10) != 0;
  const int entry = is_preferred ? *preferred_ : next_entry;
  const bool with_culprits =
      now() >= options_.culprits_from && now() < options_.culprits_until;
  if (with_culprits) {
    for (const Culprit& culprit : options_.culprits) {
      if (culprit.one_in > 0 && culprit.route == route &&
          Random(culprit.one_in) == 0) {
        SendCulprit(entry, culprit);
        return;
      }
    }
  }
  // The square makes the first documents the most frequent.
  const int document = Random(kDocuments) * Random(kDocuments) / kDocuments;
  PromptPartId part =
      SharedPart(route) * 0x100 + static_cast<PromptPartId>(document);
  for (const Culprit& culprit : options_.culprits) {
    if (culprit.companion != 0 && culprit.route == route &&
        Random(static_cast<int>(options_.companion_alone_one_in)) == 0) {
      part = culprit.companion;
    }
    // One of several parts that crash servers only together.
    if (culprit.parts.size() > 1 && culprit.route == route && Random(6) == 0) {
      part = Random(2) == 0 ? *culprit.parts.begin() : *culprit.parts.rbegin();
    }
  }
  SendWithPart(entry, route, part);
}

void PartSimulation::SendWithPart(int entry,
                                  const std::string& route,
                                  PromptPartId part) {
  Add({.route = route,
       .parts = {SharedPart(route), part, ++last_own_part_},
       .entry = entry});
}

void PartSimulation::SendCulprit(int entry, const Culprit& culprit) {
  std::vector<PromptPartId> parts(culprit.parts.begin(), culprit.parts.end());
  parts.insert(culprit.first ? parts.end() : parts.begin(),
               SharedPart(culprit.route));
  if (culprit.companion != 0 && Random(20) != 0) {
    parts.push_back(culprit.companion);
  }
  parts.push_back(++last_own_part_);
  Add({.route = culprit.route, .parts = std::move(parts), .entry = entry});
}

size_t PartSimulation::Add(Request request) {
  std::vector<PromptPartId> own(static_cast<size_t>(options_.own_parts));
  std::ranges::generate(own, [this] { return ++last_own_part_; });
  request.parts.insert(request.parts.begin() + 1, own.begin(), own.end());
  request.culprit = CulpritOf(request.parts);
  request.first_sent = fleet_.Now();
  request.time_left = kTimeLimit;
  requests_.push_back(std::move(request));
  open_.push_back(requests_.size() - 1);
  SendAttempt(requests_.size() - 1);
  return requests_.size() - 1;
}

int PartSimulation::RunningEntry(int preferred) const {
  for (int i = 0; i < options_.entries; ++i) {
    const int entry = (preferred + i) % options_.entries;
    if (fleet_.IsRunning(entry)) {
      return entry;
    }
  }
  return -1;
}

void PartSimulation::SendAttempt(size_t index) {
  Request& request = requests_[index];
  request.retry_at.reset();
  request.entry = RunningEntry(request.entry);
  ++request.attempts;
  request.sent = fleet_.Now();
  if (request.entry < 0) {
    request.entry = 0;
    OnAnswered(request);
    return;
  }
  request.incarnation = fleet_.incarnation(request.entry);
  const Duration left = request.time_left - (request.sent - request.first_sent);
  request.exchange = fleet_.Request(
      request.entry, request.route, "body " + std::to_string(index), "key",
      left, {{"Prompt-Prefix", PrefixOf(request.parts)}});
  by_id_["r" + std::to_string(request.exchange)] = index;
}

void PartSimulation::UpdateClients() {
  for (const size_t index : open_) {
    Request& request = requests_[index];
    if (request.retry_at.has_value()) {
      if (fleet_.Now() >= *request.retry_at) {
        SendAttempt(index);
      }
      continue;
    }
    if (request.ended) {
      continue;
    }
    if (!fleet_.IsRunning(request.entry) ||
        fleet_.incarnation(request.entry) != request.incarnation) {
      OnAnswered(request);
      continue;
    }
    const fakes::ClientView& client =
        fleet_.port(request.entry).clients[request.exchange];
    if (client.aborted || client.ended) {
      request.status = client.aborted ? 0 : client.status.value_or(0);
      request.refused_as_crashing |=
          client.body.find("crashes_servers") != std::string::npos;
      OnAnswered(request);
    }
  }
  std::erase_if(open_, [this](size_t index) { return requests_[index].ended; });
}

void PartSimulation::OnAnswered(Request& request) {
  const bool repeats = request.route != "once" || IsRefusal(request.status);
  if (request.status == kOk || request.attempts >= kClientAttempts ||
      !repeats) {
    request.ended = true;
    request.ended_at = fleet_.Now();
    return;
  }
  const Duration left = request.time_left - (fleet_.Now() - request.first_sent);
  // Clients wait as they are told, up to a third of the time that they have.
  Duration wait = std::chrono::milliseconds(100);
  if (IsRefusal(request.status) && fleet_.IsRunning(request.entry)) {
    const fakes::ClientView& client =
        fleet_.port(request.entry).clients[request.exchange];
    const std::string* after = FindField(client.fields, "Retry-After");
    if (after != nullptr) {
      wait = std::min(FromSeconds(std::stod(*after)), left / 3);
    }
  }
  request.status = 0;
  request.retry_at = fleet_.Now() + wait;
  request.entry = (request.entry + 1) % options_.entries;
}

bool PartSimulation::IsInContact(int entry) const {
  return fleet_.Now() - started_at_[static_cast<size_t>(entry)] >= kContactTime;
}

void PartSimulation::OnArrival(const std::string& request_id) {
  const auto found = by_id_.find(request_id);
  if (found == by_id_.end()) {
    return;
  }
  Request& request = requests_[found->second];
  request.reached_at_first |= request.attempts == 1;
  if (request.culprit.has_value()) {
    history_[*request.culprit].arrivals.push_back(
        {.at = fleet_.Now(), .in_contact = IsInContact(request.entry)});
  }
}

void PartSimulation::OnCrash(const std::string& request_id) {
  const auto found = by_id_.find(request_id);
  if (found != by_id_.end()) {
    history_[*requests_[found->second].culprit].crashes.push_back(fleet_.Now());
  }
}

void PartSimulation::Kill(int entry) {
  if (fleet_.IsRunning(entry)) {
    fleet_.Kill(entry);
  }
}

void PartSimulation::Start(int entry) {
  if (!fleet_.IsRunning(entry)) {
    fleet_.Start(entry);
    started_at_[static_cast<size_t>(entry)] = fleet_.Now();
  }
}

void PartSimulation::RestartAll() {
  for (int entry = 0; entry < options_.entries; ++entry) {
    Kill(entry);
  }
  Advance(std::chrono::milliseconds(500));
  for (int entry = 0; entry < options_.entries; ++entry) {
    Start(entry);
  }
}

void PartSimulation::SetPartition(int first, bool partitioned) {
  for (int a = 0; a < first; ++a) {
    for (int b = first; b < options_.entries; ++b) {
      fleet_.set_partitioned(a, b, partitioned);
    }
  }
}

int PartSimulation::Crashes(size_t culprit) const {
  return static_cast<int>(history_[culprit].crashes.size());
}

int PartSimulation::LateArrivals(size_t culprit) const {
  constexpr size_t kFifth = 4;
  const History& history = history_[culprit];
  if (history.crashes.size() <= kFifth) {
    return 0;
  }
  const TimePoint bound = history.crashes[kFifth] + kContactTime;
  return static_cast<int>(
      std::ranges::count_if(history.arrivals, [bound](const Arrival& arrival) {
        return arrival.in_contact && arrival.at > bound;
      }));
}

double PartSimulation::BegunFraction(size_t culprit,
                                     TimePoint from,
                                     TimePoint until) const {
  int sent = 0;
  int begun = 0;
  for (const Request& request : requests_) {
    if (!request.culprit.has_value() && request.first_sent >= from &&
        request.first_sent < until &&
        request.route == options_.culprits[culprit].route) {
      ++sent;
      begun += request.reached_at_first ? 1 : 0;
    }
  }
  constexpr int kLeast = 20;
  return sent < kLeast ? -1 : static_cast<double>(begun) / sent;
}

double PartSimulation::BegunBefore(size_t culprit) const {
  return BegunFraction(culprit, start_, start_ + options_.culprits_from);
}

std::optional<double> PartSimulation::BegunAfter(size_t culprit) const {
  const std::vector<TimePoint>& crashes = history_[culprit].crashes;
  if (crashes.empty()) {
    return std::nullopt;
  }
  constexpr size_t kFifth = 4;
  const TimePoint from =
      crashes[std::min(kFifth, crashes.size() - 1)] + 2 * kContactTime;
  const double fraction =
      BegunFraction(culprit, from, start_ + options_.culprits_until);
  return fraction < 0 ? std::nullopt : std::optional(fraction);
}

double PartSimulation::ServedAtFirst(Duration from, Duration until) const {
  int sent = 0;
  int served = 0;
  for (const Request& request : requests_) {
    const Duration since_start = request.first_sent - start_;
    if (!request.culprit.has_value() && since_start >= from &&
        since_start < until) {
      ++sent;
      served += request.status == kOk && request.attempts == 1 ? 1 : 0;
    }
  }
  return sent == 0 ? 0 : static_cast<double>(served) / sent;
}

PartSimulation::Outcomes PartSimulation::OutcomesOf(Duration from,
                                                    Duration until) const {
  Outcomes outcomes;
  for (const Request& request : requests_) {
    const Duration sent = request.first_sent - start_;
    if (request.culprit.has_value() || sent < from || sent >= until) {
      continue;
    }
    ++outcomes.sent;
    if (request.status != kOk) {
      ++(IsRefusal(request.status) ? outcomes.refused : outcomes.cut);
    } else if (request.ended_at - request.first_sent <= kInTime) {
      ++outcomes.in_time;
    } else {
      ++outcomes.late;
    }
  }
  return outcomes;
}

int PartSimulation::SoundRefusedAsCrashing() const {
  return static_cast<int>(
      std::ranges::count_if(requests_, [](const Request& request) {
        return !request.culprit.has_value() && request.refused_as_crashing;
      }));
}

bool PartSimulation::AreSoundPartsServed() {
  Advance(std::chrono::seconds(5));
  std::set<std::pair<std::string, PromptPartId>> sound;
  for (const Request& request : requests_) {
    if (!request.culprit.has_value()) {
      sound.insert({request.route, request.parts.end()[-2]});
    }
  }
  const size_t first = requests_.size();
  for (const auto& [route, part] : sound) {
    for (int entry = 0; entry < options_.entries; ++entry) {
      SendWithPart(entry, route, part);
      Advance(std::chrono::milliseconds(30));
    }
  }
  Advance(std::chrono::seconds(2));
  return std::all_of(requests_.begin() + static_cast<ptrdiff_t>(first),
                     requests_.end(), [](const Request& request) {
                       return request.status == kOk && request.attempts == 1;
                     });
}

std::string PartSimulation::Summary() const {
  std::ostringstream text;
  for (size_t i = 0; i < history_.size(); ++i) {
    text << "culprit " << i << ": crashes=" << Crashes(i)
         << " late_arrivals=" << LateArrivals(i)
         << " begun_before=" << BegunBefore(i)
         << " begun_after=" << BegunAfter(i).value_or(-1) << "; ";
  }
  const Outcomes outcomes =
      OutcomesOf(options_.culprits_from, options_.culprits_until);
  text << "sound: sent=" << outcomes.sent << " in_time=" << outcomes.in_time
       << " late=" << outcomes.late << " refused=" << outcomes.refused
       << " cut=" << outcomes.cut
       << " refused_as_crashing=" << SoundRefusedAsCrashing();
  return text.str();
}

}  // namespace lavenderkeel
