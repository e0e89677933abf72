#include "test/fakes/odd_objects.h"

#include <map>

namespace lavenderkeel::fakes {

namespace {

using Members = std::map<std::string, std::string>;

struct OddField {
  std::string kind;
  std::string name;
  std::string value;
};

/// Values that are odd in each field that is not a number.
constexpr const char* kOddTexts[] = {
    R"("@surrogate")", R"("@control")",      R"("@number")", R"("@nested")",
    R"("@deep")",      R"("@deep objects")", "[]",           "true"};

constexpr const char* kOddAddresses[] = {
    R"("127.0.0.1:0")",          R"("127.0.0.1:65537")",
    R"("127.0.0.1:-1")",         R"("127.0.0.1:99999999999999999999")",
    R"("0.0.0.0:80")",           R"("255.255.255.255:80")",
    R"("127.0.0.1:80\r\nX: y")", R"("localhost")"};

constexpr const char* kOddNumbers[] = {"-1",
                                       "1e308",
                                       "18446744073709551615",
                                       "99999999999999999999",
                                       R"("@number")",
                                       R"("@digits")",
                                       R"("@deep")",
                                       "\"\""};

Members UsualMembers(const std::string& kind) {
  if (kind == "servers") {
    return {{"service", R"("s")"},   {"address", R"("127.0.0.1:1")"},
            {"zone", R"("here")"},   {"slots", "3"},
            {"state", R"("ready")"}, {"born", "1770000000123"}};
  }
  return {{"service", R"("other")"}, {"to", R"("v")"}, {"durationS", "5"}};
}

std::vector<OddField> OddFields() {
  std::vector<OddField> fields;
  const auto add = [&fields](const char* kind, const char* name,
                             const auto& values) {
    for (const char* value : values) {
      fields.push_back({.kind = kind, .name = name, .value = value});
    }
  };
  for (const char* name : {"service", "address", "zone", "state", "other"}) {
    add("servers", name, kOddTexts);
  }
  add("servers", "address", kOddAddresses);
  add("servers", "slots", kOddNumbers);
  add("servers", "born", kOddNumbers);
  add("rollouts", "to", kOddTexts);
  add("rollouts", "durationS", kOddNumbers);
  add("entries", "other", kOddTexts);
  return fields;
}

std::string ToJson(const Members& members) {
  std::string text;
  for (const auto& [name, value] : members) {
    text += text.empty() ? "{\"" : ", \"";
    text.append(name).append("\": ").append(value);
  }
  return text + "}";
}

std::vector<OddObject> MakeOddObjects() {
  std::vector<OddObject> objects;
  for (const OddField& field : OddFields()) {
    Members members = UsualMembers(field.kind);
    members[field.name] = field.value;
    const size_t index = objects.size();
    objects.push_back({.path = field.kind + (index % 2 == 0 ? "/a" : "/z") +
                               std::to_string(index),
                       .content = ToJson(members)});
  }
  return objects;
}

}  // namespace

const std::vector<OddObject>& OddObjects() {
  static const std::vector<OddObject> objects = MakeOddObjects();
  return objects;
}

}  // namespace lavenderkeel::fakes
