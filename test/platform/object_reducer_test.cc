#include "platform/object_reducer.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "platform/object_decoder.h"

namespace lavenderkeel {

namespace {

constexpr size_t kObjectBytes = size_t{1} << 20;

/// Returns the content of a server that another writer has filled up.
std::string LargeServer(const std::string& state) {
  return R"({"service":"models","address":"10.1.0.4:80","zone":"a",)"
         R"("version":"v1","slots":5,"born":1770000000123,"state":")" +
         state + R"(","note":")" + std::string(kObjectBytes, 'x') + R"("})";
}

StoredObject Reduced(const std::string& kind, StoredObject object) {
  hybrid::ReduceObject(kind, object);
  return object;
}

}  // namespace

// Guards against servers that are lost, or whose state changes, when what other
// writers add to their entries is dropped.
BOOST_AUTO_TEST_CASE(LargeServerIsReducedToItsFields) {
  for (const std::string state : {"ready", "draining"}) {
    const StoredObject whole = {.name = "i-1", .content = LargeServer(state)};
    const StoredObject reduced = Reduced("servers", whole);
    BOOST_TEST(reduced.content.size() <= hybrid::kMaxUnreducedBytes);
    const auto before = Catch([&] { return hybrid::DecodeServer(whole); });
    const auto after = Catch([&] { return hybrid::DecodeServer(reduced); });
    BOOST_REQUIRE(static_cast<bool>(after));
    BOOST_TEST((*after.value == *before.value));
  }
  const StoredObject unreadable =
      Reduced("servers", {.name = "i-1", .content = LargeServer("unknown")});
  BOOST_TEST(unreadable.content.size() <= hybrid::kMaxUnreducedBytes);
  BOOST_TEST(!Catch([&] { return hybrid::DecodeServer(unreadable); }));
}

// Guards against objects that no part of the program reads but that fill its
// memory.
BOOST_AUTO_TEST_CASE(LargeContentThatNobodyReadsIsDropped) {
  const std::string large =
      R"({"note":")" + std::string(kObjectBytes, 'x') + R"("})";
  const StoredObject object = {
      .name = "other", .content = large, .status = large};
  for (const char* kind : {"config", "crash-evidence"}) {
    BOOST_TEST(Reduced(kind, object).content.empty(), kind);
    BOOST_TEST(Reduced(kind, object).status.empty(), kind);
  }
  BOOST_TEST(Reduced("entries", object).content.empty());
  BOOST_TEST(Reduced("rollouts", object).content == large);
  StoredObject main = object;
  main.name = "main";
  BOOST_TEST(Reduced("config", main).content == large);
  BOOST_TEST(Reduced("crash-evidence", main).status == large);
}

}  // namespace lavenderkeel
