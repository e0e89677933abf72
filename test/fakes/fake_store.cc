// Stand-in for the users' store: kinds of objects, lists and watches, over
// HTTP. PUT /objects/KIND/NAME sets an object's spec, DELETE removes it.
#include <boost/json.hpp>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "lavenderkeel/io.h"
#include "test/fakes/stand_in.h"

namespace {

namespace json = boost::json;
using lavenderkeel::CallerId;
using lavenderkeel::HttpRequest;
using lavenderkeel::TimePoint;

/// The number behind `name=` in a query; zero without one.
uint64_t QueryNumber(const std::string& query, const std::string& name) {
  const size_t at = query.find(name + "=");
  return at == std::string::npos
             ? 0
             : std::strtoull(query.c_str() + at + name.size() + 1, nullptr, 10);
}

class FakeStore {
 public:
  FakeStore()
      : http_(loop_,
              {},
              {.on_request = [this](const HttpRequest& r) { OnRequest(r); },
               .on_drained = [](CallerId) {},
               .on_gone = [this](CallerId id) { Forget(id); },
               .on_too_large = [](CallerId) {}}) {}

  int Run(const std::string& listen, const std::string& ready_file) {
    return lavenderkeel::fakes::RunStandIn(loop_, http_, listen, ready_file,
                                           std::chrono::milliseconds(5),
                                           [this] { AnswerWatches(); });
  }

 private:
  struct Object {
    uint64_t revision = 0;
    json::value spec;
  };
  struct Change {
    uint64_t revision = 0;
    std::string kind;
    std::string name;
    bool removed = false;
    json::value spec;
  };
  struct Watch {
    CallerId caller = 0;
    std::string kind;
    uint64_t revision = 0;
    TimePoint until;
  };

  static json::object Metadata(const std::string& name, uint64_t revision) {
    return {{"name", name}, {"revision", revision}};
  }

  void OnRequest(const HttpRequest& request) {
    const std::string prefix = "/objects/";
    const std::string rest =
        request.path.substr(std::min(prefix.size(), request.path.size()));
    const size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name =
        slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (request.method == "PUT") {
      Put(kind, name, json::parse(request.body));
      Answer(request.id, json::object());
    } else if (request.method == "DELETE") {
      Remove(kind, name);
      Answer(request.id, json::object());
    } else if (request.query.find("watch=") != std::string::npos) {
      watches_.push_back(
          {.caller = request.id,
           .kind = kind,
           .revision = QueryNumber(request.query, "watch"),
           .until = clock_.Now() + std::chrono::milliseconds(
                                       QueryNumber(request.query, "waitMs"))});
    } else {
      List(request.id, kind);
    }
  }

  void Put(const std::string& kind, const std::string& name, json::value spec) {
    objects_[kind][name] = {.revision = ++revision_, .spec = spec};
    changes_.push_back({.revision = revision_,
                        .kind = kind,
                        .name = name,
                        .spec = std::move(spec)});
  }

  void Remove(const std::string& kind, const std::string& name) {
    if (objects_[kind].erase(name) > 0) {
      changes_.push_back({.revision = ++revision_,
                          .kind = kind,
                          .name = name,
                          .removed = true});
    }
  }

  void List(CallerId caller, const std::string& kind) {
    json::array items;
    for (const auto& [name, object] : objects_[kind]) {
      items.push_back(
          json::object{{"metadata", Metadata(name, object.revision)},
                       {"spec", object.spec}});
    }
    Answer(caller,
           {{"items", items}, {"hasMore", false}, {"currentRev", revision_}});
  }

  void AnswerWatches() {
    std::vector<Watch> left;
    for (const Watch& watch : watches_) {
      json::array events;
      for (const Change& change : changes_) {
        if (change.kind == watch.kind && change.revision > watch.revision) {
          events.push_back(json::object{
              {"tombstone", change.removed},
              {"object", json::object{{"metadata",
                                       Metadata(change.name, change.revision)},
                                      {"spec", change.spec}}}});
        }
      }
      if (events.empty() && clock_.Now() < watch.until) {
        left.push_back(watch);
        continue;
      }
      Answer(watch.caller, {{"events", events}, {"currentRev", revision_}});
    }
    watches_.swap(left);
  }

  void Answer(CallerId caller, const json::object& body) {
    http_.Handle(lavenderkeel::ReplyWhole{
        .caller = caller,
        .headers = {{"Content-Type", "application/json"}},
        .body = json::serialize(body)});
  }

  void Forget(CallerId caller) {
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
    std::cerr << "use: fake_store LISTEN READY_FILE\n";
    return lavenderkeel::kBadUseStatus;
  }
  lavenderkeel::PrepareProcess();
  return FakeStore().Run(argv[1], argv[2]);
}
