#include "lavenderkeel/membership/instance_info.h"

#include <boost/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "lavenderkeel/config/json_fields.h"

namespace lavenderkeel {

namespace json = boost::json;

namespace {

std::string StringOrEmpty(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

std::optional<InstanceInfo> ParseInstance(const json::object& object) {
  InstanceInfo info;
  info.id.instance = StringOrEmpty(object, "instance");
  info.address = StringOrEmpty(object, "address");
  info.data_centre = StringOrEmpty(object, "data_centre");
  info.region = StringOrEmpty(object, "region");
  info.leaving = StringOrEmpty(object, "state") == "leaving";
  const std::string role = StringOrEmpty(object, "role");
  info.role = role == "agent" ? Role::kAgent : Role::kEntry;
  const json::value* incarnation = object.if_contains("incarnation");
  if (incarnation != nullptr && incarnation->is_number()) {
    boost::system::error_code error;
    info.id.incarnation = incarnation->to_number<uint64_t>(error);
  }
  const bool usable = !info.id.instance.empty() && !info.address.empty() &&
                      (role == "agent" || role == "entry");
  return usable ? std::optional(info) : std::nullopt;
}

}  // namespace

leaf::result<InstanceList> ParseInstanceList(const std::string& text) {
  const std::optional<JsonFields> document = JsonFields::Split(text);
  if (!document.has_value()) {
    return leaf::new_error(
        Failure{ResultCode::kMalformedJson, "instance list"});
  }
  const auto items =
      SplitJsonArray(document->Find("instances").value_or(std::string_view()));
  if (!items.has_value()) {
    return leaf::new_error(Failure{ResultCode::kWrongType, "/instances"});
  }
  InstanceList list;
  for (const std::string_view item : *items) {
    const std::optional<json::value> value = ParseJsonObject(item);
    std::optional<InstanceInfo> info =
        value.has_value() ? ParseInstance(value->get_object()) : std::nullopt;
    if (info.has_value()) {
      list.instances.push_back(*std::move(info));
    } else {
      ++list.unreadable;
    }
  }
  return list;
}

std::string RegistrationBody(const InstanceInfo& info) {
  return json::serialize(json::object{
      {"instance", info.id.instance},
      {"role", info.role == Role::kAgent ? "agent" : "entry"},
      {"data_centre", info.data_centre},
      {"region", info.region},
      {"address", info.address},
      {"state", info.leaving ? "leaving" : "live"},
      {"incarnation", info.id.incarnation},
  });
}

}  // namespace lavenderkeel
