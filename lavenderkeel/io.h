// Module io: sockets, HTTP and timers around the decision-making components.
#ifndef LAVENDERKEEL_IO_H_
#define LAVENDERKEEL_IO_H_

#include "lavenderkeel/io/agent_daemon.h"
#include "lavenderkeel/io/daemon_main.h"
#include "lavenderkeel/io/entry_daemon.h"
#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/io/http_client.h"
#include "lavenderkeel/io/http_server.h"
#include "lavenderkeel/io/peer_port.h"
#include "lavenderkeel/io/platform_client.h"
#include "lavenderkeel/io/server_client.h"
#include "lavenderkeel/io/settings.h"

#endif  // LAVENDERKEEL_IO_H_
