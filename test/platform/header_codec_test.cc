#include "platform/header_codec.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <vector>

namespace lavenderkeel {

namespace {

RequestHead ClientHead() {
  return {.method = "POST",
          .target = "/lohu/2f",
          .fields = {{"Host", "h.example"},
                     {"Request-Id", "9c41"},
                     {"Authorization", "Bearer secret"},
                     {"Deadline-Ms", "10000"},
                     {"Model", "m"},
                     {"Token-Count", "1460,80"},
                     {"Prompt-Prefix", "5c1e:800,e4402b7d:250"},
                     {"Last-Event-Id", "12"},
                     {"Tenant", "forged"},
                     {"Hold", "forged"},
                     {"Pin-Ms", "forged"},
                     {"Kv-Backup", "forged"},
                     {"Kv-From", "forged"},
                     {"Expect-Instance", "forged"},
                     {"Connection", "keep-alive"}}};
}

}  // namespace

BOOST_AUTO_TEST_CASE(RequestMetadataIsDecoded) {
  const auto metadata = hybrid::MakeHeaderCodec().read_request(ClientHead());
  BOOST_REQUIRE(metadata.has_value());
  BOOST_TEST(
      (*metadata == RequestMetadata{.request_id = "9c41",
                                    .api_key = "secret",
                                    .time_left = std::chrono::seconds(10),
                                    .prompt_tokens = 1460,
                                    .output_tokens = 80,
                                    .prompt_parts = {0x5c1e, 0xe4402b7d},
                                    .last_event_id = "12"}));
}

// Guards against a request that counts as late since its client would wait for
// longer than a duration can express.
BOOST_AUTO_TEST_CASE(HugeTimeLimitSaturates) {
  const auto time_left = [](const std::string& milliseconds) {
    const RequestHead head = {
        .fields = {{"Request-Id", "1"}, {"Deadline-Ms", milliseconds}}};
    return hybrid::MakeHeaderCodec().read_request(head)->time_left;
  };
  BOOST_CHECK(time_left("9223372036854775807") == kMaxDuration);
  BOOST_CHECK(time_left("-9223372036854775808") == -kMaxDuration);
  BOOST_CHECK(time_left("1500") == std::chrono::milliseconds(1500));
}

// Guards against refusing a request, or confusing its parts, because a part has
// an unusual id.
BOOST_AUTO_TEST_CASE(UnusualPromptPartsAreToldApart) {
  const ForwardCodec codec = hybrid::MakeHeaderCodec();
  const auto parts_of = [&codec](const std::string& value) {
    const RequestHead head = {
        .fields = {{"Request-Id", "1"}, {"Prompt-Prefix", value}}};
    return codec.read_request(head)->prompt_parts;
  };
  BOOST_TEST((parts_of("ff:1") == std::vector<PromptPartId>{255}));
  BOOST_TEST((parts_of("ff") == std::vector<PromptPartId>{255}));
  BOOST_TEST(parts_of("").empty());
  const std::vector<PromptPartId> parts =
      parts_of("sheet-7:1,sheet-8:1,ffffffffffffffffffff:1,:,");
  BOOST_TEST(parts.size() == 4U);
  BOOST_TEST(std::set(parts.begin(), parts.end()).size() == 4U);
  BOOST_TEST((parts_of("sheet-7:9").front() == parts.front()));
}

BOOST_AUTO_TEST_CASE(UnreadableFieldsAreRejected) {
  const ForwardCodec codec = hybrid::MakeHeaderCodec();
  for (const HttpField& bad : HttpFields{{"Deadline-Ms", "soon"},
                                         {"Token-Count", "12"},
                                         {"Token-Count", "a,b"},
                                         {"Deadline-Ms", "10 "}}) {
    RequestHead head{.method = "GET", .target = "/", .fields = {{"Host", "h"}}};
    head.fields.push_back({"Request-Id", "1"});
    head.fields.push_back(bad);
    BOOST_TEST(!codec.read_request(head).has_value(), bad.value);
  }
  BOOST_TEST(!codec.read_request({.fields = {{"Host", "h"}}}).has_value());
}

// Guards against forwarding the client's API key or fields that only the system
// may set. The server receives the team that the key belongs to.
BOOST_AUTO_TEST_CASE(ServerReceivesNoForgedFields) {
  const RequestHead sent = hybrid::MakeHeaderCodec().write_request(
      ClientHead(), {.server_id = "i-7f",
                     .team = "hule",
                     .time_left = std::chrono::milliseconds(9000),
                     .last_event_id = "15"});
  BOOST_TEST(
      (sent.fields == HttpFields{{"Host", "h.example"},
                                 {"Request-Id", "9c41"},
                                 {"Model", "m"},
                                 {"Token-Count", "1460,80"},
                                 {"Prompt-Prefix", "5c1e:800,e4402b7d:250"},
                                 {"Deadline-Ms", "9000"},
                                 {"Expect-Instance", "i-7f"},
                                 {"Tenant", "hule"},
                                 {"Last-Event-Id", "15"}}));
}

BOOST_AUTO_TEST_CASE(AnswerMetadataIsDecoded) {
  const ForwardCodec codec = hybrid::MakeHeaderCodec();
  using NotRun = AnswerStatements::NotRun;
  BOOST_TEST((codec.read_answer({.status = 200,
                                 .fields = {{"request-id", "9c41"},
                                            {"Response-Seal", "3e"},
                                            {"Content-Encoding", "gzip"}}}) ==
              AnswerMetadata{.statements = {.status = 200,
                                            .request_ids = {"9c41"},
                                            .sealed = true,
                                            .encoded = true}}));
  BOOST_TEST((codec.read_answer({.status = 421,
                                 .fields = {{"Not-Executed", "1"},
                                            {"instance-id", "i-7f"}}}) ==
              AnswerMetadata{.statements = {.status = 421,
                                            .server_ids = {"i-7f"},
                                            .not_run = NotRun::kStated}}));
}

// Guards against a receipt, or a statement that a request did not run, that is
// believed although its value denies it or another one contradicts it.
BOOST_AUTO_TEST_CASE(UnclearStatementsOfAnswersAreTold) {
  using NotRun = AnswerStatements::NotRun;
  const ForwardCodec codec = hybrid::MakeHeaderCodec();
  const auto read = [&codec](const HttpFields& fields) {
    return codec.read_answer({.status = 503, .fields = fields}).statements;
  };
  for (const char* value : {"0", "", "false", "no", "1, 0", "2"}) {
    BOOST_TEST((read({{"Not-Executed", value}}).not_run == NotRun::kUnclear),
               value);
  }
  BOOST_TEST((read({{"Not-Executed", "1"}, {"not-executed", "0"}}).not_run ==
              NotRun::kUnclear));
  BOOST_TEST((read({{"Not-Executed", "1"}, {"not-executed", "1"}}).not_run ==
              NotRun::kStated));
  BOOST_TEST(!read({{"Response-Seal", ""}}).sealed);
  BOOST_TEST(!read({{"Response-Seal", "a"}, {"response-seal", "b"}}).sealed);
  BOOST_TEST(read({{"Response-Seal", "a"}, {"response-seal", "a"}}).sealed);
}

// Guards against an answer to another request that is taken since it names this
// one, too.
BOOST_AUTO_TEST_CASE(ContradictoryRequestIdsIdentifyNoRequest) {
  const ForwardCodec codec = hybrid::MakeHeaderCodec();
  const auto ids_of = [&codec](const HttpFields& fields) {
    return codec.read_answer({.status = 200, .fields = fields})
        .statements.request_ids;
  };
  using Ids = std::vector<std::string>;
  BOOST_TEST((ids_of({{"Request-Id", "a"}, {"request-id", "a"}}) == Ids{"a"}));
  BOOST_TEST(
      (ids_of({{"Request-Id", "a"}, {"request-id", "b"}}) == Ids{"a", "b"}));
}

// Guards against parts of a prompt that are not examined as causes of crashes,
// since another field, or a space, stands before them.
BOOST_AUTO_TEST_CASE(PromptPartsOfAllFieldsAreRead) {
  const ForwardCodec codec = hybrid::MakeHeaderCodec();
  const auto metadata = codec.read_request({.fields = {
                                                {"Request-Id", "r"},
                                                {"Prompt-Prefix", "a1:8, b2:4"},
                                                {"prompt-prefix", " c3 :2"},
                                            }});
  BOOST_REQUIRE(metadata.has_value());
  BOOST_TEST(
      (metadata->prompt_parts == std::vector<PromptPartId>{0xa1, 0xb2, 0xc3}));
}

// Guards against a leaving server whose notice no entry reads.
BOOST_AUTO_TEST_CASE(ServerLeavingIsDecoded) {
  const AnswerMetadata metadata = hybrid::MakeHeaderCodec().read_answer(
      {.status = 200, .fields = {{"Server-Leaving", "1"}}});
  BOOST_TEST_REQUIRE(metadata.notices.stated().size() == 1U);
  BOOST_TEST((metadata.notices.stated().front() ==
              AnswerNotices::Stated{.kind = NoticeKind::kLeaving, .value = 1}));
}

// Guards against a rest that no entry reads. Other answers with Retry-After do
// not concern the server.
BOOST_AUTO_TEST_CASE(RetryAfterIsDecodedFromRefusalsOnly) {
  const ForwardCodec codec = hybrid::MakeHeaderCodec();
  const AnswerMetadata refusal =
      codec.read_answer({.status = 503, .fields = {{"Retry-After", "2.5"}}});
  BOOST_TEST_REQUIRE(refusal.notices.stated().size() == 1U);
  BOOST_TEST(
      (refusal.notices.stated().front() ==
       AnswerNotices::Stated{.kind = NoticeKind::kPushback, .value = 2.5}));
  BOOST_TEST(
      (codec.read_answer({.status = 429, .fields = {{"Retry-After", "2.5"}}})
           .notices == AnswerNotices()));
}

// Guards against a server's limit that no entry reads.
BOOST_AUTO_TEST_CASE(ServerLimitIsDecoded) {
  const ForwardCodec codec = hybrid::MakeHeaderCodec();
  const AnswerMetadata metadata =
      codec.read_answer({.status = 200, .fields = {{"server-limit", "2.6"}}});
  BOOST_TEST_REQUIRE(metadata.notices.stated().size() == 1U);
  BOOST_TEST(
      (metadata.notices.stated().front() ==
       AnswerNotices::Stated{.kind = NoticeKind::kRateLimit, .value = 2.6}));
  BOOST_TEST(codec
                 .read_answer(
                     {.status = 200,
                      .fields = {{"Server-Limit", "2"}, {"Server-Limit", "9"}}})
                 .notices.stated()
                 .empty());
}

}  // namespace lavenderkeel
