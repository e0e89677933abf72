#include "platform/store_reader.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/object_decoder.h"
#include "test/fakes/unreadable_json.h"

namespace lavenderkeel {

using hybrid::StoreReader;
using ReadOutcome = ObjectReadResult::Outcome;

BOOST_AUTO_TEST_CASE(ReadPathsFollowTheStoreApi) {
  BOOST_TEST(StoreReader::PathOf({.object_kind = "servers"}) ==
             "/objects/servers");
  BOOST_TEST(
      StoreReader::PathOf({.object_kind = "servers", .after_name = "i-7"}) ==
      "/objects/servers?afterRev=i-7");
  BOOST_TEST(StoreReader::PathOf({.kind = ObjectRead::Kind::kWatch,
                                  .object_kind = "config",
                                  .revision = 530,
                                  .wait = std::chrono::seconds(2)}) ==
             "/objects/config?watch=530&waitMs=2000");
}

BOOST_AUTO_TEST_CASE(ListsAndChangesAreDecoded) {
  const ObjectReadResult list =
      StoreReader::Decode(ObjectRead::Kind::kList, 200,
                          R"({"items":[{"metadata":{"name":"i-1","revision":7},
          "spec":{"slots":5},"status":null}],"hasMore":true,"currentRev":9})");
  BOOST_TEST(
      (list == ObjectReadResult{.outcome = ReadOutcome::kOk,
                                .objects = {{.name = "i-1",
                                             .revision = 7,
                                             .content = R"({"slots":5})"}},
                                .last_name = "i-1",
                                .more = true,
                                .revision = 9}));
  const ObjectReadResult changes = StoreReader::Decode(
      ObjectRead::Kind::kWatch, 200,
      R"({"events":[{"tombstone":true,"object":{"metadata":{"name":"i-1",
          "revision":8}}}],"currentRev":10})");
  BOOST_REQUIRE(changes.objects.size() == 1U);
  BOOST_TEST(changes.objects[0].removed);
  BOOST_TEST(changes.revision == 10U);
}

// Guards against an entry without any server: another writer has stored objects
// without a readable name, and one that is not valid text, among the servers.
// They are left out and the other objects stay valid.
BOOST_AUTO_TEST_CASE(InvalidObjectsDoNotHideValidOnes) {
  std::string deep(100, '[');
  deep += std::string(100, ']');
  for (const std::string& invalid :
       {std::string("{}"), std::string("7"), std::string("null"),
        std::string(R"({"metadata":[]})"), std::string(R"({"metadata":{}})"),
        std::string(R"({"metadata":{"name":5}})"),
        std::string(R"({"metadata":{"name":"x","revision":"y"}})"), deep}) {
    std::string body = R"({"items":[)";
    body.append(invalid)
        .append(R"(,{"metadata":{"name":"i-1"},"spec":{}},)")
        .append(invalid)
        .append(R"(],"currentRev":9})");
    const ObjectReadResult list =
        StoreReader::Decode(ObjectRead::Kind::kList, 200, body);
    BOOST_REQUIRE((list.outcome == ReadOutcome::kOk));
    BOOST_TEST(
        std::ranges::count_if(list.objects, [](const StoredObject& object) {
          return !object.content.empty();
        }) == 1);
    BOOST_TEST(list.unreadable == 2U);
  }
  const ObjectReadResult bytes = StoreReader::Decode(
      ObjectRead::Kind::kList, 200,
      "{\"items\":[{\"metadata\":{\"name\":\"i-1\"},\"spec\":\"\xff\xfe\"},"
      "{\"metadata\":{\"name\":\"i-2\"},\"spec\":{}}],\"currentRev\":9}");
  BOOST_TEST(bytes.objects.size() == 2U);
}

namespace {

std::string Join(std::initializer_list<std::string_view> texts) {
  std::string joined;
  for (const std::string_view text : texts) {
    joined += text;
  }
  return joined;
}

std::string SoundItem(const std::string& name) {
  return R"({"metadata":{"name":")" + name +
         R"(","revision":3},"spec":{"service":"s","address":"10.0.0.1:80",
         "zone":"z","slots":2,"state":"draining"},"status":null})";
}

