#ifndef LAVENDERKEEL_ACTION_ACTION_H_
#define LAVENDERKEEL_ACTION_ACTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

/// A connection between two processes, numbered by the I/O layer.
using LinkId = uint64_t;
/// A waiting HTTP exchange of a caller or operator.
using CallerId = uint64_t;
/// A start of a request at the backend server, numbered by the agent.
using RunId = uint64_t;
/// A call on the platform.
using PlatformCallId = uint64_t;

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct SendMessage {
  LinkId link = 0;
  Message message;
};

struct CloseLink {
  LinkId link = 0;
};

/// Opens a connection and greets; ends in OnLinkUp or OnDialFailed.
struct Dial {
  std::string address;
};

struct PlatformCall {
  PlatformCallId call = 0;
  std::string method;
  std::string path;
  std::string body;
  /// The ETag for If-Match; "*" asks for If-None-Match: *, so a creation.
  std::optional<std::string> if_match;
  /// For a watch: how long the platform may hold the call.
  std::optional<int64_t> wait_ms;
};

/// A whole response.
struct ReplyWhole {
  CallerId caller = 0;
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// The head of a streamed response.
struct ReplyHead {
  CallerId caller = 0;
  int status = 200;
  HttpHeaders headers;
};

/// A part of a streamed response; OnCallerDrained follows once it is written.
struct ReplyData {
  CallerId caller = 0;
  std::string bytes;
};

struct ReplyEnd {
  CallerId caller = 0;
};

/// Breaks the connection, so that a part can't be taken for a whole answer.
struct ReplyAbort {
  CallerId caller = 0;
};

/// Starts a request at the backend server.
struct ServerStart {
  RunId run = 0;
  bool service = false;
  std::string method;
  std::string path;
  std::string body;
};

/// Reads a running stream of an engine again from an event index.
struct ServerResume {
  RunId run = 0;
  std::string request_id;
  uint64_t from = 0;
};

struct ServerCancel {
  RunId run = 0;
  /// Services know no cancelling; only the connection is dropped.
  bool service = false;
  std::string request_id;
};

using Action = std::variant<SendMessage,
                            CloseLink,
                            Dial,
                            PlatformCall,
                            ReplyWhole,
                            ReplyHead,
                            ReplyData,
                            ReplyEnd,
                            ReplyAbort,
                            ServerStart,
                            ServerResume,
                            ServerCancel>;

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ACTION_ACTION_H_
