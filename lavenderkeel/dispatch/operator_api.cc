#include "lavenderkeel/dispatch/operator_api.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <utility>

#include "lavenderkeel/config/json_reader.h"

namespace lavenderkeel {

namespace json = boost::json;

namespace {

constexpr std::string_view kAdminPath = "/admin/v1/";
constexpr std::string_view kExplainPath = "/admin/v1/explain/";
constexpr std::string_view kIfVersion = "if_version=";

/// Parses the optional version condition.
/// @return nothing if the query is malformed; an empty inner optional if it has
///     no condition
std::optional<std::optional<uint64_t>> ReadIfVersion(const std::string& query) {
  if (query.empty()) {
    return std::optional<uint64_t>();
  }
  if (!query.starts_with(kIfVersion)) {
    return std::nullopt;
  }
  uint64_t version = 0;
  const char* begin = query.data() + kIfVersion.size();
  const char* end = query.data() + query.size();
  const auto [stop, error] = std::from_chars(begin, end, version);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return std::optional(version);
}

leaf::result<std::string> ReadName(const std::string& body) {
  BOOST_LEAF_AUTO(value, ParseJson(body));
  Faults faults;
  JsonReader reader(value, "", faults);
  std::string name = reader.String("name", {.required = true});
  reader.RejectUnknown();
  BOOST_LEAF_CHECK(CheckFaults(faults, ResultCode::kWrongType));
  return name;
}

}  // namespace

OperatorApi::OperatorApi(EntryContext& context,
                         const RequestController& requests,
                         ConfigDistributor& config_distributor,
                         PlatformPort& platform,
                         std::string key_sha256)
    : context_(context),
      requests_(requests),
      config_distributor_(config_distributor),
      platform_(platform),
      key_sha256_(std::move(key_sha256)) {}

bool OperatorApi::IsAllowed(const CallerRequest& request) const {
  return request.bearer.has_value() && !key_sha256_.empty() &&
         Sha256Hex(*request.bearer) == key_sha256_;
}

void OperatorApi::Handle(const CallerRequest& request) {
  if (!IsAllowed(request)) {
    Refuse(request.caller, ResultCode::kOperatorKey, "");
    return;
  }
  const std::string command = request.path.substr(kAdminPath.size());
  const bool is_get = request.method == "GET";
  const bool is_post = request.method == "POST";
  if (command == "config" && is_post) {
    ApplyConfig(request);
  } else if (command == "config" && is_get) {
    ShowConfig(request.caller);
  } else if (command == "presets" && is_get) {
    ShowPresets(request.caller);
  } else if (command == "preset" && is_post) {
    ActivatePreset(request);
  } else if (command == "drain" && is_post) {
    Drain(request, /*drain=*/true);
  } else if (command == "undrain" && is_post) {
    Drain(request, /*drain=*/false);
  } else if (command == "status" && is_get) {
    ShowStatus(request.caller);
  } else if (request.path.starts_with(kExplainPath) && is_get) {
    Explain(request.caller, request.path.substr(kExplainPath.size()));
  } else {
    Refuse(request.caller, ResultCode::kNotFound, "");
  }
}

void OperatorApi::ApplyConfig(const CallerRequest& request) {
  const auto if_version = ReadIfVersion(request.query);
  const auto document =
      Catch([&] { return ParseConfigDocument(request.body); });
  if (!document || !if_version.has_value()) {
    Refuse(request.caller, ResultCode::kConfigInvalid,
           document ? "if_version must be a whole number"
                    : document.failure.message);
    return;
  }
  ShardedConfig sharded = SplitIntoShards(*document.value);
  std::vector<std::string> presets;
  for (const Preset& preset : document.value->base.presets) {
    presets.push_back(preset.name);
  }
  ConfigHead next;
  next.base = sharded.base.name;
  for (const ConfigShard& shard : sharded.teams) {
    next.teams.push_back(shard.name);
  }
  std::vector<ConfigShard> shards = std::move(sharded.teams);
  shards.push_back(std::move(sharded.base));
  Commit(
      request.caller,
      {.change_id = "",
       .change = [next, presets, initial = document.value->base.initial_preset](
                     const ConfigHead& present) -> leaf::result<ConfigHead> {
         ConfigHead head = next;
         head.drained = present.drained;
         head.preset = present.version == 0 ? initial : present.preset;
         if (std::ranges::find(presets, head.preset) == presets.end()) {
           return leaf::new_error(
               Failure{ResultCode::kConfigInvalid,
                       "/presets: '" + head.preset +
                           "' is in force and can't be removed"});
         }
         return head;
       },
       .shards = std::move(shards),
       .if_version = *if_version});
}

void OperatorApi::ActivatePreset(const CallerRequest& request) {
  const auto if_version = ReadIfVersion(request.query);
  const auto name = Catch([&] { return ReadName(request.body); });
  if (!name || !if_version.has_value()) {
    Refuse(request.caller, ResultCode::kWrongType,
           name ? "if_version must be a whole number" : name.failure.message);
    return;
  }
  const auto& config = context_.config.current();
  if (!config || config->FindPreset(*name.value) == nullptr) {
    Refuse(request.caller, ResultCode::kUnknownPreset, *name.value);
    return;
  }
  Commit(request.caller,
         {.change_id = "",
          .change = [name = *name.value, base = config->head().base](
                        const ConfigHead& present) -> leaf::result<ConfigHead> {
            if (present.base != base) {
              // Another document was accepted meanwhile; it may lack the
              // preset.
              return leaf::new_error(
                  Failure{ResultCode::kConfigConflict,
                          "version " + std::to_string(present.version) +
                              " has a different document"});
            }
            ConfigHead head = present;
            head.preset = name;
            return head;
          },
          .shards = {},
          .if_version = *if_version});
}

void OperatorApi::Drain(const CallerRequest& request, bool drain) {
  const auto name = Catch([&] { return ReadName(request.body); });
  if (!name) {
    Refuse(request.caller, name.failure.code, name.failure.message);
    return;
  }
  const bool is_self = *name.value == context_.members.self().id.instance;
  // An instance that no longer exists can still be undrained.
  if (drain && !is_self && context_.members.Find(*name.value) == nullptr) {
    Refuse(request.caller, ResultCode::kUnknownInstance, *name.value);
    return;
  }
  if (!context_.config.current()) {
    Refuse(request.caller, ResultCode::kNoConfiguration, "");
    return;
  }
  Commit(request.caller,
         {.change_id = "",
          .change = [name = *name.value, drain](
                        const ConfigHead& present) -> leaf::result<ConfigHead> {
            ConfigHead head = present;
            std::erase(head.drained, name);
            if (drain) {
              head.drained.push_back(name);
            }
            return head;
          },
          .shards = {}});
}

void OperatorApi::Commit(CallerId caller, ConfigCommit::Options options) {
  options.change_id = context_.members.self().id.ToString() + "-" +
                      std::to_string(context_.random());
  commits_.push_back(nullptr);
  auto position = std::prev(commits_.end());
  *position = std::make_unique<ConfigCommit>(
      std::move(options), context_.clock, context_.random, platform_,
      [this, caller, position](const ConfigCommit::Result& result) {
        OnCommitted(caller, result, (*position)->shards());
      });
  (*position)->Start();
}

void OperatorApi::OnCommitted(CallerId caller,
                              const ConfigCommit::Result& result,
                              const std::vector<ConfigShard>& shards) {
  context_.log.Info(
      "config_change",
      {{"result", Describe(result.code).name},
       {"version", result.head.has_value() ? result.head->version : 0},
       {"preset", result.head.has_value() ? result.head->preset : ""},
       {"message", result.message}});
  if (result.code != ResultCode::kAnswered) {
    Refuse(caller, result.code, result.message);
    return;
  }
  context_.config.OfferHead(*result.head);
  for (const ConfigShard& shard : shards) {
    context_.config.AddShard(shard.name, shard.body);
  }
  // Pushes the accepted head to all other entries directly, so that it reaches
  // them even if the platform becomes unavailable.
  config_distributor_.PushHead(*result.head);
  Reply(caller, json::serialize(json::object{{"accepted", true},
                                             {"version", result.head->version},
                                             {"preset", result.head->preset}}));
}

void OperatorApi::Tick() {
  for (const auto& commit : commits_) {
    commit->Tick();
  }
  std::erase_if(commits_,
                [](const auto& commit) { return commit->finished(); });
}

void OperatorApi::ShowConfig(CallerId caller) {
  const std::optional<ConfigDocument> document = context_.config.Document();
  if (!document.has_value()) {
    Refuse(caller, ResultCode::kNoConfiguration, "");
    return;
  }
  const ConfigHead& head = context_.config.current()->head();
  Reply(caller, json::serialize(
                    json::object{{"version", head.version},
                                 {"preset", head.preset},
                                 {"config", json::parse(ToJson(*document))}}));
}

void OperatorApi::ShowPresets(CallerId caller) {
  const auto& config = context_.config.current();
  if (!config) {
    Refuse(caller, ResultCode::kNoConfiguration, "");
    return;
  }
  json::array names;
  for (const Preset& preset : config->base().presets) {
    names.emplace_back(preset.name);
  }
  Reply(caller,
        json::serialize(json::object{{"version", config->version()},
                                     {"in_force", config->head().preset},
                                     {"presets", std::move(names)}}));
}

void OperatorApi::ShowStatus(CallerId caller) {
  json::array instances;
  for (const Role role : {Role::kEntry, Role::kAgent}) {
    for (const Member* member : context_.members.Members(role)) {
      json::object item{{"instance", member->info.id.instance},
                        {"role", role == Role::kEntry ? "entry" : "agent"},
                        {"data_centre", member->info.data_centre},
                        {"incarnation", member->info.id.incarnation},
                        {"state", member->lost           ? "lost"
                                  : member->info.leaving ? "leaving"
                                  : member->live()       ? "live"
                                                         : "silent"}};
      if (role == Role::kEntry) {
        item["version"] = member->config_version;
      } else {
        item["running"] = member->load.running;
        item["slots"] = member->load.slots;
        item["rest_ms"] = ToMilliseconds(Duration(member->load.pushback_us));
        item["waiting"] = json::value_from(member->load.waiting);
      }
      instances.push_back(std::move(item));
    }
  }
  json::object waiting;
  const auto& config = context_.config.current();
  if (config) {
    for (const Tier& tier : config->base().tiers) {
      waiting[tier.name] = requests_.dispatch().waiting(tier.rank);
    }
  }
  Reply(caller, json::serialize(json::object{
                    {"instance", context_.members.self().id.instance},
                    {"version", context_.config.version()},
                    {"preset", config ? config->head().preset : ""},
                    {"active", requests_.active()},
                    {"waiting", std::move(waiting)},
                    {"instances", std::move(instances)}}));
}

void OperatorApi::Explain(CallerId caller, const std::string& key) {
  const EntryRequest* request = requests_.Explain(key);
  if (request == nullptr) {
    Refuse(caller, ResultCode::kNotFound,
           "this entry has no request with key " + key);
    return;
  }
  Reply(caller, json::serialize(json::object{
                    {"key", key},
                    {"team", request->properties.team},
                    {"work", request->properties.work},
                    {"tier", request->properties.tier_name},
                    {"agent", request->agent.ToString()},
                    {"result", Describe(request->result).name},
                    {"over", request->state == EntryRequest::State::kDone},
                    {"history", json::value_from(request->history)}}));
}

void OperatorApi::Refuse(CallerId caller,
                         ResultCode code,
                         const std::string& message) {
  context_.outbox.Push(CallerSubscriptions::ErrorReply(
      caller, code,
      message.empty() ? std::string(Describe(code).message) : message, "",
      Duration::zero()));
}

void OperatorApi::Reply(CallerId caller, std::string body) {
  context_.outbox.Push(
      ReplyComplete{.caller = caller,
                    .status = 200,
                    .headers = {{"Content-Type", "application/json"}},
                    .body = std::move(body)});
}

}  // namespace lavenderkeel