bool IsServer(const StoredObject& object) {
  return static_cast<bool>(Catch([&] { return hybrid::DecodeServer(object); }));
}

}  // namespace

// Guards against one unreadable object that hides the changes of the others.
BOOST_AUTO_TEST_CASE(UnreadableObjectHidesNoOther) {
  for (const std::string& value : fakes::UnreadableValues()) {
    const std::vector<std::string> unreadable = {
        value,
        R"({"metadata":)" + value + "}",
        R"({"metadata":{"name":)" + value + "}}",
        R"({"metadata":{"name":"bad","revision":)" + value +
            R"(},"spec":{"service":"s","address":"10.0.0.1:80","zone":"z",
            "slots":2,"state":"ready"}})",
        R"({"metadata":{"name":"bad"},"spec":)" + value + "}",
        R"({"metadata":{"name":"bad"},"spec":{"service":"s",
            "address":"10.0.0.1:80","zone":)" +
            value + R"(,"slots":2,"state":"ready"}})"};
    for (const std::string& item : unreadable) {
      const ObjectReadResult list = StoreReader::Decode(
          ObjectRead::Kind::kList, 200,
          Join({R"({"currentRev":9,"items":[)", item, ",", SoundItem("i-1"),
                ",", item, ",", SoundItem("i-2"), ",", item, "]}"}));
      BOOST_REQUIRE_MESSAGE(list.outcome == ReadOutcome::kOk, item);
      BOOST_TEST(std::ranges::count_if(list.objects, IsServer) == 2, item);
      const ObjectReadResult changes = StoreReader::Decode(
          ObjectRead::Kind::kWatch, 200,
          Join({R"({"events":[{"object":)", item, R"(},{"tombstone":)", value,
                R"(,"object":)", SoundItem("i-1"), R"(},{"object":)",
                SoundItem("i-2"), R"(},{"object":)", item,
                R"(}],"currentRev":9})"}));
      BOOST_REQUIRE_MESSAGE(changes.outcome == ReadOutcome::kOk, item);
      BOOST_TEST(std::ranges::count_if(changes.objects, IsServer) == 2, item);
    }
  }
}

// Guards against requests to a server after its object became unreadable.
BOOST_AUTO_TEST_CASE(ChangeToAnUnreadableObjectIsReported) {
  for (const std::string& value : fakes::UnreadableValues()) {
    for (const std::string& fields :
         {R"("revision":)" + value + R"(},"spec":{}})",
          R"("revision":8},"spec":)" + value + "}"}) {
      const ObjectReadResult changes = StoreReader::Decode(
          ObjectRead::Kind::kWatch, 200,
          R"({"events":[{"object":{"metadata":{"name":"i",)" + fields +
              R"(}],"currentRev":9})");
      BOOST_REQUIRE_MESSAGE(changes.objects.size() == 1U, fields);
      BOOST_TEST(changes.objects[0].name == "i");
      BOOST_TEST(changes.objects[0].revision >= 8U);
      BOOST_TEST(!changes.objects[0].removed);
      BOOST_TEST(!IsServer(changes.objects[0]));
    }
  }
}

// Guards against a removal that is not seen since its object can't be read.
BOOST_AUTO_TEST_CASE(RemovalOfAnUnreadableObjectIsReported) {
  const ObjectReadResult changes = StoreReader::Decode(
      ObjectRead::Kind::kWatch, 200,
      R"({"events":[{"tombstone":true,"object":{"metadata":{"name":"i",
         "revision":1e999999999999},"spec":"\udcff"}}],"currentRev":9})");
  BOOST_REQUIRE(changes.objects.size() == 1U);
  BOOST_TEST(changes.objects[0].removed);
  BOOST_TEST(changes.unreadable == 1U);
  BOOST_TEST(changes.first_fault.find("/events/0/object") == 0U);
}

