#ifndef REVIEW_STAND_IN_2_NET_H_
#define REVIEW_STAND_IN_2_NET_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// Returns the seconds since the first call.
double SecondsNow();
void SleepMs(int milliseconds);

/// Head and body of a request or an answer. Names of fields are in lower case.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string body;

  /// Returns the value of a field; empty if it is missing.
  std::string Field(const std::string& name) const;
};

/// TCP connection on a loopback address. Reads wait for a peer up to a time.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @param receive_buffer size of the receive buffer; 0: as usual
  /// @return a socket, or -1 if the port does not accept
  static int Dial(int port, int receive_buffer = 0);

  /// @return false if the peer has closed the connection
  bool Write(std::string_view bytes);
  /// Reads a message with its whole body, by its length or in chunks.
  /// @param on_head called before the body is read
  /// @return nothing if the connection ends before the end of the message, or
  ///     the time is over
  std::optional<Message> Read(
      TimePoint until,
      const std::function<void(const Message&)>& on_head = {});
  /// Whether the last read ended since the time was over.
  bool timed_out() const { return timed_out_; }
  /// Bytes of the body that the last read has received.
  size_t body_bytes() const { return body_bytes_; }

 private:
  bool Fill(TimePoint until);
  std::optional<std::string> Line(TimePoint until);
  std::optional<std::string> Bytes(size_t count, TimePoint until);
  bool ReadChunks(Message& message, TimePoint until);

  int socket_;
  std::string input_;
  bool timed_out_ = false;
  size_t body_bytes_ = 0;
};

/// Listens on a free loopback port and handles each connection in a thread.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;

  explicit Listener(Handler handler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  int port() const { return port_; }
  std::string address() const;

 private:
  /// Set by the initialisation of the socket.
  int port_ = 0;
  int socket_;
  Handler handler_;
  std::thread thread_;
};

/// Loopback port that is kept for a process of the script: nothing else is
/// given this port as long as the object lives. The process can listen there,
/// since its sockets reuse addresses.
class ReservedPort {
 public:
  ReservedPort();
  ~ReservedPort();
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  int number() const { return number_; }
  std::string address() const;

 private:
  /// Set by the initialisation of the socket.
  int number_ = 0;
  int socket_;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_2_NET_H_
