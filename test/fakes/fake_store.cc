// Fake of the platform's object store: objects by kind, lists and watches over
// HTTP. PUT /objects/KIND/NAME sets an object's spec. POST /objects/KIND
// creates the object that the request names, unless it exists. PUT
// /objects/KIND/NAME/status sets its status, if the object still has the
// revision in the request. DELETE /objects/KIND/NAME removes the object. Lists
// come in pages of a few objects.
#include <boost/json.hpp>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lavenderkeel/io.h"
#include "test/fakes/fake_server.h"

namespace {

namespace json = boost::json;
using lavenderkeel::CallerId;
using lavenderkeel::HttpRequest;
using lavenderkeel::TimePoint;

/// Returns the value of a query parameter; empty if it is missing.
std::string QueryText(const std::string& query, const std::string& name) {
  const size_t at = query.find(name + "=");
  if (at == std::string::npos) {
    return {};
  }
  const size_t begin = at + name.size() + 1;
  return query.substr(begin, query.find('&', begin) - begin);
}

/// Returns the numeric value of a query parameter; zero if it is missing.
uint64_t QueryNumber(const std::string& query, const std::string& name) {
  return std::strtoull(QueryText(query, name).c_str(), nullptr, 10);
}

std::string Nested(const std::string& open,
                   const std::string& close,
                   size_t depth) {
  std::string text;
  for (size_t i = 0; i < depth; ++i) {
    text += open;
  }
  text += "1";
  for (size_t i = 0; i < depth; ++i) {
    text += close;
  }
  return text;
}

class FakeStore {
 public:
  FakeStore()
      : http_(loop_,
              {},
              {.on_request = [this](const HttpRequest& r) { OnRequest(r); },
               .on_drained = [](CallerId) {},
               .on_gone = [this](CallerId id) { RemoveWatches(id); }}) {}

  int Run(const std::string& listen, const std::string& ready_file) {
    return lavenderkeel::fakes::RunFakeServer(loop_, http_, listen, ready_file,
                                              std::chrono::milliseconds(5),
                                              [this] { AnswerWatches(); });
  }

 private:
  struct Object {
    uint64_t revision = 0;
    uint64_t created = 0;
    json::value spec;
    json::value status;
  };
  struct Change {
    uint64_t revision = 0;
    std::string kind;
    std::string name;
    bool removed = false;
    Object object;
  };
  struct Watch {
    CallerId caller = 0;
    std::string kind;
    uint64_t revision = 0;
    TimePoint until;
  };

  static json::object ToJson(const std::string& name, const Object& object) {
    return {{"metadata",
             {{"name", name},
              {"revision", object.revision},
              {"created", object.created}}},
            {"spec", object.spec},
            {"status", object.status}};
  }

  void OnRequest(const HttpRequest& request) {
    const std::string prefix = "/objects/";
    const std::string rest =
        request.path.substr(std::min(prefix.size(), request.path.size()));
    const size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name =
        slash == std::string::npos ? "" : rest.substr(slash + 1);
    constexpr std::string_view kStatus = "/status";
    if (request.method == "PUT" && name.ends_with(kStatus)) {
      PutStatus(request.id, kind, name.substr(0, name.size() - kStatus.size()),
                json::parse(request.body));
    } else if (request.method == "PUT") {
      Put(kind, name, json::parse(request.body));
      Answer(request.id, json::object());
    } else if (request.method == "POST") {
      Create(request.id, kind, json::parse(request.body));
    } else if (request.method == "DELETE") {
      const uint64_t revision = QueryNumber(request.query, "revision");
      const auto found = objects_[kind].find(name);
      if (revision == 0 || (found != objects_[kind].end() &&
                            found->second.revision == revision)) {
        Remove(kind, name);
      }
      Answer(request.id, json::object());
    } else if (request.query.find("watch=") != std::string::npos) {
      watches_.push_back(
          {.caller = request.id,
           .kind = kind,
           .revision = QueryNumber(request.query, "watch"),
           .until = clock_.Now() + std::chrono::milliseconds(
                                       QueryNumber(request.query, "waitMs"))});
    } else {
      List(request.id, kind, QueryText(request.query, "afterRev"));
    }
  }

  void Put(const std::string& kind, const std::string& name, json::value spec) {
    Object& object = objects_[kind][name];
    object.revision = ++revision_;
    object.created = object.created == 0 ? revision_ : object.created;
    object.spec = std::move(spec);
    RecordChange(kind, name, object);
  }

