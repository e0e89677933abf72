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

/// Watch whose reads the test answers.
struct Harness {
  struct Call {
    uint64_t number = 0;
    ObjectRead read;
  };

  fuzz::VirtualClock clock;
  std::mt19937_64 random{1};
  EventLog log;
  std::deque<Call> calls;
  std::vector<std::string> events;
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
             events.push_back(text);
           },
       .on_change =
           [this](const StoredObject& object) {
             events.push_back((object.removed ? "removed " : "changed ") +
                              object.name);
           },
       .on_outage = [this] { events.emplace_back("outage"); },
       .on_recovery = [this] { events.emplace_back("recovery"); }},
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

// Guards against missing a change that is made while the pages of a list are
// read, to an object on a page already read.
BOOST_AUTO_TEST_CASE(PagesAreJoinedAndTheWatchContinuesFromTheFirst) {
  Harness h;
  h.watch.Start();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk,
                      .objects = {Object("a")},
                      .last_name = "a",
                      .more = true,
                      .revision = 10});
  const Harness::Call second = h.Take();
  BOOST_TEST(second.read.after_name == "a");
  h.Answer(
      second,
      {.outcome = ReadOutcome::kOk, .objects = {Object("b")}, .revision = 12});
  BOOST_TEST((h.events == std::vector<std::string>{"list a b"}));
  const Harness::Call watch = h.Take();
  BOOST_TEST((watch.read.kind == Kind::kWatch));
  BOOST_TEST(watch.read.revision == 10U);
  h.Answer(watch, {.outcome = ReadOutcome::kOk,
                   .objects = {Object("b", /*removed=*/true)},
                   .revision = 13});
  BOOST_TEST(h.events.back() == "removed b");
  // Further changes of the same burst are returned by the next call.
  h.watch.Tick();
  BOOST_TEST(h.calls.empty());
  h.TickLater();
  BOOST_TEST(h.Take().read.revision == 13U);
}

// Guards against a page without a readable object that ends the list.
BOOST_AUTO_TEST_CASE(PageOfUnreadableObjectsDoesNotEndTheList) {
  Harness h;
  h.watch.Start();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk,
                      .unreadable = 500,
                      .last_name = "\xff",
                      .more = true,
                      .revision = 10});
  const Harness::Call second = h.Take();
  BOOST_TEST(second.read.after_name == "\xff");
  h.Answer(
      second,
      {.outcome = ReadOutcome::kOk, .objects = {Object("b")}, .revision = 12});
  BOOST_TEST((h.events == std::vector<std::string>{"list b"}));
  BOOST_TEST(h.Take().read.revision == 10U);
}

// Guards against a partial list, from which servers would be missing, and
// against reading pages for ever, if a page does not lead to the next one.
BOOST_AUTO_TEST_CASE(PageThatLeadsNowhereIsReadAgain) {
  for (const std::string& last_name :
       {std::string(), std::string("a"), std::string("b")}) {
    Harness h;
    h.watch.Start();
    for (const std::string& name : {std::string("a"), std::string("b")}) {
      h.Answer(h.Take(), {.outcome = ReadOutcome::kOk,
                          .objects = {Object(name)},
                          .last_name = name,
                          .more = true,
                          .revision = 10});
    }
    h.Answer(h.Take(), {.outcome = ReadOutcome::kOk,
                        .unreadable = 1,
                        .last_name = last_name,
                        .more = true,
                        .revision = 10});
    BOOST_TEST((h.events == std::vector<std::string>{"outage"}));
    h.TickLater();
    BOOST_TEST(h.Take().read.after_name.empty());
  }
}

// The store drops its history while a change is made. By watching on, the
// change would be missed, so all objects are listed again.
BOOST_AUTO_TEST_CASE(MissingHistoryIsListedAgain) {
  Harness h;
  h.watch.Start();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk, .revision = 10});
  h.Answer(h.Take(), {.outcome = ReadOutcome::kHistoryGone});
  const Harness::Call list = h.Take();
  BOOST_TEST((list.read.kind == Kind::kList));
  h.Answer(
      list,
      {.outcome = ReadOutcome::kOk, .objects = {Object("c")}, .revision = 40});
  BOOST_TEST(h.events.back() == "list c");
}

// Guards against changes that are never read, since together they are larger
// than an answer may be.
BOOST_AUTO_TEST_CASE(ChangesThatAreTooLargeAreListed) {
  Harness h;
  h.watch.Start();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk, .revision = 10});
  h.Answer(h.Take(), {.outcome = ReadOutcome::kTooLarge});
  const Harness::Call list = h.Take();
  BOOST_TEST((list.read.kind == Kind::kList));
  // A page that is too large is read again after a while.
  h.Answer(list, {.outcome = ReadOutcome::kTooLarge});
  BOOST_TEST(h.calls.empty());
  BOOST_TEST(h.events.back() == "outage");
  h.TickLater();
  BOOST_TEST((h.Take().read.kind == Kind::kList));
}

BOOST_AUTO_TEST_CASE(OutageAndRecoveryAreReportedOnce) {
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
  // The watch does not wait for changes, so that the recovery is detected at
  // once.
  BOOST_TEST((watch.read.wait == Duration::zero()));
  h.Answer(watch, {.outcome = ReadOutcome::kOk, .revision = 11});
  BOOST_TEST((h.Take().read.wait > Duration::zero()));
  BOOST_TEST(
      (h.events == std::vector<std::string>{"list", "outage", "recovery"}));
}

// The process is frozen with a read pending. The answer from before the freeze
// arrives after the new list and must not bring back the old state.
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
  BOOST_TEST((h.events == std::vector<std::string>{"list", "list new"}));
}

// The connection of a waiting watch becomes unresponsive, a server leaves, and
// another entry reports the change. The store is asked again well before the
// wait is over, on another connection; a late answer on the old connection is
// ignored.
BOOST_AUTO_TEST_CASE(ChangeReportedByOthersIsRead) {
  Harness h;
  h.watch.Start();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk, .revision = 10});
  const Harness::Call unresponsive = h.Take();
  h.clock.Advance(std::chrono::seconds(1));
  h.watch.OnPeerRevision(12);
  h.watch.Tick();
  BOOST_TEST(h.calls.empty());
  h.clock.Advance(std::chrono::milliseconds(600));
  h.watch.Tick();
  const Harness::Call repeated = h.Take();
  BOOST_TEST((repeated.read.wait == Duration::zero()));
  h.Answer(unresponsive, {.outcome = ReadOutcome::kOk, .revision = 11});
  h.Answer(repeated, {.outcome = ReadOutcome::kOk,
                      .objects = {Object("a", /*removed=*/true)},
                      .revision = 12});
  BOOST_TEST(h.events.back() == "removed a");
  BOOST_TEST(h.watch.last_change() == 12U);
}

// A change that this watch has already received, or a recent answer, causes no
// further call.
BOOST_AUTO_TEST_CASE(KnownChangesAreNotReadAgain) {
  Harness h;
  h.watch.Start();
  h.Answer(h.Take(), {.outcome = ReadOutcome::kOk, .revision = 10});
  h.Take();
  h.watch.Confirm();
  h.watch.OnPeerRevision(10);
  h.TickLater();
  BOOST_TEST(h.calls.empty());
  h.watch.Confirm();
  BOOST_TEST(h.calls.size() == 1U);
}

// A single watch that is cut off does not count as an outage for others to
// investigate; a second failure in a row does.
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