namespace {

std::string NextPageAfter(const std::string& items) {
  const ObjectReadResult list = StoreReader::Decode(
      ObjectRead::Kind::kList, 200,
      R"({"items":[)" + items + R"(],"hasMore":true,"currentRev":9})");
  BOOST_REQUIRE((list.outcome == ReadOutcome::kOk));
  return StoreReader::PathOf(
      {.object_kind = "servers", .after_name = list.last_name});
}

}  // namespace

// Guards against a page that ends with an unreadable name and hides all that
// follow.
BOOST_AUTO_TEST_CASE(PageContinuesAfterAnUnreadableName) {
  for (const auto& [name, encoded] :
       std::vector<std::pair<std::string, std::string>>{
           {R"(\udcff)", "%FF"},
           {R"(a\ud800)", "a%ED%A0%80"},
           {"a\x01", "a%01"}}) {
    const std::string unreadable = R"({"metadata":{"name":")" + name + R"("}})";
    BOOST_TEST(NextPageAfter(unreadable) ==
               "/objects/servers?afterRev=" + encoded);
    BOOST_TEST(NextPageAfter(unreadable + ",7") ==
               "/objects/servers?afterRev=" + encoded);
    // A store need not understand the bytes of an unreadable name.
    BOOST_TEST(NextPageAfter(R"({"metadata":{"name":"i-1"}},)" + unreadable) ==
               "/objects/servers?afterRev=i-1");
  }
  BOOST_TEST(NextPageAfter(R"({"metadata":{"name":"a b&c/d?e"}})") ==
             "/objects/servers?afterRev=a%20b%26c%2Fd%3Fe");
}

// Guards against a server that stays in use because its object in a list can't
// be read, as if the object were missing.
BOOST_AUTO_TEST_CASE(UnreadableObjectOfAListIsReportedByName) {
  const ObjectReadResult list = StoreReader::Decode(
      ObjectRead::Kind::kList, 200,
      R"({"items":[{"metadata":{"name":"i","revision":1e999999999999},
         "spec":{"service":"s"}}],"currentRev":9})");
  BOOST_REQUIRE(list.objects.size() == 1U);
  BOOST_TEST(list.objects[0].name == "i");
  BOOST_TEST(list.objects[0].content.empty());
  BOOST_TEST(list.unreadable == 1U);
}

// Guards against a revision that the store has not reached: later changes would
// look older than the object and be ignored.
BOOST_AUTO_TEST_CASE(ObjectFromAfterItsAnswerIsUnreadable) {
  const std::string object =
      R"({"metadata":{"name":"i","revision":18446744073709551615},)"
      R"("spec":{"service":"s"}})";
  for (const ObjectReadResult& result :
       {StoreReader::Decode(ObjectRead::Kind::kList, 200,
                            R"({"currentRev":9,"items":[)" + object + "]}"),
        StoreReader::Decode(
            ObjectRead::Kind::kWatch, 200,
            R"({"currentRev":9,"events":[{"object":)" + object + "}]}")}) {
    BOOST_REQUIRE(result.objects.size() == 1U);
    BOOST_TEST(result.objects[0].revision == 9U);
    BOOST_TEST(result.objects[0].content.empty());
    BOOST_TEST(result.unreadable == 1U);
  }
  const RecordWrite written = StoreReader::DecodeWrite(200, object);
  BOOST_TEST((written.outcome == RecordWrite::Outcome::kDone));
}

// Guards against an answer beyond the limit that counts as none, so that its
// changes would be asked for again and again.
BOOST_AUTO_TEST_CASE(AnswersThatAreTooLargeAreToldApart) {
  const HttpResult too_large = {.kind = HttpResult::Kind::kTooLarge};
  for (const auto kind : {ObjectRead::Kind::kWatch, ObjectRead::Kind::kList}) {
    BOOST_TEST((StoreReader::Decode(kind, too_large).outcome ==
                ReadOutcome::kTooLarge));
  }
}

