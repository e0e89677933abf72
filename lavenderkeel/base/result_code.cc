#include "lavenderkeel/base/result_code.h"

#include <algorithm>
#include <array>

namespace lavenderkeel {

namespace {

using enum ResultCode;

constexpr Outcome kNotRun = Outcome::kNotRun;
constexpr Outcome kUnknown = Outcome::kUnknown;

constexpr auto kTable = std::to_array<ResultCodeInfo>({
    {kAnswered, "answered", Outcome::kAnswered, 200, "answered whole"},
    {kMalformedJson, "malformed_json", kNotRun, 400,
     "the body is not valid JSON"},
    {kWrongType, "wrong_type", kNotRun, 400,
     "a field is missing, of the wrong type or out of range"},
    {kUnknownModel, "unknown_model", kNotRun, 400,
     "the model is not configured"},
    {kUnknownWork, "unknown_work", kNotRun, 400,
     "the work class is not configured for this team"},
    {kBodyTooLarge, "body_too_large", kNotRun, 413,
     "the body or the headers are too large"},
    {kBadKey, "bad_key", kNotRun, 400,
     "Idempotency-Key is not a UUIDv7 of the present or the past"},
    {kBadDeadline, "bad_deadline", kNotRun, 400,
     "Lavenderkeel-Deadline-Ms is not a positive whole number"},
    {kUnknownTeam, "unknown_team", kNotRun, 401,
     "the bearer key belongs to no team"},
    {kKeyReused, "key_reused", kNotRun, 422,
     "the key was used for a different request"},
    {kNotFound, "not_found", kNotRun, 404, "there is no such thing"},
    {kMethodNotAllowed, "method_not_allowed", kNotRun, 405,
     "the method is not allowed here"},
    {kNoRoute, "no_route", kNotRun, 404, "no route has this host and path"},
    {kMalformedRequest, "malformed_request", kNotRun, 400,
     "the request is not well-formed HTTP/1.1"},
    {kHeadTooLarge, "head_too_large", kNotRun, 431,
     "the head of the request is too large"},
    {kHeadTooSlow, "head_too_slow", kNotRun, 408,
     "the request did not arrive whole in time"},
    {kNoConfiguration, "no_configuration", kNotRun, 503,
     "this entry has no configuration yet"},
    {kLeaving, "leaving", kNotRun, 503, "this entry is leaving"},
    {kNoServer, "no_server", kNotRun, 503, "no backend server can take it"},
    {kOverloaded, "overloaded", kNotRun, 503,
     "too many requests of this or a higher tier are waiting"},
    {kDeadlinePassed, "deadline_passed", kNotRun, 503,
     "the deadline passed before it could start"},
    {kDeadlineUnreachable, "deadline_unreachable", kNotRun, 503,
     "the predicted finish is after the deadline"},
    {kTierClosed, "tier_closed", kNotRun, 503,
     "the preset in force closes this tier"},
    {kTeamWaitingLimit, "team_waiting_limit", kNotRun, 429,
     "the team has too many requests waiting or running"},
    {kTeamTokenRate, "team_token_rate", kNotRun, 429,
     "the team's prompt token rate is used up"},
    {kCancelledWaiting, "cancelled_waiting", kNotRun, 503,
     "cancelled before it started"},
    {kPreempted, "preempted", kUnknown, 504,
     "repeatable work that gave way to a higher tier"},
    {kReservationGone, "reservation_gone", kNotRun, 503,
     "the agent no longer holds the reservation"},
    {kSealed, "sealed", kNotRun, 503,
     "the agent refuses the request from this sender"},
    {kServerUnreachable, "server_unreachable", kNotRun, 503,
     "the backend server accepted no connection"},
    {kCrashesServers, "crashes_servers", kNotRun, 503,
     "servers that ran equal requests, or others with the same part of the "
     "prompt, were lost each time"},
    {kServerPushback, "server_pushback", kNotRun, 503,
     "the backend servers turned requests away and asked for a rest"},
    {kMemoryLimit, "memory_limit", kNotRun, 503,
     "the memory for requests is used up"},
    {kServerLost, "server_lost", kUnknown, 504,
     "the agent was lost after the request was sent to it"},
    {kCannotVouch, "cannot_vouch", kUnknown, 504,
     "nobody can say whether the key was used before"},
    {kAnswerGone, "answer_gone", kUnknown, 504,
     "it ran, but its answer is no longer kept"},
    {kServerFailed, "server_failed", kUnknown, 504,
     "the backend server failed after the start"},
    {kCancelledRunning, "cancelled_running", kUnknown, 504,
     "cancelled while it ran"},
    {kAnswerTooLarge, "answer_too_large", kUnknown, 504,
     "the answer exceeds the size limit"},
    {kOwnerSilent, "owner_silent", kUnknown, 504,
     "the entry that sent it, or an agent that may have it, is silent"},
    {kServerCrashed, "server_crashed", kUnknown, 504,
     "the backend server ended while it ran the request"},
    {kAnswerWithheld, "answer_withheld", kUnknown, 504,
     "the backend server answered with a status that would state that the "
     "request did not run"},
    {kConfigInvalid, "config_invalid", kNotRun, 400,
     "the configuration document has faults"},
    {kConfigConflict, "config_conflict", kNotRun, 409,
     "somebody else changed it first"},
    {kConfigNotAccepted, "config_not_accepted", kNotRun, 503,
     "the platform did not take the change"},
    {kConfigUnknown, "config_unknown", kUnknown, 504,
     "the platform did not say whether it took the change"},
    {kUnknownPreset, "unknown_preset", kNotRun, 404, "there is no such preset"},
    {kOperatorKey, "operator_key", kNotRun, 401,
     "the operator key is missing or wrong"},
    {kUnknownInstance, "unknown_instance", kNotRun, 404,
     "there is no such instance"},
    {kBadFrame, "bad_frame", kNotRun, 400, "a frame does not verify"},
    {kFrameTooLarge, "frame_too_large", kNotRun, 400,
     "a frame exceeds the size limit"},
    {kProtocolVersion, "protocol_version", kNotRun, 400,
     "the peer speaks another protocol version"},
    {kSettingsInvalid, "settings_invalid", kNotRun, 400,
     "the settings file has faults"},
    {kUnknownMessage, "unknown_message", kNotRun, 400,
     "a message is of a type that this version does not know"},
});

}  // namespace

std::span<const ResultCodeInfo> ResultCodeTable() {
  return kTable;
}

const ResultCodeInfo& Describe(ResultCode code) {
  const auto found =
      std::ranges::lower_bound(kTable, code, {}, &ResultCodeInfo::code);
  if (found != kTable.end() && found->code == code) {
    return *found;
  }
  return Describe(kServerFailed);
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace lavenderkeel
