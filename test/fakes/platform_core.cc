#include "test/fakes/platform_core.h"

#include <boost/json.hpp>
#include <charconv>

namespace lavenderkeel::fakes {

namespace json = boost::json;

namespace {

constexpr std::string_view kObjects = "/objects/";
constexpr std::string_view kPrefixQuery = "/objects?prefix=";
constexpr std::string_view kInstances = "instances/";
constexpr size_t kMaxBody = size_t{1} << 20;

}  // namespace

PlatformReply PlatformCore::Handle(const PlatformCall& call) {
  ++calls_;
  if (mode_ == Mode::kOutage) {
    return {.status = 503, .etag = "", .body = ""};
  }
  if (call.method == "GET" && call.path == "/instances") {
    return {.status = 200, .etag = "", .body = InstanceList()};
  }
  if (call.method == "GET" && call.path.starts_with(kPrefixQuery)) {
    return {.status = 200,
            .etag = "",
            .body = Names(call.path.substr(kPrefixQuery.size()))};
  }
  if (!call.path.starts_with(kObjects)) {
    return {.status = 404, .etag = "", .body = ""};
  }
  const std::string rest = call.path.substr(kObjects.size());
  if (call.method == "GET") {
    return Read(rest);
  }
  const PlatformReply reply = Write(call, rest);
  const bool lost = mode_ == Mode::kLoseWriteAnswers && reply.ok();
  return lost ? PlatformReply() : reply;
}

PlatformReply PlatformCore::Read(const std::string& path) const {
  const size_t question = path.find('?');
  const std::string name = path.substr(0, question);
  const auto found = objects_.find(name);
  if (found == objects_.end()) {
    return {.status = 404, .etag = "", .body = ""};
  }
  constexpr std::string_view kAfter = "after=";
  const size_t after = path.find(kAfter);
  if (after != std::string::npos) {
    uint64_t version = 0;
    std::from_chars(path.data() + after + kAfter.size(),
                    path.data() + path.size(), version);
    if (found->second.version <= version) {
      return {.status = 304, .etag = "", .body = ""};
    }
  }
  return {.status = 200,
          .etag = std::to_string(found->second.version),
          .body = found->second.body};
}

PlatformReply PlatformCore::Write(const PlatformCall& call,
                                  const std::string& name) {
  if (call.body.size() > kMaxBody) {
    return {.status = 413, .etag = "", .body = ""};
  }
  const auto found = objects_.find(name);
  const bool exists = found != objects_.end();
  const bool creates = call.if_match == "*";
  const bool matches =
      exists && call.if_match == std::to_string(found->second.version);
  if (creates ? exists : !matches) {
    return {.status = 412, .etag = "", .body = ""};
  }
  if (call.method == "DELETE") {
    objects_.erase(found);
    return {.status = 200, .etag = "", .body = ""};
  }
  objects_[name] = {.body = call.body, .version = ++last_version_};
  if (on_write) {
    on_write(name);
  }
  return {.status = exists ? 200 : 201,
          .etag = std::to_string(last_version_),
          .body = ""};
}

std::string PlatformCore::InstanceList() const {
  // The bodies are not parsed: another writer's need not be valid.
  std::string instances;
  for (auto it = objects_.lower_bound(std::string(kInstances));
       it != objects_.end() && it->first.starts_with(kInstances); ++it) {
    instances += (instances.empty() ? "" : ",") + it->second.body;
  }
  return R"({"instances":[)" + instances + "]}";
}

void PlatformCore::Put(const std::string& name, const std::string& body) {
  objects_[name] = {.body = body, .version = ++last_version_};
}

std::string PlatformCore::Names(const std::string& prefix) const {
  json::array names;
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix); ++it) {
    names.push_back(json::object{
        {"name", it->first}, {"version", std::to_string(it->second.version)}});
  }
  return json::serialize(json::object{{"objects", std::move(names)}});
}

}  // namespace lavenderkeel::fakes