// Guards against losing a change for good: an answer that can be decoded only
// in part counts as no answer.
BOOST_AUTO_TEST_CASE(UnreadableAnswersCountAsNoAnswer) {
  for (const char* body :
       {"", "[]", "{", R"({"items":{},"currentRev":1})", R"({"items":[]})"}) {
    BOOST_TEST(
        (StoreReader::Decode(ObjectRead::Kind::kList, 200, body).outcome ==
         ReadOutcome::kNoAnswer),
        body);
  }
  BOOST_TEST((StoreReader::Decode(ObjectRead::Kind::kWatch, 410, "").outcome ==
              ReadOutcome::kHistoryGone));
  BOOST_TEST((StoreReader::Decode(ObjectRead::Kind::kList, 503, "").outcome ==
              ReadOutcome::kRefused));
  BOOST_TEST((StoreReader::Decode(ObjectRead::Kind::kList, 429, "").outcome ==
              ReadOutcome::kRefused));
}

BOOST_AUTO_TEST_CASE(ConfigurationIsDecoded) {
  const auto table = Catch([] {
    return hybrid::DecodeConfig(R"({"version":7,"routes":[
      {"name":"r","host":"h","pathPrefix":"/p/","kind":"streaming",
       "timeoutMs":5000,"targetLatencyMs":500,"priority":1,"service":"s",
       "maxAttempts":2,"public":false,"streamResume":true,"gapTargetMs":300},
      {"name":"q","host":"h","pathPrefix":"/q/","kind":"idempotent",
       "trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":0}]}],
      "services":[{"name":"s","engine":{"slots":5}},{"name":"t"}],
      "limits":{"headerBytes":100,"bodyBytes":200,"headerMs":300,"idleMs":400},
      "tenants":[{"name":"one","apiKeys":["k"],"priority":1,"unit":"tokens",
        "plainTokens":200,"ratePerS":10.5,"burst":20}],"unknown":1})");
  });
  BOOST_REQUIRE(table);
  BOOST_TEST(
      (*table.value ==
       RouteTableContent{
           .version = 7,
           .routes = {{.name = "r",
                       .host = "h",
                       .path_prefix = "/p/",
                       .services = {{.service = "s"}},
                       .streaming = true,
                       .resumable = true,
                       .timeout = std::chrono::seconds(5),
                       .latency_target = std::chrono::milliseconds(500),
                       .event_gap_target = std::chrono::milliseconds(300),
                       .priority = 1,
                       .max_attempts = 2},
                      {.name = "q",
                       .host = "h",
                       .path_prefix = "/q/",
                       .services = {{.service = "s", .weight = 90}},
                       .idempotent = true}},
           .services = {{.name = "s", .batch_slots = 5}, {.name = "t"}},
           .teams = {{.name = "one",
                      .api_keys = {"k"},
                      .priority = 1,
                      .rate = {.per_second = 10.5,
                               .burst = 20,
                               .in_tokens = true,
                               .tokens_if_unknown = 200}}},
           .limits = {.head_bytes = 100,
                      .body_bytes = 200,
                      .head_time = std::chrono::milliseconds(300),
                      .idle_time = std::chrono::milliseconds(400)}}));
}

BOOST_AUTO_TEST_CASE(FaultsOfAConfigurationNameTheirPath) {
  const auto table = Catch(
      [] { return hybrid::DecodeConfig(R"({"routes":[{"host":"h"}]})"); });
  BOOST_TEST(!table);
  for (const char* fault : {"/version: is missing", "/routes/0/pathPrefix",
                            "/routes/0/kind", "/routes/0/service"}) {
    BOOST_TEST(table.failure.message.find(fault) != std::string::npos, fault);
  }
}

BOOST_AUTO_TEST_CASE(ServersAreDecoded) {
  const auto server = Catch([] {
    return hybrid::DecodeServer(
        {.name = "i-1", .content = R"({"service":"s","address":"10.0.0.1:80",
          "zone":"govan","slots":5,"state":"draining","sequence":4})"});
  });
  BOOST_REQUIRE(server);
  BOOST_TEST((*server.value == BackendServer{.id = "i-1",
                                             .service = "s",
                                             .address = "10.0.0.1:80",
                                             .data_centre = "govan",
                                             .slots = 5,
                                             .draining = true}));
}

}  // namespace lavenderkeel
