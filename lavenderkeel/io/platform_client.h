#ifndef LAVENDERKEEL_IO_PLATFORM_CLIENT_H_
#define LAVENDERKEEL_IO_PLATFORM_CLIENT_H_

#include <functional>
#include <string>
#include <utility>

#include "lavenderkeel/io/http_client.h"
#include "lavenderkeel/platform/platform_port.h"

namespace lavenderkeel {

/// Executor of PlatformCall actions over HTTP.
class PlatformClient {
 public:
  using OnReply = std::function<void(PlatformCallId, const PlatformReply&)>;

  PlatformClient(HttpClient& http, std::string address, OnReply on_reply)
      : http_(http),
        address_(std::move(address)),
        on_reply_(std::move(on_reply)) {}

  void Handle(const PlatformCall& call);

 private:
  HttpClient& http_;
  std::string address_;
  OnReply on_reply_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_IO_PLATFORM_CLIENT_H_
