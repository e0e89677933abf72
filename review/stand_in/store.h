#ifndef LAVENDERKEEL_REVIEW_STAND_IN_STORE_H_
#define LAVENDERKEEL_REVIEW_STAND_IN_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "review/stand_in/http.h"

namespace review {

/// Stand-in for the platform's metadata store: objects with a spec and a
/// status, lists in pages and watches. The operator and the servers write
/// through its member functions, whose return is the acknowledgement.
class Store {
 public:
  Store();

  int port() const { return server_.port(); }
  /// Sets the spec of an object.
  /// @param spec JSON text, which is stored and handed out as it is
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);

 private:
  struct Object {
    uint64_t revision = 0;
    uint64_t created = 0;
    std::string spec = "{}";
    std::string status = "{}";
  };
  struct Change {
    std::string kind;
    uint64_t revision = 0;
    /// The event in JSON.
    std::string event;
  };

  void Serve(Connection& connection);
  std::string Answer(const Message& request);
  std::string Create(const std::string& kind, const std::string& body);
  std::string SetStatus(const std::string& kind,
                        const std::string& name,
                        const std::string& body);
  std::string Delete(const std::string& kind,
                     const std::string& name,
                     uint64_t revision);
  std::string List(const std::string& kind, const std::string& after);
  std::string Watch(const std::string& kind, uint64_t revision, uint64_t ms);
  void Record(const std::string& kind, const std::string& name);
  void RemoveLocked(const std::string& kind, const std::string& name);
  static std::string ToJson(const std::string& name, const Object& object);

  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Change> changes_;
  Server server_;
};

}  // namespace review

#endif  // LAVENDERKEEL_REVIEW_STAND_IN_STORE_H_
