#ifndef LAVENDERKEEL_NOTICE_H_
#define LAVENDERKEEL_NOTICE_H_

/// Module notice: what backend servers say about themselves in their answers,
/// how long it holds, and how entries share it.
#include "lavenderkeel/notice/answer_notices.h"
#include "lavenderkeel/notice/notice_kind.h"
#include "lavenderkeel/notice/notice_wire.h"
#include "lavenderkeel/notice/server_notices.h"
#include "lavenderkeel/notice/server_rate_limiter.h"

#endif  // LAVENDERKEEL_NOTICE_H_
