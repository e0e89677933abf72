// Objects of other writers in the store that hold odd values, while entries
// start and while they run.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "test/fakes/fleet_simulation.h"
#include "test/fakes/unreadable_json.h"

namespace lavenderkeel {

namespace {

using std::chrono::milliseconds;

/// An object with a field whose value is replaced.
struct OddField {
  std::string kind;
  std::string name;
  /// VALUE stands for the odd value.
  std::string content;
  /// The odd value is in the status instead.
  bool in_status = false;
};

std::string Replaced(std::string text, const std::string& value) {
  constexpr std::string_view kPlace = "VALUE";
  const size_t at = text.find(kPlace);
  return text.replace(at, kPlace.size(), value);
}

/// Returns an object per field, each beside sound ones.
std::vector<OddField> OddFields() {
  std::vector<OddField> fields;
  const auto add = [&fields](const std::string& kind, const std::string& name,
                             const std::vector<std::string>& members,
                             bool in_status) {
    for (size_t odd = 0; odd < members.size(); ++odd) {
      std::string content;
      for (size_t i = 0; i < members.size(); ++i) {
        const std::string& member = members[i];
        content += content.empty() ? "{" : ",";
        content += i == odd ? member.substr(0, member.find(':') + 1) + "VALUE"
                            : member;
      }
      fields.push_back({.kind = kind,
                        .name = name,
                        .content = content + "}",
                        .in_status = in_status});
    }
    fields.push_back({.kind = kind,
                      .name = name,
                      .content = "VALUE",
                      .in_status = in_status});
  };
  add("servers", "odd",
      {R"("service":"odd")", R"("address":"10.0.9.9:9")", R"("zone":"govan")",
       R"("version":"v1")", R"("slots":5)", R"("state":"ready")",
       R"("born":1770000000123)", R"("other":1)"},
      /*in_status=*/false);
  const std::vector<std::string> order = {R"("service":"odd")", R"("to":"v2")",
                                          R"("durationS":20)"};
  add("rollouts", "odd", order, /*in_status=*/false);
  add("rollouts", "odd",
      {R"("state":"serving")", R"("to":"v2")", R"("from":"v1")",
       R"("durationS":20)", R"("orderCreated":7)",
       R"("startedMs":1770000000123)"},
      /*in_status=*/true);
  add("entries", "odd", {R"("state":"settled")"}, /*in_status=*/true);
  const std::string report =
      R"({"kind":"lost","request":"a1","parts":["b2"],"server":"c3",)"
      R"("sentUs":1770000000000000,"endedUs":1770000000000001})";
  add("crash-evidence", "main", {R"("reports":[)" + report + "]"},
      /*in_status=*/true);
  for (const char* field :
       {"kind", "request", "parts", "server", "sentUs", "endedUs"}) {
    fields.push_back({.kind = "crash-evidence",
                      .name = "main",
                      .content = R"({"reports":[)" + report +
                                 R"(,{"kind":"lost","server":"d4","sentUs":1,)"
                                 R"("endedUs":2,")" +
                                 field + R"(":VALUE}]})",
                      .in_status = true});
  }
  add("config", "main",
      {R"("version":9)", R"("routes":[])", R"("services":[])",
       R"("tenants":[])", R"("limits":{})"},
      /*in_status=*/false);
  return fields;
}

void Put(fakes::FleetSimulation& fleet,
         const OddField& field,
         const std::string& value) {
  const std::string content = Replaced(field.content, value);
  if (field.in_status) {
    fleet.PutObject(field.kind, field.name,
                    R"({"service":"odd","to":"v2","durationS":20})");
    fleet.PutStatus(field.kind, field.name, content);
  } else {
    fleet.PutObject(field.kind, field.name, content);
  }
}

/// Returns the addresses that requests of all entries are sent to.
std::vector<std::string> AddressesOfRequests(fakes::FleetSimulation& fleet) {
  std::vector<std::string> addresses;
  for (int entry = 0; entry < fleet.entries(); ++entry) {
    const size_t sent = fleet.port(entry).sent.size();
    const ExchangeId request = fleet.Request(entry);
    fleet.Advance(milliseconds(30));
    for (size_t i = sent; i < fleet.port(entry).sent.size(); ++i) {
      addresses.push_back(fleet.port(entry).sent[i].address);
    }
    fleet.RunIn(entry, [request](ForwardNode& node) {
      node.controller().OnClientGone(request);
    });
  }
  return addresses;
}

}  // namespace

// Guards against an odd value that ends entries, or hides the changes of sound
// servers from them, whether it is there when they start or comes later.
BOOST_AUTO_TEST_CASE(OddValuesOfOtherWritersChangeNothing) {
  const std::vector<std::string> values = fakes::OddValues();
  size_t count = 0;
  for (const OddField& field : OddFields()) {
    for (const std::string& value : values) {
      BOOST_TEST_CONTEXT(field.kind << " " << field.content << " with "
                                    << value.substr(0, 40)) {
        const bool at_start = ++count % 2 == 0;
        fakes::FleetSimulation fleet(
            {.entries = 2, .started = at_start ? 0 : 2, .seeds = 2});
        Put(fleet, field, value);
        if (at_start) {
          fleet.Start(0);
          fleet.Start(1);
        }
        fleet.Advance(milliseconds(700));
        fleet.PutServer("s2", /*draining=*/false, "10.0.1.2:1");
        fleet.PutServer("s", /*draining=*/true);
        fleet.Advance(milliseconds(700));
        const bool is_config = field.kind == "config";
        if (!is_config) {
          BOOST_TEST((AddressesOfRequests(fleet) ==
                      std::vector<std::string>{"10.0.1.2:1", "10.0.1.2:1"}));
        }
      }
    }
  }
}

}  // namespace lavenderkeel
