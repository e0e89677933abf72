#ifndef LAVENDERKEEL_BASE_RESULT_CODE_H_
#define LAVENDERKEEL_BASE_RESULT_CODE_H_

#include <cstdint>
#include <span>
#include <string_view>

namespace lavenderkeel {

/// What a caller may conclude about its request.
///
/// kUnknown must never be turned into kNotRun: the caller of a request that may
/// have run would send it again under another key, and it would run twice.
enum class Outcome { kAnswered, kNotRun, kUnknown };

/// Numbered results. docs/RESULT_CODES.md lists them; a test compares it with
/// this table.
enum class ResultCode : uint32_t {
  kAnswered = 0,

  kMalformedJson = 1001,
  kWrongType = 1002,
  kUnknownModel = 1003,
  kUnknownWork = 1004,
  kBodyTooLarge = 1005,
  kBadKey = 1006,
  kBadDeadline = 1007,
  kUnknownTeam = 1008,
  kKeyReused = 1009,
  kNotFound = 1010,
  kMethodNotAllowed = 1011,
  kNoRoute = 1012,
  kMalformedRequest = 1013,
  kHeadTooLarge = 1014,
  kHeadTooSlow = 1015,

  kNoConfiguration = 2001,
  kLeaving = 2002,
  kNoServer = 2003,
  kOverloaded = 2004,
  kDeadlinePassed = 2005,
  kDeadlineUnreachable = 2006,
  kTierClosed = 2007,
  kTeamWaitingLimit = 2008,
  kTeamTokenRate = 2009,
  kCancelledWaiting = 2010,
  kPreempted = 2011,
  kReservationGone = 2012,
  kSealed = 2013,
  kServerUnreachable = 2014,
  kCrashesServers = 2015,
  kServerPushback = 2016,
  kMemoryLimit = 2017,

  kServerLost = 3001,
  kCannotVouch = 3002,
  kAnswerGone = 3003,
  kServerFailed = 3004,
  kCancelledRunning = 3005,
  kAnswerTooLarge = 3006,
  kOwnerSilent = 3007,
  kServerCrashed = 3008,
  kAnswerWithheld = 3009,

  kConfigInvalid = 4001,
  kConfigConflict = 4002,
  kConfigNotAccepted = 4003,
  kConfigUnknown = 4004,
  kUnknownPreset = 4005,
  kOperatorKey = 4006,
  kUnknownInstance = 4007,

  kBadFrame = 5001,
  kFrameTooLarge = 5002,
  kProtocolVersion = 5003,
  kSettingsInvalid = 5004,
  kUnknownMessage = 5005,
};

struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  Outcome outcome;
  int http_status;
  std::string_view message;
};

/// All codes in ascending order.
std::span<const ResultCodeInfo> ResultCodeTable();

/// Returns the table entry of a code. A number that is not in the table is
/// treated as kServerFailed, since an unknown code from a newer peer must not
/// become "not run".
const ResultCodeInfo& Describe(ResultCode code);

std::string_view OutcomeName(Outcome outcome);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_RESULT_CODE_H_
