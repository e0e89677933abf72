#include "review/stand_in_2/platform_store.h"

#include <cstdlib>
#include <optional>

namespace review {

namespace json = boost::json;

namespace {

constexpr int kNotFound = 404;
constexpr int kConflict = 409;

/// Returns the value of a query parameter; zero if it is missing.
uint64_t QueryNumber(const std::string& query, const std::string& name) {
  const size_t at = query.find(name + "=");
  return at == std::string::npos
             ? 0
             : std::strtoull(query.c_str() + at + name.size() + 1, nullptr, 10);
}

}  // namespace

void PlatformStore::Put(const std::string& kind,
                        const std::string& name,
                        json::value spec) {
  const std::lock_guard lock(mutex_);
  Object& object = objects_[{kind, name}];
  object.revision = ++revision_;
  object.created = object.created == 0 ? revision_ : object.created;
  object.spec = std::move(spec);
  RecordChange({kind, name}, object, /*removed=*/false);
}

void PlatformStore::Serve(Connection& connection) {
  constexpr auto kIdleTime = std::chrono::seconds(60);
  while (const std::optional<Message> request =
             connection.Read(Clock::now() + kIdleTime)) {
    const std::string& line = request->first_line;
    const size_t target = line.find(' ') + 1;
    const Answer answer = Handle(
        line.substr(0, target - 1),
        line.substr(target, line.find(' ', target) - target), request->body);
    const std::string body = json::serialize(answer.body);
    if (!connection.Write("HTTP/1.1 " + std::to_string(answer.status) +
                          " Status\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

PlatformStore::Answer PlatformStore::Handle(const std::string& method,
                                            const std::string& target,
                                            const std::string& body) {
  const std::string prefix = "/objects/";
  const size_t question = std::min(target.find('?'), target.size());
  const std::string query = target.substr(question);
  const std::string path = target.substr(0, question);
  if (!path.starts_with(prefix)) {
    return {.status = kNotFound};
  }
  const std::string rest = path.substr(prefix.size());
  const size_t slash = std::min(rest.find('/'), rest.size());
  const std::string kind = rest.substr(0, slash);
  std::string name = rest.substr(std::min(slash + 1, rest.size()));
  if (method == "GET" && name.empty()) {
    return query.find("watch=") == std::string::npos
               ? List(kind)
               : Watch(kind, QueryNumber(query, "watch"),
                       static_cast<int>(QueryNumber(query, "waitMs")));
  }
  const std::string status = "/status";
  if (method == "POST") {
    return Create(kind, json::parse(body));
  }
  if (method == "PUT" && name.ends_with(status)) {
    name.resize(name.size() - status.size());
    return WriteStatus({kind, name}, json::parse(body));
  }
  if (method == "DELETE") {
    return Remove({kind, name}, QueryNumber(query, "revision"));
  }
  return {.status = kNotFound};
}

json::object PlatformStore::ToJson(const std::string& name,
                                   const Object& object) {
  return {{"metadata",
           {{"name", name},
            {"revision", object.revision},
            {"created", object.created},
            {"finalizers", json::array()},
            {"deleting", false}}},
          {"spec", object.spec},
          {"status", object.status}};
}

PlatformStore::Answer PlatformStore::List(const std::string& kind) {
  const std::lock_guard lock(mutex_);
  json::array items;
  for (const auto& [key, object] : objects_) {
    if (key.first == kind) {
      items.push_back(ToJson(key.second, object));
    }
  }
  return {.body = json::object{
              {"items", items}, {"hasMore", false}, {"currentRev", revision_}}};
}

PlatformStore::Answer PlatformStore::Watch(const std::string& kind,
                                           uint64_t revision,
                                           int wait_ms) {
  const TimePoint until = Clock::now() + std::chrono::milliseconds(wait_ms);
  std::unique_lock lock(mutex_);
  while (true) {
    json::array events;
    for (const Change& change : changes_) {
      if (change.key.first == kind && change.revision > revision) {
        events.push_back(change.event);
      }
    }
    if (!events.empty() || Clock::now() >= until) {
      return {.body =
                  json::object{{"events", events}, {"currentRev", revision_}}};
    }
    changed_.wait_until(lock, until);
  }
}

PlatformStore::Answer PlatformStore::Create(const std::string& kind,
                                            const json::value& body) {
  const std::string name(body.at("metadata").at("name").as_string());
  const std::lock_guard lock(mutex_);
  const auto [position, inserted] = objects_.try_emplace({kind, name});
  Object& object = position->second;
  if (!inserted) {
    return {.status = kConflict, .body = ToJson(name, object)};
  }
  object = {.revision = ++revision_,
            .created = revision_,
            .spec = body.at("spec"),
            .status = nullptr};
  RecordChange({kind, name}, object, /*removed=*/false);
  return {.body = ToJson(name, object)};
}

PlatformStore::Answer PlatformStore::WriteStatus(const Key& key,
                                                 const json::value& body) {
  const std::lock_guard lock(mutex_);
  const auto found = objects_.find(key);
  if (found == objects_.end()) {
    return {.status = kNotFound};
  }
  Object& object = found->second;
  if (body.at("metadata").at("revision").to_number<uint64_t>() !=
      object.revision) {
    return {.status = kConflict, .body = ToJson(key.second, object)};
  }
  object.revision = ++revision_;
  object.status = body.at("status");
  RecordChange(key, object, /*removed=*/false);
  return {.body = ToJson(key.second, object)};
}

PlatformStore::Answer PlatformStore::Remove(const Key& key, uint64_t revision) {
  const std::lock_guard lock(mutex_);
  const auto found = objects_.find(key);
  if (found == objects_.end()) {
    return {.status = kNotFound};
  }
  Object& object = found->second;
  if (revision != 0 && revision != object.revision) {
    return {.status = kConflict, .body = ToJson(key.second, object)};
  }
  object.revision = ++revision_;
  RecordChange(key, object, /*removed=*/true);
  objects_.erase(found);
  return {};
}

void PlatformStore::RecordChange(const Key& key,
                                 const Object& object,
                                 bool removed) {
  changes_.push_back({.key = key,
                      .revision = object.revision,
                      .event = {{"object", ToJson(key.second, object)},
                                {"tombstone", removed}}});
  changed_.notify_all();
}

}  // namespace review
