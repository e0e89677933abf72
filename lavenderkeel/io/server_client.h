#ifndef LAVENDERKEEL_IO_SERVER_CLIENT_H_
#define LAVENDERKEEL_IO_SERVER_CLIENT_H_

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "lavenderkeel/gate/run_controller.h"
#include "lavenderkeel/io/http_client.h"

namespace lavenderkeel {

/// Executor of ServerStart, ServerResume and ServerCancel actions at one
/// backend server over HTTP; parses the event streams of its answers.
class ServerClient {
 public:
  /// @param execute_actions called after events are passed on
  ServerClient(HttpClient& http,
               std::string address,
               RunController& runs,
               std::function<void()> execute_actions);

  void Handle(const ServerStart& start);
  void Handle(const ServerResume& resume);
  void Handle(const ServerCancel& cancel);

 private:
  struct Stream {
    HttpClient::CallId call = 0;
    /// Received bytes of an incomplete line.
    std::string line;
    bool finished = false;
  };

  void OpenStream(RunId run, HttpClient::Call call);
  void OnBytes(RunId run, std::string_view bytes);
  /// @return false if the rest of the stream is not read
  bool OnLine(RunId run, Stream& stream, std::string_view line);
  bool OnEvent(RunId run, Stream& stream, std::string_view event);
  /// Closes a stream that can't be read any further.
  void DropUnreadable(RunId run, ServerDisconnect why);
  void OnStreamDone(RunId run, const HttpResult& result);
  void CallService(const ServerStart& start);
  void Drop(RunId run);

  HttpClient& http_;
  std::string address_;
  RunController& runs_;
  std::function<void()> execute_actions_;
  std::unordered_map<RunId, Stream> streams_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_SERVER_CLIENT_H_
