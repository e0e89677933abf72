#ifndef REVIEW_STAND_IN_2_PLATFORM_STORE_H_
#define REVIEW_STAND_IN_2_PLATFORM_STORE_H_

#include <boost/json.hpp>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "review/stand_in_2/net.h"

namespace review {

/// Stand-in of the platform's metadata store: objects by kind and name, lists
/// and watches. It is sound: it answers at once, and loses nothing.
class PlatformStore {
 public:
  PlatformStore()
      : listener_([this](Connection& connection) { Serve(connection); }) {}

  std::string address() const { return listener_.address(); }
  /// Writes the spec of an object, as the operator and the servers do.
  void Put(const std::string& kind,
           const std::string& name,
           boost::json::value spec);

 private:
  using Key = std::pair<std::string, std::string>;
  struct Object {
    uint64_t revision = 0;
    uint64_t created = 0;
    boost::json::value spec;
    boost::json::value status;
  };
  struct Change {
    Key key;
    uint64_t revision = 0;
    boost::json::object event;
  };
  struct Answer {
    int status = 200;
    boost::json::value body = boost::json::object();
  };

  void Serve(Connection& connection);
  Answer Handle(const std::string& method,
                const std::string& target,
                const std::string& body);
  Answer List(const std::string& kind);
  Answer Watch(const std::string& kind, uint64_t revision, int wait_ms);
  Answer Create(const std::string& kind, const boost::json::value& body);
  Answer WriteStatus(const Key& key, const boost::json::value& body);
  Answer Remove(const Key& key, uint64_t revision);
  void RecordChange(const Key& key, const Object& object, bool removed);
  static boost::json::object ToJson(const std::string& name,
                                    const Object& object);

  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 1;
  std::map<Key, Object> objects_;
  std::vector<Change> changes_;
  Listener listener_;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_2_PLATFORM_STORE_H_
