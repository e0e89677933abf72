#include "test/fakes/scripted_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <csignal>
#include <utility>

#include "lavenderkeel/io/internal/listener.h"
#include "lavenderkeel/io/socket_options.h"

namespace lavenderkeel::fakes {

struct ScriptedServer::Connection {
  ~Connection() { bufferevent_free(events); }

  ScriptedServer* server = nullptr;
  ConnectionId id = 0;
  bufferevent* events = nullptr;
  /// Sent again and again if not empty.
  std::string endless;
  bool closes = false;
};

ScriptedServer::ScriptedServer(EventLoop& loop, Script script)
    : loop_(loop), script_(std::move(script)) {
  // A peer may close a connection while bytes are written to it.
  std::signal(SIGPIPE, SIG_IGN);
  constexpr int kDefaultBacklog = -1;
  listener_ = internal::NewListener<ScriptedServer, &ScriptedServer::Accept>(
      loop.base(), "127.0.0.1:0", kDefaultBacklog, *this);
  address_ = internal::AddressOf(listener_).value();
}

ScriptedServer::~ScriptedServer() {
  connections_.clear();
  evconnlistener_free(listener_);
}

void ScriptedServer::Accept(int socket) {
  auto connection = std::make_unique<Connection>();
  connection->server = this;
  connection->id = ++last_;
  connection->events =
      bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      connection->events,
      [](bufferevent*, void* arg) {
        auto& self = *static_cast<Connection*>(arg);
        self.server->OnReadable(self);
      },
      [](bufferevent*, void* arg) {
        auto& self = *static_cast<Connection*>(arg);
        self.server->OnWritable(self);
      },
      [](bufferevent*, short, void* arg) {
        auto& self = *static_cast<Connection*>(arg);
        self.server->connections_.erase(self.id);
      },
      connection.get());
  bufferevent_enable(connection->events,
                     EV_WRITE | (reads_ ? EV_READ : short{0}));
  connections_[connection->id] = std::move(connection);
}

void ScriptedServer::SetReading(bool reads) {
  reads_ = reads;
  for (const auto& [id, connection] : connections_) {
    if (reads) {
      bufferevent_enable(connection->events, EV_READ);
    } else {
      bufferevent_disable(connection->events, EV_READ);
    }
  }
}

void ScriptedServer::OnReadable(Connection& connection) {
  constexpr std::string_view kEndOfHead = "\r\n\r\n";
  evbuffer* input = bufferevent_get_input(connection.events);
  while (true) {
    const evbuffer_ptr end =
        evbuffer_search(input, kEndOfHead.data(), kEndOfHead.size(), nullptr);
    if (end.pos < 0) {
      return;
    }
    std::string request(static_cast<size_t>(end.pos) + kEndOfHead.size(), '\0');
    evbuffer_remove(input, request.data(), request.size());
    const ConnectionId id = connection.id;
    const std::string answer = script_(id, request);
    if (!IsOpen(id)) {
      return;
    }
    Send(id, answer);
  }
}

void ScriptedServer::OnWritable(Connection& connection) {
  if (connection.closes) {
    connections_.erase(connection.id);
    return;
  }
  if (!connection.endless.empty()) {
    endless_bytes_ += connection.endless.size();
    bufferevent_write(connection.events, connection.endless.data(),
                      connection.endless.size());
  }
}

std::string ScriptedServer::RequestIdOf(std::string_view request) {
  constexpr std::string_view kField = "Request-Id: ";
  const size_t at = request.find(kField) + kField.size();
  return std::string(request.substr(at, request.find('\r', at) - at));
}

void ScriptedServer::Send(ConnectionId connection, std::string_view bytes) {
  const auto found = connections_.find(connection);
  if (found != connections_.end()) {
    bufferevent_write(found->second->events, bytes.data(), bytes.size());
  }
}

void ScriptedServer::CloseAfterWriting(ConnectionId connection, bool reset) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    return;
  }
  Connection& closing = *found->second;
  closing.closes = true;
  if (reset) {
    ResetOnClose(bufferevent_getfd(closing.events));
  }
  if (evbuffer_get_length(bufferevent_get_output(closing.events)) == 0) {
    connections_.erase(found);
  }
}

void ScriptedServer::SendWithoutEnd(ConnectionId connection,
                                    std::string bytes) {
  Connection& found = *connections_.at(connection);
  found.endless = std::move(bytes);
  OnWritable(found);
}

}  // namespace lavenderkeel::fakes
