#include "test/fairness/fleet_load.h"

#include <algorithm>

namespace lavenderkeel {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(5);
constexpr int kOk = 200;

}  // namespace

fakes::FleetSimulation::Options FleetLoad::FleetOptions(
    const std::vector<Team>& teams,
    bool fair_shares,
    std::vector<std::string>& log_lines) {
  RouteTableContent table = fakes::ForwardSimulation::Table();
  table.services = {{.name = "engines"}};
  table.teams.clear();
  for (size_t i = 0; i < teams.size(); ++i) {
    const std::string number = std::to_string(i);
    table.teams.push_back(
        {.name = "team-" + number,
         .api_keys = {"key-" + number},
         .priority = teams[i].priority,
         .rate = {.per_second = teams[i].rate, .burst = 10 * teams[i].rate}});
  }
  fakes::FleetSimulation::Options options = {
      .entries = kEntries,
      .with_server = false,
      .table = table,
      .server_slots = kSlots,
      .log = EventLog([&log_lines](LogLevel, const std::string& line) {
        log_lines.push_back(line);
      })};
  options.node.fair_shares = fair_shares;
  return options;
}

FleetLoad::FleetLoad(const std::vector<Team>& teams, bool fair_shares)
    : teams_(teams), fleet_(FleetOptions(teams, fair_shares, log_lines_)) {
  for (int i = 0; i < kServers; ++i) {
    const std::string number = std::to_string(i + 1);
    fleet_.PutServer("s" + number, /*draining=*/false,
                     "10.0.2." + number + ":1");
  }
  // Until the entries know each other, the servers and the configuration.
  fleet_.Advance(std::chrono::seconds(2));
  next_.resize(teams_.size(), fleet_.Now());
}

void FleetLoad::Advance(Duration by) {
  const TimePoint end = fleet_.Now() + by;
  while (fleet_.Now() < end) {
    SendDueRequests();
    fleet_.Advance(kStep);
    ReceiveAttempts();
    RunServers();
    ReadAnswers();
  }
}

void FleetLoad::SendDueRequests() {
  const TimePoint now = fleet_.Now();
  for (size_t team = 0; team < teams_.size(); ++team) {
    if (teams_[team].per_second <= 0) {
      next_[team] = now;
      continue;
    }
    std::exponential_distribution<> gap(teams_[team].per_second);
    while (next_[team] <= now) {
      next_[team] += FromSeconds(gap(random_));
      requests_.push_back({.team = team, .sent_at = now});
      Send(requests_.size() - 1, kPatience);
    }
  }
  const auto due =
      std::stable_partition(retries_.begin(), retries_.end(),
                            [now](const Retry& r) { return r.at > now; });
  const std::vector<Retry> due_retries(due, retries_.end());
  retries_.erase(due, retries_.end());
  for (const Retry& retry : due_retries) {
    Send(retry.request, requests_[retry.request].sent_at + kPatience - now);
  }
}

void FleetLoad::Send(size_t index, Duration time_left) {
  Request& request = requests_[index];
  do {
    request.entry = static_cast<int>(random_() % kEntries);
  } while (!fleet_.IsRunning(request.entry));
  const ExchangeId exchange =
      fleet_.Request(request.entry, "lookup", "",
                     "key-" + std::to_string(request.team), time_left);
  open_[{request.entry, exchange}] = index;
}

void FleetLoad::ReceiveAttempts() {
  for (int entry = 0; entry < kEntries; ++entry) {
    const std::vector<fakes::SentAttempt>& sent = fleet_.port(entry).sent;
    size_t& received = received_[static_cast<size_t>(entry)];
    for (; fleet_.IsRunning(entry) && received < sent.size(); ++received) {
      const fakes::SentAttempt& attempt = sent[received];
      servers_[attempt.address].push_back(
          {.entry = entry,
           .index = received,
           .attempt = attempt.attempt,
           .request_id = attempt.Field("Request-Id")});
    }
  }
}

void FleetLoad::RunServers() {
  const TimePoint now = fleet_.Now();
  for (auto& [address, runs] : servers_) {
    std::vector<Run> ended;
    std::erase_if(runs, [&](const Run& run) {
      const bool ends = run.started && now >= run.ends_at;
      if (ends) {
        ended.push_back(run);
      }
      return ends;
    });
    for (size_t i = 0; i < std::min<size_t>(kSlots, runs.size()); ++i) {
      if (!runs[i].started) {
        runs[i].started = true;
        runs[i].ends_at = now + kWorkTime;
      }
    }
    for (const Run& run : ended) {
      if (!fleet_.IsRunning(run.entry) ||
          fleet_.port(run.entry).sent[run.index].cancelled) {
        continue;
      }
      answer_times_.push_back(now);
      fleet_.RunIn(run.entry, [&](ForwardNode& node) {
        node.controller().OnAnswerHead(
            run.attempt,
            {.status = kOk,
             .fields = {{"Request-Id", run.request_id},
                        {"Response-Seal", "seal"}},
             .framing = BodyFraming::kLength},
            /*fresh=*/true);
        node.controller().OnAnswerChunk(run.attempt, "answer");
        node.controller().OnAnswerEnd(run.attempt);
      });
    }
  }
}

void FleetLoad::ReadAnswers() {
  const TimePoint now = fleet_.Now();
  std::erase_if(open_, [&](const auto& item) {
    const auto& [entry, exchange] = item.first;
    const auto& clients = fleet_.port(entry).clients;
    const auto client = clients.find(exchange);
    if (client == clients.end() || !client->second.ended) {
      return false;
    }
    Request& request = requests_[item.second];
    if (client->second.status == kOk) {
      request.answered = true;
      request.answered_at = now;
      return true;
    }
    const std::string* wait = FindField(client->second.fields, "Retry-After");
    if (!std::exchange(request.refused, true) && wait != nullptr) {
      retries_.push_back(
          {.at = now + FromSeconds(std::stod(*wait)), .request = item.second});
    }
    return true;
  });
}

FleetLoad::Outcome FleetLoad::OutcomeOf(size_t team,
                                        TimePoint from,
                                        TimePoint to) const {
  Outcome outcome;
  for (const Request& request : requests_) {
    if (request.team != team || request.sent_at < from ||
        request.sent_at >= to || !fleet_.IsRunning(request.entry)) {
      continue;
    }
    ++outcome.sent;
    outcome.answered += request.answered ? 1 : 0;
    outcome.refused += request.refused ? 1 : 0;
    outcome.in_time +=
        request.answered &&
                request.answered_at - request.sent_at <= kLatencyTarget
            ? 1
            : 0;
  }
  return outcome;
}

int FleetLoad::AnsweredBetween(TimePoint from, TimePoint to) const {
  return static_cast<int>(std::ranges::count_if(
      answer_times_,
      [&](TimePoint time) { return time >= from && time < to; }));
}

int FleetLoad::scheduler() const {
  for (auto line = log_lines_.rbegin(); line != log_lines_.rend(); ++line) {
    for (int entry = 0; entry < kEntries; ++entry) {
      if (line->starts_with("event=send ") &&
          line->find("gate=entry-" + std::to_string(entry) + "@") !=
              std::string::npos) {
        return entry;
      }
    }
  }
  return -1;
}

}  // namespace lavenderkeel
