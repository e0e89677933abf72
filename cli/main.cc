// lavenderkeel: the operators' command-line tool.
#include <gflags/gflags.h>

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "lavenderkeel/config.h"
#include "lavenderkeel/io/daemon_main.h"
#include "lavenderkeel/io/event_loop.h"
#include "lavenderkeel/io/http_client.h"

DEFINE_string(entry, "", "address of an entry's caller port");
DEFINE_string(key_file, "", "file that holds the operator key");
DEFINE_int64(if_version, -1, "accept only if this version is in force");
DEFINE_string(output, "text", "json or text");
DECLARE_bool(help);
DECLARE_bool(version);

namespace {

namespace json = boost::json;
using lavenderkeel::HttpResult;

/// Exit statuses, as listed in the usage text.
enum ExitStatus {
  kAccepted = 0,
  kBadUse = 2,
  kConflict = 3,
  kNotAccepted = 4,
  kUnknownOutcome = 5,
};

constexpr char kUsage[] =
    "lavenderkeel --entry ADDRESS --key_file FILE COMMAND\n"
    "\n"
    "  config validate FILE   check a document, offline\n"
    "  config apply FILE      put a document in force\n"
    "  config get             show the configuration in force\n"
    "  preset list            show the presets\n"
    "  preset show            show the preset in force\n"
    "  preset use NAME        put a preset in force\n"
    "  status                 instances, versions, queues\n"
    "  drain INSTANCE         stop giving an instance new work\n"
    "  undrain INSTANCE       give an instance new work again\n"
    "  explain KEY            show why a request was placed where it was\n"
    "\n"
    "  --if_version N         accept only if version N is in force\n"
    "  --output json|text     (text)\n"
    "\n"
    "Exit: 0 accepted, 2 bad use or invalid document, 3 conflict,\n"
    "4 not accepted for certain, 5 outcome unknown (try `config get`).\n";

struct Call {
  std::string method = "GET";
  std::string path;
  std::string body;
  /// True for a change: if no answer arrives, its outcome is unknown.
  bool changes = false;
};

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "can't read " << path << "\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int Validate(const std::string& path) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text.has_value()) {
    return kBadUse;
  }
  const auto document = lavenderkeel::Catch(
      [&] { return lavenderkeel::ParseConfigDocument(*text); });
  if (!document) {
    std::cerr << document.failure.message << "\n";
    return kBadUse;
  }
  std::cout << "valid\n";
  return kAccepted;
}

std::optional<Call> MakeCall(const std::vector<std::string>& words) {
  const std::string condition =
      FLAGS_if_version < 0 ? ""
                           : "?if_version=" + std::to_string(FLAGS_if_version);
  const std::string& first = words[0];
  const std::string second = words.size() > 1 ? words[1] : "";
  const std::string third = words.size() > 2 ? words[2] : "";
  if (first == "config" && second == "apply" && words.size() == 3) {
    const std::optional<std::string> text = ReadFile(third);
    if (!text.has_value()) {
      return std::nullopt;
    }
    return Call{"POST", "/admin/v1/config" + condition, *text, true};
  }
  if (first == "config" && second == "get" && words.size() == 2) {
    return Call{"GET", "/admin/v1/config", "", false};
  }
  const bool is_list_command = second == "list" || second == "show";
  if (first == "preset" && is_list_command && words.size() == 2) {
    return Call{"GET", "/admin/v1/presets", "", false};
  }
  if (first == "preset" && second == "use" && words.size() == 3) {
    return Call{"POST", "/admin/v1/preset" + condition,
                json::serialize(json::object{{"name", third}}), true};
  }
  if (first == "status" && words.size() == 1) {
    return Call{"GET", "/admin/v1/status", "", false};
  }
  const bool is_drain_command = first == "drain" || first == "undrain";
  if (is_drain_command && words.size() == 2) {
    return Call{"POST", "/admin/v1/" + first,
                json::serialize(json::object{{"name", second}}), true};
  }
  if (first == "explain" && words.size() == 2) {
    return Call{"GET", "/admin/v1/explain/" + second, "", false};
  }
  std::cerr << kUsage;
  return std::nullopt;
}

