#ifndef REVIEW_STAND_IN_2_DEPLOYMENT_H_
#define REVIEW_STAND_IN_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <boost/json.hpp>
#include <memory>
#include <string>
#include <vector>

#include "review/stand_in_2/net.h"
#include "review/stand_in_2/platform_store.h"
#include "review/stand_in_2/record.h"

namespace review {

/// `graceS` of a small deployment: the time from SIGTERM to SIGKILL.
inline constexpr int kGraceSeconds = 8;

/// Entry as the deploy file starts it: a process of its own, with the settings
/// of a small deployment.
class Entry {
 public:
  Entry(const std::string& name,
        const std::string& directory,
        const std::string& store,
        const boost::json::array& seeds);
  /// Ends the process.
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  int port() const { return clients_.number(); }
  std::string peers() const { return peers_.address(); }
  /// Whether the entry answers the question for its readiness with 200.
  bool IsReady() const;
  /// Sends SIGTERM, and SIGKILL once the grace is over, as the platform does.
  void Stop();
  bool IsRunning();

 private:
  ReservedPort clients_;
  ReservedPort status_;
  ReservedPort peers_;
  pid_t process_ = -1;
  bool ended_ = false;
  std::thread killer_;
};

/// A store and the entries of a small deployment, in a folder of its own.
class Deployment {
 public:
  explicit Deployment(Record& record);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  PlatformStore& store() { return store_; }
  /// Lists a server with some slots.
  void ListServer(const std::string& id,
                  const std::string& service,
                  const Listener& server,
                  int slots);
  /// Starts entries and waits until all are ready.
  /// @return false if one is not ready in time
  bool StartEntries(int count);
  Entry& entry(size_t index) { return *entries_.at(index); }

 private:
  Record& record_;
  std::string directory_;
  PlatformStore store_;
  std::vector<std::unique_ptr<Entry>> entries_;
};

/// Returns a route of the configuration as the operator writes it, with a
/// `timeoutMs` of 12 s.
boost::json::object MakeRoute(const std::string& name,
                              const std::string& kind,
                              const std::string& service);

/// Returns the `limits` of a small deployment.
boost::json::object MakeLimits(int body_bytes);

/// Returns the bytes of a request with a `Deadline-Ms` of 12 s.
std::string MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        const std::string& body);

/// Returns the head of a server's answer, without its framing.
std::string MakeAnswerHead(const Message& request, const std::string& server);

/// Returns a server's answer with a length.
std::string MakeAnswer(const Message& request,
                       const std::string& server,
                       const std::string& body);

}  // namespace review

#endif  // REVIEW_STAND_IN_2_DEPLOYMENT_H_
