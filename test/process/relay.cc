#include "test/process/relay.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <deque>
#include <utility>

#include "lavenderkeel/http/message_reader.h"
#include "lavenderkeel/io/address.h"
#include "lavenderkeel/io/internal/listener.h"

namespace lavenderkeel::test {

/// Splits the bytes of a connection's answers into messages.
class Relay::AnswerRecorder {
 public:
  /// @return the number of answers that the bytes completed
  int Feed(std::string_view bytes) {
    int completed = 0;
    unread_ += bytes;
    if (reader_.fault() != ReadFault::kNone) {
      // Recording began in the middle of an answer.
      *this = AnswerRecorder();
      return 0;
    }
    while (!unread_.empty()) {
      const size_t consumed = reader_.Feed(unread_);
      current_ += unread_.substr(0, consumed);
      unread_.erase(0, consumed);
      reader_.TakeBody();
      if (!reader_.done()) {
        break;
      }
      last_ = std::exchange(current_, {});
      reader_ = ResponseReader({});
      ++completed;
    }
    return completed;
  }
  const std::string& last() const { return last_; }

 private:
  ResponseReader reader_{{}};
  std::string unread_;
  std::string current_;
  std::string last_;
};

/// An accepted connection (`in`) and the connection to the target (`out`).
struct Relay::ConnectionPair {
  ~ConnectionPair() {
    bufferevent_free(in);
    bufferevent_free(out);
  }
  struct QueuedBytes {
    TimePoint due;
    bool to_target = false;
    std::string bytes;
  };

  Relay* relay = nullptr;
  bufferevent* in = nullptr;
  bufferevent* out = nullptr;
  bool closed = false;
  /// Whether one end has sent EOF. Both connections are closed once all bytes
  /// have been sent.
  bool half_closed = false;
  /// Whether the bytes of the target have ended early, and whether the
  /// connections are then reset.
  bool cut = false;
  bool resets = false;
  std::deque<QueuedBytes> queued;
  AnswerRecorder answers;
  /// Sent to the client once the next request has been forwarded.
  std::string repeated_answer;
  bool endless = false;

  bool Drained() const {
    return queued.empty() &&
           evbuffer_get_length(bufferevent_get_output(in)) == 0 &&
           evbuffer_get_length(bufferevent_get_output(out)) == 0;
  }

  /// Ends both connections with an error.
  void Reset() {
    constexpr linger kReset = {.l_onoff = 1, .l_linger = 0};
    for (bufferevent* end : {in, out}) {
      setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &kReset,
                 sizeof(kReset));
    }
    Close();
  }

  void Close() {
    closed = true;
    for (bufferevent* end : {in, out}) {
      const evutil_socket_t socket = bufferevent_getfd(end);
      bufferevent_setfd(end, -1);
      evutil_closesocket(socket);
    }
  }
};

Relay::Relay(EventLoop& loop) : loop_(loop) {
  constexpr int kDefaultBacklog = -1;
  listener_ = internal::NewListener<Relay, &Relay::Accept>(
      loop.base(), "127.0.0.1:0", kDefaultBacklog, *this);
  address_ = internal::AddressOf(listener_).value();
  loop.Every(std::chrono::milliseconds(2), [this] { Flush(); });
}

Relay::~Relay() {
  pairs_.clear();
  evconnlistener_free(listener_);
}

void Relay::Accept(int socket) {
  const std::optional<Address> target = Address::Parse(target_);
  if (!target.has_value()) {
    evutil_closesocket(socket);
    return;
  }
  auto pair = std::make_unique<ConnectionPair>();
  pair->in =
      bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
  pair->out = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  sockaddr_storage storage{};
  const auto length = static_cast<int>(target->ToSocketAddress(storage));
  bufferevent_socket_connect(pair->out, reinterpret_cast<sockaddr*>(&storage),
                             length);
  pair->relay = this;
  const auto forward = [](bufferevent* from, void* arg) {
    auto* self = static_cast<ConnectionPair*>(arg);
    self->relay->Forward(*self, /*to_target=*/from == self->in);
  };
  const auto ended = [](bufferevent*, short what, void* arg) {
    auto* self = static_cast<ConnectionPair*>(arg);
    if (self->closed) {
      return;
    }
    if ((what & BEV_EVENT_ERROR) != 0) {
      self->Close();
    } else if ((what & BEV_EVENT_EOF) != 0) {
      self->half_closed = true;
    }
  };
  for (bufferevent* end : {pair->in, pair->out}) {
    bufferevent_setcb(end, forward, nullptr, ended, pair.get());
    bufferevent_enable(end, EV_READ | EV_WRITE);
  }
  pairs_.push_back(std::move(pair));
}