  void Create(CallerId caller, const std::string& kind, json::value body) {
    constexpr int kConflict = 409;
    const std::string name(body.at("metadata").at("name").as_string());
    if (objects_[kind].contains(name)) {
      Answer(caller, ToJson(name, objects_[kind][name]), kConflict);
      return;
    }
    Put(kind, name, body.at("spec"));
    Answer(caller, ToJson(name, objects_[kind][name]));
  }

  void PutStatus(CallerId caller,
                 const std::string& kind,
                 const std::string& name,
                 const json::value& body) {
    constexpr int kNotFound = 404;
    constexpr int kConflict = 409;
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end()) {
      Answer(caller, json::object(), kNotFound);
      return;
    }
    Object& object = found->second;
    if (body.at("metadata").at("revision").to_number<uint64_t>() !=
        object.revision) {
      Answer(caller, ToJson(name, object), kConflict);
      return;
    }
    object.revision = ++revision_;
    object.status = body.at("status");
    RecordChange(kind, name, object);
    Answer(caller, ToJson(name, object));
  }

  void RecordChange(const std::string& kind,
                    const std::string& name,
                    const Object& object) {
    changes_.push_back({.revision = object.revision,
                        .kind = kind,
                        .name = name,
                        .object = object});
  }

  void Remove(const std::string& kind, const std::string& name) {
    if (objects_[kind].erase(name) > 0) {
      changes_.push_back({.revision = ++revision_,
                          .kind = kind,
                          .name = name,
                          .removed = true,
                          .object = {.revision = revision_}});
    }
  }

  /// @param after name after which the page begins
  void List(CallerId caller,
            const std::string& kind,
            const std::string& after) {
    constexpr size_t kPageObjects = 5;
    const std::map<std::string, Object>& objects = objects_[kind];
    json::array items;
    auto object = objects.upper_bound(after);
    for (; object != objects.end() && items.size() < kPageObjects; ++object) {
      items.push_back(ToJson(object->first, object->second));
    }
    Answer(caller, {{"items", items},
                    {"hasMore", object != objects.end()},
                    {"currentRev", revision_}});
  }

  void AnswerWatches() {
    std::vector<Watch> remaining;
    for (const Watch& watch : watches_) {
      json::array events;
      for (const Change& change : changes_) {
        if (change.kind == watch.kind && change.revision > watch.revision) {
          events.push_back(
              json::object{{"tombstone", change.removed},
                           {"object", ToJson(change.name, change.object)}});
        }
      }
      if (events.empty() && clock_.Now() < watch.until) {
        remaining.push_back(watch);
        continue;
      }
      Answer(watch.caller, {{"events", events}, {"currentRev", revision_}});
    }
    watches_.swap(remaining);
  }

  void Answer(CallerId caller, const json::object& body, int status = 200) {
    http_.Handle(lavenderkeel::ReplyComplete{
        .caller = caller,
        .status = status,
        .headers = {{"Content-Type", "application/json"}},
        .body = WithUnreadableValues(json::serialize(body))});
  }

  /// Replaces texts that stand for values which a JSON parser rejects.
  static std::string WithUnreadableValues(std::string text) {
    const std::pair<std::string, std::string> values[] = {
        {"\"@surrogate\"", R"("\udcff")"},
        {"\"@control\"", "\"\x01\""},
        {"\"@number\"", "1e99999999999"},
        {"\"@digits\"", std::string(400, '9')},
        {"\"@nested\"", Nested("[", "]", 500)},
        {"\"@deep\"", Nested("[", "]", 100'000)},
        {"\"@deep objects\"", Nested(R"({"a":)", "}", 100'000)}};
    for (const auto& [name, value] : values) {
      for (size_t at = text.find(name); at != std::string::npos;
           at = text.find(name, at)) {
        text.replace(at, name.size(), value);
        at += value.size();
      }
    }
    return text;
  }

  void RemoveWatches(CallerId caller) {
    std::erase_if(watches_, [caller](const Watch& watch) {
      return watch.caller == caller;
    });
  }

  lavenderkeel::SystemClock clock_;
  lavenderkeel::EventLoop loop_;
  lavenderkeel::HttpServer http_;
  uint64_t revision_ = 0;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::deque<Change> changes_;
  std::vector<Watch> watches_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: fake_store LISTEN READY_FILE\n";
    return lavenderkeel::kBadUseStatus;
  }
  lavenderkeel::PrepareProcess();
  return FakeStore().Run(argv[1], argv[2]);
}
