#include "review/stand_in/store.h"

#include <boost/json.hpp>
#include <chrono>
#include <cstdlib>

namespace review {

namespace {

namespace json = boost::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

std::string JsonAnswer(int status, const std::string& body) {
  return Response(
      status, "answer",
      {{"Content-Type", "application/json"}, {"Connection", "close"}}, body);
}

/// Returns the value of a parameter of the query; empty if there is none.
std::string Parameter(const std::string& target, const std::string& name) {
  for (const char* start : {"?", "&"}) {
    const std::string key = start + name + "=";
    const size_t at = target.find(key);
    if (at != std::string::npos) {
      const size_t begin = at + key.size();
      return target.substr(begin, target.find('&', begin) - begin);
    }
  }
  return {};
}

uint64_t NumberParameter(const std::string& target, const std::string& name) {
  return std::strtoull(Parameter(target, name).c_str(), nullptr, 10);
}

}  // namespace

Store::Store()
    : server_([this](Connection& connection) { Serve(connection); }) {}

void Store::Put(const std::string& kind,
                const std::string& name,
                const std::string& spec) {
  const std::lock_guard lock(mutex_);
  objects_[kind][name].spec = spec;
  Record(kind, name);
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  RemoveLocked(kind, name);
}

void Store::RemoveLocked(const std::string& kind, const std::string& name) {
  const auto found = objects_[kind].find(name);
  if (found == objects_[kind].end()) {
    return;
  }
  found->second.revision = ++revision_;
  changes_.push_back({.kind = kind,
                      .revision = revision_,
                      .event = R"({"tombstone":true,"object":)" +
                               ToJson(name, found->second) + "}"});
  objects_[kind].erase(found);
  changed_.notify_all();
}

void Store::Record(const std::string& kind, const std::string& name) {
  Object& object = objects_[kind][name];
  object.revision = ++revision_;
  object.created = object.created == 0 ? revision_ : object.created;
  changes_.push_back({.kind = kind,
                      .revision = revision_,
                      .event = R"({"tombstone":false,"object":)" +
                               ToJson(name, object) + "}"});
  changed_.notify_all();
}

std::string Store::ToJson(const std::string& name, const Object& object) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" +
         std::to_string(object.revision) + R"(,"created":)" +
         std::to_string(object.created) +
         R"(,"finalizers":[],"deleting":false},"spec":)" + object.spec +
         R"(,"status":)" + object.status + "}";
}

void Store::Serve(Connection& connection) {
  const Message request = connection.Read();
  if (request.whole) {
    connection.Write(Answer(request));
  }
}

std::string Store::Answer(const Message& request) {
  const std::string target = request.head.target();
  const std::string path = target.substr(0, target.find('?'));
  const std::string prefix = "/objects/";
  if (!path.starts_with(prefix)) {
    return JsonAnswer(kNotFound, "{}");
  }
  const std::string rest = path.substr(prefix.size());
  const size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
  const std::string method = request.head.method();
  if (method == "POST") {
    return Create(kind, request.body);
  }
  if (method == "DELETE") {
    return Delete(kind, name, NumberParameter(target, "revision"));
  }
  if (method == "PUT") {
    const std::string suffix = "/status";
    name.resize(name.size() - (name.ends_with(suffix) ? suffix.size() : 0));
    return SetStatus(kind, name, request.body);
  }
  if (!Parameter(target, "watch").empty()) {
    return Watch(kind, NumberParameter(target, "watch"),
                 NumberParameter(target, "waitMs"));
  }
  return List(kind, Parameter(target, "afterRev"));
}

std::string Store::Create(const std::string& kind, const std::string& body) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  const std::string name =
      error ? "" : std::string(value.at("metadata").at("name").as_string());
  const std::lock_guard lock(mutex_);
  if (objects_[kind].contains(name)) {
    return JsonAnswer(kConflict, ToJson(name, objects_[kind][name]));
  }
  objects_[kind][name].spec = json::serialize(value.at("spec"));
  Record(kind, name);
  return JsonAnswer(kOk, ToJson(name, objects_[kind][name]));
}

std::string Store::SetStatus(const std::string& kind,
                             const std::string& name,
                             const std::string& body) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  const std::lock_guard lock(mutex_);
  const auto found = objects_[kind].find(name);
  if (error || found == objects_[kind].end()) {
    return JsonAnswer(kNotFound, "{}");
  }
  const auto revision =
      value.at("metadata").at("revision").to_number<uint64_t>();
  if (revision != found->second.revision) {
    return JsonAnswer(kConflict, ToJson(name, found->second));
  }
  found->second.status = json::serialize(value.at("status"));
  Record(kind, name);
  return JsonAnswer(kOk, ToJson(name, found->second));
}

std::string Store::Delete(const std::string& kind,
                          const std::string& name,
                          uint64_t revision) {
  const std::lock_guard lock(mutex_);
  const auto found = objects_[kind].find(name);
  if (found == objects_[kind].end()) {
    return JsonAnswer(kNotFound, "{}");
  }
  if (revision != 0 && revision != found->second.revision) {
    return JsonAnswer(kConflict, ToJson(name, found->second));
  }
  RemoveLocked(kind, name);
  return JsonAnswer(kOk, "{}");
}

std::string Store::List(const std::string& kind, const std::string& after) {
  constexpr int kPage = 500;
  const std::lock_guard lock(mutex_);
  std::string items;
  int count = 0;
  auto object = objects_[kind].upper_bound(after);
  for (; object != objects_[kind].end() && count < kPage; ++object, ++count) {
    items += (count == 0 ? "" : ",") + ToJson(object->first, object->second);
  }
  const bool more = object != objects_[kind].end();
  return JsonAnswer(kOk, R"({"items":[)" + items + R"(],"hasMore":)" +
                             (more ? "true" : "false") + R"(,"currentRev":)" +
                             std::to_string(revision_) + "}");
}

std::string Store::Watch(const std::string& kind,
                         uint64_t revision,
                         uint64_t ms) {
  std::unique_lock lock(mutex_);
  std::string events;
  const auto collect = [&] {
    for (const Change& change : changes_) {
      if (change.kind == kind && change.revision > revision) {
        events += (events.empty() ? "" : ",") + change.event;
      }
    }
    return !events.empty();
  };
  changed_.wait_for(lock, std::chrono::milliseconds(ms), collect);
  return JsonAnswer(kOk, R"({"events":[)" + events + R"(],"currentRev":)" +
                             std::to_string(revision_) + "}");
}

}  // namespace review
