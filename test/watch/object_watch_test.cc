#include "lavenderkeel/watch/object_watch.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <string>
#include <vector>

#include "test/fuzz/virtual_clock.h"

namespace lavenderkeel {

namespace {

using ReadOutcome = ObjectReadResult::Outcome;
using Kind = ObjectRead::Kind;

/// A watch whose reads are answered by hand.
struct Harness {
  struct Call {
    uint64_t number = 0;
    ObjectRead read;
  };

  fuzz::VirtualClock clock;
  std::mt19937_64 random{1};
  EventLog log;
  std::deque<Call> calls;
  std::vector<std::string> told;
  ObjectWatch watch{
      {.object_kind = "servers"},
      {.read =
           [this](uint64_t call, const ObjectRead& read) {
             calls.push_back({call, read});
           },
       .on_list =
           [this](const std::vector<StoredObject>& objects) {
             std::string text = "list";
             for (const StoredObject& object : objects) {
               text += " " + object.name;
             }
             told.push_back(text);
           },
       .on_change =
           [this](const StoredObject& object) {
             told.push_back((object.removed ? "removed " : "changed ") +
                            object.name);
           },
       .on_outage = [this] { told.emplace_back("outage"); },
       .on_return = [this] { told.emplace_back("return"); }},
      clock,
      random,
      log};

  Call Take() {
    BOOST_REQUIRE(!calls.empty());
    Call call = calls.front();
    calls.pop_front();
    return call;
  }
  void Answer(const Call& call, const ObjectReadResult& result) {
    watch.OnResult(call.number, result);
  }
  void TickLater() {
    clock.Advance(std::chrono::seconds(2));
    watch.Tick();
  }
};

StoredObject Object(const std::string& name, bool removed = false) {
  return {.name = name, .revision = 1, .removed = removed};
}

}  // namespace

BOOST_AUTO_TEST_CASE(PagesAreJoinedAndTheWatchGoesOnFromTheFirst) {
  Harness h;
  h.watch.Start();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk,
                      .objects = {Object("a")},
                      .more = true,
                      .revision = 10});
  const Harness::Call second = h.Take();
  BOOST_TEST(second.read.after_name == "a");
  h.Answer(
      second,
      {.outcome = ReadOutcome::kOk, .objects = {Object("b")}, .revision = 12});
  BOOST_TEST((h.told == std::vector<std::string>{"list a b"}));
  const Harness::Call watch = h.Take();
  BOOST_TEST((watch.read.kind == Kind::kWatch));
  BOOST_TEST(watch.read.revision == 10U);
  h.Answer(watch, {.outcome = ReadOutcome::kOk,
                   .objects = {Object("b", /*removed=*/true)},
                   .revision = 13});
  BOOST_TEST(h.told.back() == "removed b");
  // Further changes of the same wave come with the next call.
  h.watch.Tick();
  BOOST_TEST(h.calls.empty());
  h.TickLater();
  BOOST_TEST(h.Take().read.revision == 13U);
}

// The store drops its history while a change is made. The entry would never
// learn of the change by watching on; it lists anew.
BOOST_AUTO_TEST_CASE(GoneHistoryIsListedAnew) {
  Harness h;
  h.watch.Start();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk, .revision = 10});
  h.Answer(h.Take(), {.outcome = ReadOutcome::kHistoryGone});
  const Harness::Call list = h.Take();
  BOOST_TEST((list.read.kind == Kind::kList));
  h.Answer(
      list,
      {.outcome = ReadOutcome::kOk, .objects = {Object("c")}, .revision = 40});
  BOOST_TEST(h.told.back() == "list c");
}

BOOST_AUTO_TEST_CASE(OutageAndReturnAreToldOnce) {
  Harness h;
  h.watch.Start();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk, .revision = 10});
  h.Answer(h.Take(), {.outcome = ReadOutcome::kNoAnswer});
  h.watch.Tick();
  BOOST_TEST(h.calls.empty());
  h.TickLater();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kRefused});
  h.TickLater();
  const Harness::Call watch = h.Take();
  BOOST_TEST((watch.read.kind == Kind::kWatch));
  BOOST_TEST(watch.read.revision == 10U);
  // It does not wait for changes, so that the return is seen at once.
  BOOST_TEST((watch.read.wait == Duration::zero()));
  h.Answer(watch, {.outcome = ReadOutcome::kOk, .revision = 11});
  BOOST_TEST((h.Take().read.wait > Duration::zero()));
  BOOST_TEST((h.told == std::vector<std::string>{"list", "outage", "return"}));
}

// The process stood still with a read under way. Its answer, from before,
// comes after the list that was read anew; it must not bring an old state back.
BOOST_AUTO_TEST_CASE(AnswerFromBeforeARestartIsIgnored) {
  Harness h;
  h.watch.Start();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk, .revision = 10});
  const Harness::Call old = h.Take();
  h.watch.Restart();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk,
                      .objects = {Object("new")},
                      .revision = 20});
  h.Answer(old, {.outcome = ReadOutcome::kOk,
                 .objects = {Object("old")},
                 .revision = 11});
  BOOST_TEST((h.told == std::vector<std::string>{"list", "list new"}));
}

// The connection of a waiting watch goes silent, a server leaves, and another
// entry tells of the change. The watch asks anew well before its wait is over,
// on another connection; what the silent one may still bring is ignored.
BOOST_AUTO_TEST_CASE(ChangeThatOthersTellOfIsRead) {
  Harness h;
  h.watch.Start();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk, .revision = 10});
  const Harness::Call silent = h.Take();
  h.clock.Advance(std::chrono::seconds(1));
  h.watch.OnToldBy(12);
  h.watch.Tick();
  BOOST_TEST(h.calls.empty());
  h.clock.Advance(std::chrono::milliseconds(600));
  h.watch.Tick();
  const Harness::Call asked = h.Take();
  BOOST_TEST((asked.read.wait == Duration::zero()));
  h.Answer(silent, {.outcome = ReadOutcome::kOk, .revision = 11});
  h.Answer(asked, {.outcome = ReadOutcome::kOk,
                   .objects = {Object("a", /*removed=*/true)},
                   .revision = 12});
  BOOST_TEST(h.told.back() == "removed a");
  BOOST_TEST(h.watch.last_change() == 12U);
}

// A change that this watch has already, or an answer a moment ago, costs no
// further call.
BOOST_AUTO_TEST_CASE(WhatIsKnownIsNotAskedFor) {
  Harness h;
  h.watch.Start();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk, .revision = 10});
  h.Take();
  h.watch.Confirm();
  h.watch.OnToldBy(10);
  h.TickLater();
  BOOST_TEST(h.calls.empty());
  h.watch.Confirm();
  BOOST_TEST(h.calls.size() == 1U);
}

// One watch that is cut off is no outage that others have to look into; a
// second failure in a row is.
BOOST_AUTO_TEST_CASE(StoreCountsAsLostAfterTheSecondFailure) {
  Harness h;
  h.watch.Start();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk, .revision = 10});
  h.Answer(h.Take(), {.outcome = ReadOutcome::kNoAnswer});
  BOOST_TEST(!h.watch.lost());
  h.TickLater();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kNoAnswer});
  BOOST_TEST(h.watch.lost());
  h.TickLater();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk, .revision = 11});
  BOOST_TEST(!h.watch.lost());
}

}  // namespace lavenderkeel
