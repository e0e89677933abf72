#ifndef LAVENDERKEEL_HTTP_H_
#define LAVENDERKEEL_HTTP_H_

/// Module http: HTTP/1.1 messages without sockets: strict framing in both
/// directions, heads and event streams.
#include "lavenderkeel/http/event_stream.h"
#include "lavenderkeel/http/message_head.h"
#include "lavenderkeel/http/message_reader.h"

#endif  // LAVENDERKEEL_HTTP_H_
