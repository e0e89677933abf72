#include "platform/object_decoder.h"

#include <rapidcheck.h>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace lavenderkeel {

namespace {

namespace json = boost::json;

json::object ValidEntry() {
  return {{"service", "models"}, {"address", "10.1.0.4:80"},
          {"zone", "a"},         {"version", "v1"},
          {"slots", 5},          {"state", "ready"},
          {"sequence", 1},       {"born", 1'770'000'000'123}};
}

Caught<BackendServer> Decode(const json::value& spec) {
  return Catch([&spec] {
    return hybrid::DecodeServer(
        {.name = "i-1", .content = json::serialize(spec)});
  });
}

}  // namespace

BOOST_AUTO_TEST_CASE(ServerIsDecodedWithItsStart) {
  const auto server = Decode(ValidEntry());
  BOOST_REQUIRE(static_cast<bool>(server));
  BOOST_TEST((*server.value == BackendServer{.id = "i-1",
                                             .start_time_ms = 1'770'000'000'123,
                                             .service = "models",
                                             .address = "10.1.0.4:80",
                                             .data_centre = "a",
                                             .version = "v1",
                                             .slots = 5}));
}

BOOST_AUTO_TEST_CASE(StartOfAServerIsOptional) {
  json::object entry = ValidEntry();
  entry.erase("born");
  const auto server = Decode(entry);
  BOOST_REQUIRE(static_cast<bool>(server));
  BOOST_TEST(server.value->start_key() == "i-1");
}

// Guards against an entry whose texts fill the memory and the messages between
// entries.
BOOST_AUTO_TEST_CASE(EntryWithTextsBeyondALimitIsRejected) {
  constexpr size_t kTooLong = 513;
  for (const char* field : {"service", "address", "zone", "version"}) {
    json::object entry = ValidEntry();
    entry[field] = std::string(kTooLong, 'x');
    const auto server = Decode(entry);
    BOOST_REQUIRE(!server);
    BOOST_TEST(server.failure.message.find("longer than") != std::string::npos);
  }
}

// Guards against header fields that the name of an entry adds to the requests
// of clients.
BOOST_AUTO_TEST_CASE(NameWithControlBytesIsRejected) {
  const std::string content = json::serialize(ValidEntry());
  for (const std::string& name :
       {std::string("i-1\r\nHold: x"), std::string("i-1\n"),
        std::string("\0", 1), std::string("i\x7f"), std::string()}) {
    const auto server = Catch([&] {
      return hybrid::DecodeServer({.name = name, .content = content});
    });
    BOOST_TEST(!static_cast<bool>(server), name);
  }
  const auto unusual = Catch([&] {
    return hybrid::DecodeServer({.name = "i 1/\xc3\xa9", .content = content});
  });
  BOOST_TEST(static_cast<bool>(unusual));
}

// Guards against sending requests to a server from an invalid entry of another
// writer: a field is missing or of another type, or the state is unknown.
BOOST_AUTO_TEST_CASE(InvalidEntriesAreRejected) {
  const std::vector<json::value> unusual_values = {
      nullptr, true, -1, 1.5, "", "other", json::array{1}, json::object{}};
  for (const char* field : {"service", "address", "zone", "slots", "state"}) {
    json::object missing = ValidEntry();
    missing.erase(field);
    BOOST_TEST(!Decode(missing), field << " is missing");
    for (const json::value& value : unusual_values) {
      const bool is_valid =
          value == json::value("other") &&
          (std::string(field) == "service" || std::string(field) == "zone");
      json::object entry = ValidEntry();
      entry[field] = value;
      BOOST_TEST(static_cast<bool>(Decode(entry)) == is_valid,
                 field << " is " << json::serialize(value));
    }
  }
  for (const json::value& value : unusual_values) {
    json::object entry = ValidEntry();
    entry["born"] = value;
    BOOST_TEST(!Decode(entry), "born is " << json::serialize(value));
  }
}

// Guards against requests that are sent to an address to which no connection
// can be made, or to this machine because the address is unspecified.
BOOST_AUTO_TEST_CASE(ServerWithoutUsableAddressIsRejected) {
  for (const char* address : {"127.0.0.1",
                              "127.0.0.1:",
                              "127.0.0.1:0",
                              "127.0.0.1:-1",
                              "127.0.0.1:+80",
                              "127.0.0.1:65536",
                              "127.0.0.1:99999999999999999999",
                              "127.0.0.1:80 ",
                              " 127.0.0.1:80",
                              "127.0.0.1:8\r\nX: y",
                              ":80",
                              "localhost:80",
                              "0.0.0.0:80",
                              "224.0.0.1:80",
                              "239.255.255.255:80",
                              "255.255.255.255:80",
                              "[::]:80",
                              "[::1]:0",
                              "[::1]:65536",
                              "[127.0.0.1]:80",
                              "::1:80",
                              "[ff02::1]:80",
                              "[::ffff:0.0.0.0]:80"}) {
    json::object entry = ValidEntry();
    entry["address"] = address;
    BOOST_TEST(!Decode(entry), address);
  }
  for (const char* address :
       {"127.0.0.1:1", "10.255.255.255:65535", "223.255.255.255:80", "[::1]:80",
        "[::ffff:10.0.0.1]:80"}) {
    json::object entry = ValidEntry();
    entry["address"] = address;
    BOOST_TEST(static_cast<bool>(Decode(entry)), address);
  }
}

// A configuration with values that cannot be computed with must not replace
// the one in force.
BOOST_AUTO_TEST_CASE(RatesAndPrioritiesOutOfRangeAreRejected) {
  const auto decode = [](const char* field, const json::value& value) {
    json::object tenant = {
        {"name", "a"}, {"ratePerS", 10}, {"burst", 20}, {"priority", 1}};
    tenant[field] = value;
    const json::object table = {{"version", 1},
                                {"routes", json::array()},
                                {"services", json::array()},
                                {"tenants", json::array{tenant}}};
    return Catch([&] { return hybrid::DecodeConfig(json::serialize(table)); });
  };
  BOOST_TEST(static_cast<bool>(decode("ratePerS", 0)));
  for (const char* field : {"ratePerS", "burst", "plainTokens"}) {
    BOOST_TEST(static_cast<bool>(decode(field, 1e12)));
    for (const json::value& value :
         {json::value(-1), json::value(-0.5), json::value(1e13),
          json::value(1e300), json::value("10"), json::value(nullptr)}) {
      const auto table = decode(field, value);
      BOOST_TEST(!table, field << " is " << json::serialize(value));
      BOOST_TEST((table.failure.code == ResultCode::kConfigInvalid));
    }
  }
  BOOST_TEST(!decode("ratePerS", 1e-300));
  for (const json::value& value :
       {json::value(-1), json::value(1.5), json::value(5'000'000'000),
        json::value(1e300)}) {
    BOOST_TEST(!decode("priority", value), json::serialize(value));
  }
}

BOOST_AUTO_TEST_CASE(ArbitraryBytesAreRejected) {
  BOOST_TEST(rc::check([](const std::string& bytes) {
    RC_ASSERT(!Catch([&bytes] {
      return hybrid::DecodeServer({.name = "i-1", .content = bytes});
    }));
  }));
}

}  // namespace lavenderkeel