HttpResult Perform(const Call& call, const std::string& key) {
  constexpr auto kTimeout = std::chrono::seconds(15);
  lavenderkeel::EventLoop loop;
  lavenderkeel::HttpClient client(loop);
  HttpResult result;
  client.Start({.address = FLAGS_entry,
                .method = call.method,
                .path = call.path,
                .headers = {{"Authorization", "Bearer " + key},
                            {"Content-Type", "application/json"}},
                .body = call.body,
                .timeout = kTimeout,
                .on_data = nullptr,
                .on_done = [&](const HttpResult& done) {
                  result = done;
                  loop.Stop();
                }});
  loop.Run();
  return result;
}

/// Prints the value as indented `name: value` lines.
void PrintText(const json::value& value, const std::string& indent) {
  if (const json::object* object = value.if_object()) {
    for (const auto& field : *object) {
      const bool nested = field.value().is_structured();
      std::cout << indent << field.key() << ":" << (nested ? "\n" : " ");
      PrintText(field.value(), nested ? indent + "  " : "");
    }
  } else if (const json::array* array = value.if_array()) {
    for (const json::value& item : *array) {
      if (item.is_structured()) {
        std::cout << indent << "-\n";
        PrintText(item, indent + "  ");
      } else {
        PrintText(item, indent);
      }
    }
  } else if (const json::string* text = value.if_string()) {
    std::cout << indent << text->c_str() << "\n";
  } else {
    std::cout << indent << value << "\n";
  }
}

void Print(const std::string& body, bool only_preset) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  if (error || FLAGS_output == "json") {
    std::cout << body << "\n";
  } else if (only_preset && value.is_object()) {
    PrintText(value.as_object().at("in_force"), "");
  } else {
    PrintText(value, "");
  }
}

int StatusOf(const HttpResult& result, bool changes) {
  if (result.kind == HttpResult::Kind::kNotSent) {
    std::cerr << "no connection to " << FLAGS_entry << "\n";
    return kNotAccepted;
  }
  if (result.kind == HttpResult::Kind::kNoAnswer) {
    std::cerr << "no answer from " << FLAGS_entry << "\n";
    return changes ? kUnknownOutcome : kNotAccepted;
  }
  switch (result.status) {
    case 200:
      return kAccepted;
    case 409:
      return kConflict;
    case 504:
      return kUnknownOutcome;
    case 400:
    case 404:
      return kBadUse;
    default:
      return kNotAccepted;
  }
}

std::string Trimmed(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetVersionString(lavenderkeel::kVersion);
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, /*remove_flags=*/true);
  const std::vector<std::string> words(argv + 1, argv + argc);
  if (FLAGS_help || FLAGS_version) {
    std::cout << (FLAGS_help ? kUsage : lavenderkeel::kVersion) << "\n";
    return kAccepted;
  }
  const bool output_known = FLAGS_output == "json" || FLAGS_output == "text";
  if (words.empty() || !output_known) {
    std::cerr << kUsage;
    return kBadUse;
  }
  if (words.size() == 3 && words[0] == "config" && words[1] == "validate") {
    return Validate(words[2]);
  }
  const std::optional<Call> call = MakeCall(words);
  if (!call.has_value()) {
    return kBadUse;
  }
  if (FLAGS_entry.empty() || FLAGS_key_file.empty()) {
    std::cerr << "--entry and --key_file are required\n";
    return kBadUse;
  }
  const std::optional<std::string> key = ReadFile(FLAGS_key_file);
  if (!key.has_value()) {
    return kBadUse;
  }
  lavenderkeel::PrepareProcess();
  const HttpResult result = Perform(*call, Trimmed(*key));
  const int status = StatusOf(result, call->changes);
  if (result.kind == HttpResult::Kind::kAnswered) {
    const bool only_preset =
        words.size() == 2 && words[0] == "preset" && words[1] == "show";
    Print(result.body, only_preset && status == kAccepted);
  }
  return status;
}
