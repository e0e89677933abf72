#include "lavenderkeel/io/settings.h"

#include <utility>

#include "lavenderkeel/config/json_reader.h"
#include "lavenderkeel/io/internal/settings_fields.h"

namespace lavenderkeel {

using internal::ObjectOrEmpty;
using internal::ReadAddress;
using internal::ReadCount;
using internal::ReadDuration;
using internal::ReadLogLevel;
using internal::ReadProcessLimits;
using internal::ReadSeeds;

namespace {

void ReadLog(JsonReader& reader, CommonSettings& common, Faults& faults) {
  JsonReader log(ObjectOrEmpty(reader, "log"), "/log", faults);
  common.log_level = ReadLogLevel(log);
  common.log_file = log.String("file");
  log.RejectUnknown();
}

CommonSettings ReadCommon(JsonReader& reader, Role role, Faults& faults) {
  CommonSettings common;
  common.self.id.instance = reader.String("instance", {.required = true});
  common.self.role = role;
  common.self.data_centre = reader.String("data_centre", {.required = true});
  common.self.region = reader.String("region");
  common.platform = ReadAddress(reader, "platform", /*required=*/false);
  ReadLog(reader, common, faults);
  JsonReader limits(ObjectOrEmpty(reader, "limits"), "/limits", faults);
  ReadProcessLimits(limits, common.limits);
  limits.RejectUnknown();
  return common;
}

void ReadMemberTuning(JsonReader& tuning, MemberTable::Options& members) {
  ReadDuration(tuning, "heartbeat_period_ms", members.heartbeat_period);
  ReadDuration(tuning, "entry_heartbeat_period_ms",
               members.entry_heartbeat_period);
  ReadDuration(tuning, "heartbeat_timeout_ms", members.heartbeat_timeout);
  ReadDuration(tuning, "dial_longest_ms", members.dial.max);
  const Duration max_period =
      std::max(members.heartbeat_period, members.entry_heartbeat_period);
  if (members.heartbeat_timeout < 2 * max_period) {
    tuning.Fault("heartbeat_timeout_ms",
                 "must be at least twice the heartbeat periods");
  }
}

void ReadEntryTuning(JsonReader& tuning, EntrySettings& settings) {
  EntryNode::Options& node = settings.node;
  ReadMemberTuning(tuning, node.members);
  ReadCount(tuning, "agents_per_entry", node.members.agents_per_entry);
  ReadCount(tuning, "candidates", node.dispatch.candidates);
  ReadDuration(tuning, "widen_after_ms", node.dispatch.widen_after);
  ReadDuration(tuning, "server_patience_ms", node.dispatch.server_lost_timeout);
  ReadDuration(tuning, "seal_patience_ms", node.dispatch.seal_timeout);
  ReadDuration(tuning, "keep_ended_ms", node.dispatch.keep_ended);
  ReadCount(tuning, "max_waiting", node.dispatch.max_waiting);
  ReadDuration(tuning, "claim_retention_ms", node.claims.retention);
  ReadDuration(tuning, "clock_skew_ms", node.claims.clock_skew, 0);
  ReadDuration(tuning, "list_period_ms", node.registration.list_period);
  ReadDuration(tuning, "poll_period_ms", node.config_distributor.poll_period);
  ReadCount(tuning, "max_body_bytes", settings.http.max_body_bytes);
}

void ReadAgentTuning(JsonReader& tuning, AgentNode::Options& node) {
  ReadMemberTuning(tuning, node.members);
  GateController::Options& gate = node.gate;
  ReadCount(tuning, "first_in_flight", gate.server.in_flight.initial);
  ReadCount(tuning, "most_in_flight", gate.server.in_flight.max);
  ReadDuration(tuning, "between_tokens_ms",
               gate.server.in_flight.between_tokens);
  ReadCount(tuning, "lookahead", gate.lookahead, 0);
  ReadDuration(tuning, "offer_timeout_ms", gate.offer_timeout);
  ReadDuration(tuning, "preempt_after_ms", gate.preempt_after, 0);
  ReadDuration(tuning, "stream_silence_ms", gate.server.stream_silence);
  ReadCount(tuning, "max_answer_bytes", gate.server.max_answer_bytes);
  ReadCount(tuning, "kept_answer_bytes", gate.runs.kept_answer_bytes);
  ReadDuration(tuning, "key_retention_ms", gate.runs.retention);
}

}  // namespace

leaf::result<EntrySettings> ParseEntrySettings(const std::string& text) {
  BOOST_LEAF_AUTO(value, ParseJson(text));
  Faults faults;
  JsonReader reader(value, "", faults);
  EntrySettings settings;
  settings.common = ReadCommon(reader, Role::kEntry, faults);
  JsonReader listen(ObjectOrEmpty(reader, "listen"), "/listen", faults);
  settings.listen_callers = ReadAddress(listen, "callers");
  settings.common.listen_peers = ReadAddress(listen, "peers");
  settings.common.self.address =
      ReadAddress(listen, "advertise", /*required=*/false);
  listen.RejectUnknown();
  settings.node.seeds = ReadSeeds(reader);
  settings.node.operator_key_sha256 = reader.String("operator_key_sha256");
  JsonReader tuning(ObjectOrEmpty(reader, "tuning"), "/tuning", faults);
  ReadEntryTuning(tuning, settings);
  tuning.RejectUnknown();
  reader.RejectUnknown();
  BOOST_LEAF_CHECK(CheckFaults(faults, ResultCode::kSettingsInvalid));
  return settings;
}

leaf::result<AgentSettings> ParseAgentSettings(const std::string& text) {
  BOOST_LEAF_AUTO(value, ParseJson(text));
  Faults faults;
  JsonReader reader(value, "", faults);
  AgentSettings settings;
  settings.common = ReadCommon(reader, Role::kAgent, faults);
  JsonReader listen(ObjectOrEmpty(reader, "listen"), "/listen", faults);
  settings.common.listen_peers = ReadAddress(listen, "peers");
  settings.common.self.address =
      ReadAddress(listen, "advertise", /*required=*/false);
  listen.RejectUnknown();
  JsonReader server(ObjectOrEmpty(reader, "server"), "/server", faults);
  const std::string kind = server.String("kind", {.required = true});
  settings.server_address = ReadAddress(server, "address");
  settings.checks_fence = server.Bool("checks_fence", false);
  const std::string service = server.String("service");
  if (kind == "service" && !service.empty()) {
    settings.node.serves = "service/" + service;
  } else if (kind == "service") {
    server.Fault("service", "is missing");
  } else if (kind != "engine" && !kind.empty()) {
    server.Fault("kind", "must be engine or service");
  }
  server.RejectUnknown();
  settings.node.seeds = ReadSeeds(reader);
  JsonReader tuning(ObjectOrEmpty(reader, "tuning"), "/tuning", faults);
  ReadAgentTuning(tuning, settings.node);
  tuning.RejectUnknown();
  reader.RejectUnknown();
  BOOST_LEAF_CHECK(CheckFaults(faults, ResultCode::kSettingsInvalid));
  return settings;
}

}  // namespace lavenderkeel
