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

/// Identifies a connection between two processes; assigned by the I/O layer.
using LinkId = uint64_t;
/// Identifies a pending HTTP exchange of a caller or operator.
using CallerId = uint64_t;
/// Identifies a run of a request at the backend server; assigned by the agent.
using RunId = uint64_t;
/// Identifies a call to the platform.
using PlatformCallId = uint64_t;

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct SendMessage {
  LinkId link = 0;
  Message message;
};

struct CloseLink {
  LinkId link = 0;
};

/// Opens a connection and sends Hello; results in OnLinkUp or OnDialFailed.
struct Dial {
  std::string address;
};

struct PlatformCall {
  PlatformCallId call = 0;
  std::string method;
  std::string path;
  std::string body;
  /// The ETag for If-Match; "*" sends If-None-Match: * instead, which only
  /// creates an object.
  std::optional<std::string> if_match;
  /// For a watch: how long the platform may delay the response.
  std::optional<int64_t> wait_ms;
};

/// Sends a complete response.
struct ReplyComplete {
  CallerId caller = 0;
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// Sends the status and headers of a streamed response.
struct ReplyHead {
  CallerId caller = 0;
  int status = 200;
  HttpHeaders headers;
};

/// Sends a chunk of a streamed response; OnCallerDrained follows once it is
/// written.
struct ReplyChunk {
  CallerId caller = 0;
  std::string bytes;
};

struct ReplyEnd {
  CallerId caller = 0;
};

/// Aborts the connection, so that the caller can't mistake a truncated answer
/// for a complete one.
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

/// Resumes a running stream of an engine from an event index.
struct ServerResume {
  RunId run = 0;
  std::string request_id;
  uint64_t from = 0;
};

/// Makes the server run the request no more. An engine states what it knew of
/// it; results in OnServerCancelled.
struct ServerCancel {
  RunId run = 0;
  /// Services have no cancel operation; only the connection is closed.
  bool service = false;
  std::string request_id;
};

using Action = std::variant<SendMessage,
                            CloseLink,
                            Dial,
                            PlatformCall,
                            ReplyComplete,
                            ReplyHead,
                            ReplyChunk,
                            ReplyEnd,
                            ReplyAbort,
                            ServerStart,
                            ServerResume,
                            ServerCancel>;

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_ACTION_ACTION_H_
