#include "platform/rollout_codec.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "platform/store_reader.h"

namespace lavenderkeel {

namespace {

StoredObject Stored(const std::string& spec, const std::string& status) {
  return {.name = "plain",
          .revision = 12,
          .content = spec,
          .status = status,
          .created = 7};
}

constexpr char kSpec[] = R"({"service":"plain","to":"v2","durationS":12})";

}  // namespace

BOOST_AUTO_TEST_CASE(OrderIsDecodedWithItsDuration) {
  const auto order =
      Catch([] { return hybrid::DecodeRollout(Stored(kSpec, "")); });
  BOOST_REQUIRE(static_cast<bool>(order));
  BOOST_TEST(
      (*order.value == RolloutOrder{.name = "plain",
                                    .revision = 12,
                                    .created = 7,
                                    .service = "plain",
                                    .to = "v2",
                                    .duration = std::chrono::seconds(12)}));
}

BOOST_AUTO_TEST_CASE(EncodedRecordIsDecoded) {
  const RolloutRecord record = {
      .state = RolloutRecord::State::kRolledBack,
      .to = "v2",
      .from = "v1",
      .duration = std::chrono::seconds(12),
      .created = 7,
      .started = WallTime(std::chrono::milliseconds(1'770'000'000'123))};
  const auto order = Catch([&record] {
    return hybrid::DecodeRollout(Stored(kSpec, hybrid::EncodeRecord(record)));
  });
  BOOST_REQUIRE(static_cast<bool>(order));
  BOOST_TEST((order.value->record == record));
  BOOST_TEST(order.value->answered());
}

// Guards against treating an order without a version as one that moves all
// requests.
BOOST_AUTO_TEST_CASE(OrderWithoutVersionIsRejected) {
  const auto order = Catch([] {
    return hybrid::DecodeRollout(Stored(R"({"service":"plain"})", ""));
  });
  BOOST_REQUIRE(!static_cast<bool>(order));
  BOOST_TEST((order.failure.code == ResultCode::kConfigInvalid));
  BOOST_TEST(order.failure.message.find("/to") != std::string::npos);
}

// Guards against an order that has ended before it begins because its times are
// beyond the range of a duration.
BOOST_AUTO_TEST_CASE(HugeTimesOfAnOrderSaturate) {
  for (const std::string huge : {"1e300", "9223372036854775807"}) {
    const auto order = Catch([&] {
      return hybrid::DecodeRollout(
          Stored(R"({"service":"plain","to":"v2","durationS":)" + huge + "}",
                 R"({"state":"serving","to":"v2","startedMs":)"
                 R"(9223372036854775807})"));
    });
    BOOST_REQUIRE(static_cast<bool>(order));
    BOOST_CHECK(order.value->duration == kMaxDuration);
    BOOST_REQUIRE(order.value->record.has_value());
    BOOST_CHECK(order.value->record->started == WallTime(kMaxDuration));
  }
}

// Guards against an order that is lost because its object can't be read any
// more, at an entry that starts then.
BOOST_AUTO_TEST_CASE(UnreadableOrderIsThatOfItsRecord) {
  const std::string status = hybrid::EncodeRecord(
      {.to = "v2",
       .from = "v1",
       .duration = std::chrono::seconds(12),
       .created = 7,
       .started = WallTime(std::chrono::seconds(1'770'000'000))});
  const auto order =
      Catch([&] { return hybrid::DecodeRollout(Stored("", status)); });
  const auto whole =
      Catch([&] { return hybrid::DecodeRollout(Stored(kSpec, status)); });
  BOOST_REQUIRE(static_cast<bool>(order));
  BOOST_TEST((order.value->fault->code == ResultCode::kMalformedJson));
  BOOST_TEST(order.value->answered());
  BOOST_TEST(KeyOf(*order.value) == KeyOf(*whole.value));
  // The record of an object of that name that was removed.
  StoredObject later = Stored("", status);
  later.created = 8;
  BOOST_TEST(!Catch([&] { return hybrid::DecodeRollout(later); }));
}

// Guards against losing an order because of an unreadable status from another
// writer.
BOOST_AUTO_TEST_CASE(UnreadableRecordIsIgnored) {
  for (const char* status :
       {"[]", "{", R"({"state":"paused","to":"v2"})", R"({"state":4})"}) {
    const auto order =
        Catch([&] { return hybrid::DecodeRollout(Stored(kSpec, status)); });
    BOOST_REQUIRE(static_cast<bool>(order));
    BOOST_TEST(!order.value->record.has_value());
  }
}

// Guards against ending a new order by the record of an earlier order with the
// same name.
BOOST_AUTO_TEST_CASE(RecordOfAnEarlierOrderIsNoAnswer) {
  const auto order = Catch([] {
    return hybrid::DecodeRollout(
        Stored(kSpec, R"({"state":"completed","to":"v1","durationS":12})"));
  });
  BOOST_REQUIRE(static_cast<bool>(order));
  BOOST_TEST(!order.value->answered());
}

BOOST_AUTO_TEST_CASE(OutcomesOfWritesAreDistinguished) {
  using hybrid::StoreReader;
  const RecordWrite done = StoreReader::DecodeWrite(
      200, R"({"metadata":{"name":"plain","revision":44},"spec":{}})");
  BOOST_TEST((done == RecordWrite{.outcome = RecordWrite::Outcome::kDone,
                                  .revision = 44}));
  BOOST_TEST((StoreReader::DecodeWrite(409, "{}").outcome ==
              RecordWrite::Outcome::kConflict));
  for (const int status : {200, 429, 503}) {
    BOOST_TEST((StoreReader::DecodeWrite(status, "no JSON").outcome ==
                RecordWrite::Outcome::kFailed));
  }
}

}  // namespace lavenderkeel
