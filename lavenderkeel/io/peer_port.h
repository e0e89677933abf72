#ifndef LAVENDERKEEL_IO_PEER_PORT_H_
#define LAVENDERKEEL_IO_PEER_PORT_H_

#include <sigc++/sigc++.h>

#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "lavenderkeel/action/action.h"
#include "lavenderkeel/base/event_log.h"
#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/membership/instance_info.h"
#include "lavenderkeel/memory/process_limits.h"

struct bufferevent;
struct evconnlistener;

namespace lavenderkeel {

/// Framed TCP connections to other processes: listens, dials and performs
/// handshakes.
class PeerPort {
 public:
  struct Options {
    Duration handshake_timeout = std::chrono::seconds(3);
    /// Unsent bytes to one peer above which its connection is dropped.
    size_t max_unsent_bytes = size_t{64} << 20;
    /// The same for all peers together, above which the connection with the
    /// most is dropped.
    size_t max_total_unsent_bytes = size_t{128} << 20;
    size_t max_pending_handshakes = 1024;
    /// Accepted connections above which further ones are closed.
    size_t max_accepted = std::numeric_limits<size_t>::max();
    /// Frames that have arrived in part, above which the connection whose frame
    /// is the oldest is dropped.
    size_t max_partial_frame_bytes = size_t{64} << 20;
    /// A frame that takes longer than this to arrive ends its connection.
    Duration frame_timeout = std::chrono::seconds(30);
  };
  /// Returns the options for the memory and the descriptors of the process.
  static Options OptionsFor(const ProcessLimits& limits);

  /// @param self identity that this process sends in its handshake
  PeerPort(EventLoop& loop,
           Options options,
           const InstanceInfo& self,
           const EventLog& log);
  ~PeerPort();
  PeerPort(const PeerPort&) = delete;
  PeerPort& operator=(const PeerPort&) = delete;

  std::optional<std::string> Listen(const std::string& address);

  void Handle(const SendMessage& send);
  void Handle(const CloseLink& close);
  void Handle(const Dial& dial);
  /// Drops connections whose handshake is overdue.
  void Tick(TimePoint now);

  /// Emitted once the handshake is complete. The last argument is the address
  /// that was dialled.
  sigc::signal<void(LinkId, const InstanceInfo&, const std::string&)>&
  signal_up() {
    return signal_up_;
  }
  sigc::signal<void(LinkId, Message&)>& signal_message() {
    return signal_message_;
  }
  /// Emitted only after signal_up, and not after CloseLink.
  sigc::signal<void(LinkId)>& signal_down() { return signal_down_; }
  sigc::signal<void(const std::string&)>& signal_dial_failed() {
    return signal_dial_failed_;
  }

  /// Returns the number of bytes not yet sent to peers.
  size_t unsent() const;
  uint64_t bytes_sent() const { return bytes_sent_; }
  uint64_t bytes_received() const { return bytes_received_; }
  /// Number of received messages of unknown types, which later versions send.
  uint64_t messages_skipped() const { return messages_skipped_; }
  /// Number of connections that were closed since there were too many.
  uint64_t refused() const { return refused_; }
  /// Number of messages that were not sent since they exceed a frame.
  uint64_t messages_too_large() const { return messages_too_large_; }

 private:
  struct Connection;

  void Accept(int socket);
  Connection& Open(bufferevent* events, const std::string& dialed);
  void SendHello(Connection& connection);
  void OnReadable(Connection& connection);
  bool OnFrame(Connection& connection, const std::vector<uint8_t>& frame);
  bool OnHello(Connection& connection, const Message& message);
  void Drop(LinkId link, const std::string& why);
  /// Accounts what has arrived of an incomplete frame.
  void AccountInput(Connection& connection);
  void EndPartialFrame(Connection& connection);
  void DropOldestPartialFrame();
  /// Drops the peer with the most unsent bytes if all have too many.
  void DropLargestUnsent();

  EventLoop& loop_;
  Options options_;
  const InstanceInfo& self_;
  const EventLog& log_;
  evconnlistener* listener_ = nullptr;
  LinkId last_ = 0;
  size_t pending_handshakes_ = 0;
  size_t accepted_ = 0;
  size_t partial_frame_bytes_ = 0;
  std::unordered_map<LinkId, std::unique_ptr<Connection>> connections_;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
  uint64_t messages_skipped_ = 0;
  uint64_t messages_too_large_ = 0;
  uint64_t refused_ = 0;
  sigc::signal<void(LinkId, const InstanceInfo&, const std::string&)>
      signal_up_;
  sigc::signal<void(LinkId, Message&)> signal_message_;
  sigc::signal<void(LinkId)> signal_down_;
  sigc::signal<void(const std::string&)> signal_dial_failed_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_PEER_PORT_H_