void Relay::Forward(ConnectionPair& pair, bool to_target) {
  evbuffer* input = bufferevent_get_input(to_target ? pair.in : pair.out);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  pair.queued.push_back({.due = clock_.Now() + delay_,
                         .to_target = to_target,
                         .bytes = std::move(bytes)});
  if (delay_ == Duration::zero()) {
    Flush();
  }
}

void Relay::Flush() {
  const TimePoint now = clock_.Now();
  for (const auto& pair : pairs_) {
    std::deque<ConnectionPair::QueuedBytes> remaining;
    for (ConnectionPair::QueuedBytes& queued : pair->queued) {
      const bool is_held =
          queued.due > now ||
          (queued.to_target ? to_target_blocked_ : from_target_blocked_);
      if (pair->closed) {
        continue;
      }
      if (is_held) {
        remaining.push_back(std::move(queued));
        continue;
      }
      if (queued.to_target && on_forwarded_) {
        on_forwarded_(queued.bytes);
      }
      if (queued.to_target) {
        const std::string repeated = std::exchange(pair->repeated_answer, {});
        bufferevent_write(pair->out, queued.bytes.data(), queued.bytes.size());
        bufferevent_write(pair->in, repeated.data(), repeated.size());
        continue;
      }
      Return(*pair, std::move(queued.bytes));
    }
    pair->queued.swap(remaining);
    SendEndless(*pair);
    if (pair->half_closed && !pair->closed && pair->Drained()) {
      pair->resets ? pair->Reset() : pair->Close();
    }
  }
}

void Relay::Return(ConnectionPair& pair, std::string bytes) {
  constexpr std::string_view kInterim =
      "HTTP/1.1 103 Early Hints\r\nNot-Executed: 1\r\n\r\n";
  if (pair.cut) {
    return;
  }
  pair.endless = pair.endless || endless_;
  if (repeat_period_ > 0 && pair.answers.Feed(bytes) > 0 &&
      ++answers_ % repeat_period_ == 0) {
    pair.repeated_answer = pair.answers.last();
  }
  if (interim_ && bytes.starts_with("HTTP/1.1 ")) {
    bufferevent_write(pair.in, kInterim.data(), kInterim.size());
  }
  pair.cut = cut_period_ > 0 && ++receipts_ % cut_period_ == 0;
  if (pair.cut) {
    bytes.resize(
        std::uniform_int_distribution<size_t>(0, bytes.size())(random_));
  }
  bufferevent_write(pair.in, bytes.data(), bytes.size());
  if (pair.cut) {
    pair.half_closed = true;
    pair.resets = std::bernoulli_distribution()(random_);
  }
}

void Relay::SendEndless(ConnectionPair& pair) {
  constexpr size_t kMaxUnsent = size_t{256} << 10;
  if (!pair.endless || pair.cut || pair.closed ||
      evbuffer_get_length(bufferevent_get_output(pair.in)) > kMaxUnsent) {
    return;
  }
  const std::string bytes(kMaxUnsent, 'x');
  bufferevent_write(pair.in, bytes.data(), bytes.size());
}

void Relay::SetBlocked(bool to_target, bool from_target) {
  to_target_blocked_ = to_target;
  from_target_blocked_ = from_target;
}

void Relay::ResetOpenConnections() {
  for (const auto& pair : pairs_) {
    if (!pair->closed) {
      pair->Reset();
    }
  }
}

void Relay::StallOpenConnections() {
  for (const auto& pair : pairs_) {
    if (!pair->closed) {
      bufferevent_disable(pair->in, EV_READ | EV_WRITE);
      bufferevent_disable(pair->out, EV_READ | EV_WRITE);
    }
  }
}

}  // namespace lavenderkeel::test
