#ifndef LAVENDERKEEL_REVIEW_STAND_IN_HTTP_H_
#define LAVENDERKEEL_REVIEW_STAND_IN_HTTP_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Fields = std::vector<std::pair<std::string, std::string>>;

/// Returns the first value of the field; empty if there is none.
std::string FieldOf(const Fields& fields, std::string_view name);

/// The head of an HTTP/1.1 message.
struct Head {
  std::string first_line;
  Fields fields;

  std::string method() const;
  std::string target() const;
  int status() const;
};

/// A message with its whole body.
struct Message {
  Head head;
  std::string body;
  /// False if the connection ended before the message did.
  bool whole = false;
};

/// One blocking connection over the loopback interface.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @return null if the address refuses the connection
  static std::unique_ptr<Connection> Dial(int port);

  /// A read that takes longer fails.
  void set_read_timeout(int ms);
  bool Write(std::string_view bytes);
  /// @return false if the connection ends first
  bool ReadHead(Head& head);
  /// Reads the body of a head with a length or in chunks.
  bool ReadBody(const Head& head, std::string& body);
  Message Read();
  /// Ends the connection from another thread, with a reset.
  void Reset();
  /// Returns whether the peer has closed its side.
  bool IsPeerGone() const;

 private:
  bool Fill();
  bool ReadLine(std::string& line);
  bool ReadBytes(size_t count, std::string& bytes);

  int socket_;
  std::string received_;
};

/// A server with one thread for each connection.
class Server {
 public:
  /// Serves one connection until it returns.
  using Serve = std::function<void(Connection&)>;

  explicit Server(Serve serve);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int port() const { return port_; }
  /// Refuses new connections and resets the open ones, as the end of the
  /// process does.
  void End();

 private:
  void AcceptAll();

  Serve serve_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> ended_ = false;
  std::mutex mutex_;
  std::set<Connection*> open_;
};

/// Binds free ports of the loopback interface and releases them again.
std::vector<int> FreePorts(size_t count);

/// Appends the lines of a head.
void AppendFields(const Fields& fields, std::string& bytes);

std::string Response(int status,
                     const std::string& reason,
                     const Fields& fields,
                     const std::string& body);

}  // namespace review

#endif  // LAVENDERKEEL_REVIEW_STAND_IN_HTTP_H_
