#include "lavenderkeel/dispatch/request_body.h"

#include <algorithm>
#include <boost/json.hpp>
#include <string_view>
#include <utility>

#include "lavenderkeel/base/rendezvous.h"
#include "lavenderkeel/config/json_reader.h"
#include "lavenderkeel/dispatch/prompt_parts.h"

namespace lavenderkeel::internal {

namespace json = boost::json;

namespace {

/// A typical average. Its error cancels out, since agents observe prefill times
/// per estimated token.
constexpr size_t kBytesPerToken = 4;
constexpr uint64_t kDefaultMaxTokens = 256;
constexpr uint64_t kMaxTokensLimit = 1'000'000;
constexpr size_t kPrefixBlockBytes = 1024;
constexpr size_t kMaxPrefixBlocks = 16;

/// A parsed value takes up to a hundred times its text, with what is said of
/// its faults.
constexpr size_t kMaxValues = size_t{1} << 16;

/// Returns whether a JSON text has more values than a limit, counted by what
/// separates them.
bool HasMoreValues(std::string_view text, size_t limit) {
  constexpr std::string_view kSeparators = ",:[{";
  size_t values = 1;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    if (in_string && text[i] == '\\') {
      ++i;
    } else if (text[i] == '"') {
      in_string = !in_string;
    } else if (!in_string &&
               kSeparators.find(text[i]) != std::string_view::npos &&
               ++values > limit) {
      return true;
    }
  }
  return false;
}

struct Prompt {
  std::string text;
  std::vector<PromptPartId> parts;
};

Prompt JoinMessages(JsonReader& reader, Faults& faults) {
  Prompt prompt;
  reader.Array("messages", [&](const json::value& item,
                               const std::string& path) {
    JsonReader message(item, path, faults);
    prompt.text += message.String("role", {.required = true});
    const std::string content = message.String("content", {.required = true});
    prompt.text += ": " + content + "\n";
    AddPromptParts(content, prompt.parts);
  });
  return prompt;
}

Prompt ReadPrompt(JsonReader& reader) {
  Prompt prompt = {.text = reader.String("prompt", {.required = true}),
                   .parts = {}};
  AddPromptParts(prompt.text, prompt.parts);
  return prompt;
}

/// Hashes of all prefixes of the prompt in whole blocks, shortest first.
std::vector<uint64_t> PrefixHashes(const std::string& prompt) {
  std::vector<uint64_t> hashes;
  const size_t blocks =
      std::min(prompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  uint64_t hash = 0;
  for (size_t i = 0; i < blocks; ++i) {
    const std::string_view block(prompt.data() + i * kPrefixBlockBytes,
                                 kPrefixBlockBytes);
    hash = HashBytes(block, hash);
    hashes.push_back(hash);
  }
  return hashes;
}

}  // namespace

leaf::result<ParsedBody> ParseEngineBody(const std::string& body,
                                         bool chat,
                                         const Config& config) {
  if (HasMoreValues(body, kMaxValues)) {
    return leaf::new_error(
        Failure{ResultCode::kWrongType,
                "/: has more than " + std::to_string(kMaxValues) + " values"});
  }
  BOOST_LEAF_AUTO(value, ParseJson(body));
  Faults faults;
  JsonReader reader(value, "", faults);
  const std::string model = reader.String("model", {.required = true});
  const Prompt prompt =
      chat ? JoinMessages(reader, faults) : ReadPrompt(reader);
  if (chat && !reader.Has("messages")) {
    reader.Fault("messages", "is missing");
  }
  const uint64_t max_tokens = reader.Number(
      "max_tokens",
      {.default_value = kDefaultMaxTokens, .min = 1, .max = kMaxTokensLimit});
  ParsedBody parsed;
  parsed.stream = reader.Bool("stream", false);
  BOOST_LEAF_CHECK(CheckFaults(faults, ResultCode::kWrongType));
  if (!config.HasModel(model)) {
    return leaf::new_error(Failure{ResultCode::kUnknownModel, model});
  }
  // Other fields set by the caller, such as temperature, are passed through.
  json::object engine_body = value.get_object();
  engine_body.erase("messages");
  engine_body["prompt"] = prompt.text;
  engine_body["max_tokens"] = max_tokens;
  parsed.payload = {
      .service = false,
      .method = "POST",
      .path = "/v1/completions",
      .body = json::serialize(engine_body),
      .head = json::serialize(json::object{
          {"kind", chat ? "chat" : "completion"}, {"model", model}}),
      .required_backend = "engine",
      .prompt_tokens =
          static_cast<uint32_t>(prompt.text.size() / kBytesPerToken + 1),
      .max_tokens = static_cast<uint32_t>(max_tokens),
      .prefix = PrefixHashes(prompt.text),
      .prompt_parts = prompt.parts};
  return parsed;
}

}  // namespace lavenderkeel::internal
