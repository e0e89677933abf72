#include "lavenderkeel/config/json_fields.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <set>
#include <utility>

namespace lavenderkeel {

namespace {

constexpr std::string_view kSpace = " \t\r\n";

/// Cursor over JSON text that finds the end of each value.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : rest_(text) {}

  /// Skips white space, then the character if it is next.
  bool Skip(char character) {
    SkipSpace();
    if (!rest_.starts_with(character)) {
      return false;
    }
    rest_.remove_prefix(1);
    return true;
  }

  bool AtEnd() {
    SkipSpace();
    return rest_.empty();
  }

  std::optional<std::string_view> TakeString() {
    SkipSpace();
    return rest_.starts_with('"') ? Take(EndOfString(0)) : std::nullopt;
  }

  std::optional<std::string_view> TakeValue() {
    SkipSpace();
    if (rest_.starts_with('"')) {
      return TakeString();
    }
    if (rest_.starts_with('{') || rest_.starts_with('[')) {
      return Take(EndOfBrackets());
    }
    const size_t end = rest_.find_first_of(",]}");
    return end == 0 ? std::nullopt : Take(end);
  }

 private:
  void SkipSpace() {
    rest_.remove_prefix(
        std::min(rest_.find_first_not_of(kSpace), rest_.size()));
  }

  std::optional<std::string_view> Take(size_t end) {
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view taken = rest_.substr(0, end);
    rest_.remove_prefix(end);
    return taken;
  }

  /// Returns the position after the string that begins at `begin`, or npos.
  size_t EndOfString(size_t begin) const {
    for (size_t at = begin + 1; at < rest_.size(); ++at) {
      if (rest_[at] == '\\') {
        ++at;
      } else if (rest_[at] == '"') {
        return at + 1;
      }
    }
    return std::string_view::npos;
  }

  size_t EndOfBrackets() const {
    size_t depth = 0;
    size_t at = rest_.find_first_of("\"{}[]");
    while (at != std::string_view::npos) {
      const char c = rest_[at];
      if (c == '"') {
        at = EndOfString(at);
        if (at == std::string_view::npos) {
          return at;
        }
      } else {
        ++at;
        if (c == '{' || c == '[') {
          ++depth;
        } else if (--depth == 0) {
          return at;
        }
      }
      at = rest_.find_first_of("\"{}[]", at);
    }
    return std::string_view::npos;
  }

  std::string_view rest_;
};

std::optional<uint32_t> ReadHexadecimal(std::string_view text) {
  constexpr size_t kDigits = 4;
  constexpr int kBase = 16;
  uint32_t unit = 0;
  const char* end = text.data() + std::min(text.size(), kDigits);
  const auto [last, error] = std::from_chars(text.data(), end, unit, kBase);
  const bool whole =
      text.size() >= kDigits && error == std::errc() && last == end;
  return whole ? std::optional(unit) : std::nullopt;
}

void AppendUtf8(uint32_t code, std::string& text) {
  constexpr uint32_t kContinuation = 0x80;
  constexpr uint32_t kContinuationBits = 0x3f;
  constexpr int kShift = 6;
  const auto append = [&text](uint32_t byte) {
    text += static_cast<char>(byte);
  };
  const auto append_rest = [&](int count) {
    for (int i = count - 1; i >= 0; --i) {
      append(kContinuation | ((code >> (kShift * i)) & kContinuationBits));
    }
  };
  if (code < 0x80) {
    append(code);
  } else if (code < 0x800) {
    append(0xc0 | (code >> kShift));
    append_rest(1);
  } else if (code < 0x10000) {
    append(0xe0 | (code >> (kShift * 2)));
    append_rest(2);
  } else {
    append(0xf0 | (code >> (kShift * 3)));
    append_rest(3);
  }
}

/// Decodes the escape after `\u` at the start of the text and removes it.
bool DecodeUnicodeEscape(std::string_view& text, std::string& decoded) {
  constexpr size_t kDigits = 4;
  const std::optional<uint32_t> unit = ReadHexadecimal(text);
  if (!unit.has_value()) {
    return false;
  }
  text.remove_prefix(kDigits);
  const bool is_high = *unit >= 0xd800 && *unit < 0xdc00;
  if (is_high && text.starts_with("\\u")) {
    const std::optional<uint32_t> low = ReadHexadecimal(text.substr(2));
    if (low.has_value() && *low >= 0xdc00 && *low < 0xe000) {
      text.remove_prefix(kDigits + 2);
      AppendUtf8(0x10000 + ((*unit - 0xd800) << 10) + (*low - 0xdc00), decoded);
      return true;
    }
  }
  if (*unit >= 0xdc80 && *unit <= 0xdcff) {
    decoded += static_cast<char>(*unit - 0xdc00);
  } else {
    AppendUtf8(*unit, decoded);
  }
  return true;
}

}  // namespace

std::optional<JsonFields> JsonFields::Split(std::string_view text) {
  Scanner scanner(text);
  JsonFields fields;
  if (!scanner.Skip('{')) {
    return std::nullopt;
  }
  if (scanner.Skip('}')) {
    return scanner.AtEnd() ? std::optional(std::move(fields)) : std::nullopt;
  }
  do {
    const std::optional<std::string_view> name = scanner.TakeString();
    const std::optional<std::string_view> value =
        name.has_value() && scanner.Skip(':') ? scanner.TakeValue()
                                              : std::nullopt;
    if (!value.has_value()) {
      return std::nullopt;
    }
    fields.fields_.push_back(
        {.name = DecodeJsonString(*name).value_or(std::string(*name)),
         .value = *value});
  } while (scanner.Skip(','));
  const bool ended = scanner.Skip('}') && scanner.AtEnd();
  return ended ? std::optional(std::move(fields)) : std::nullopt;
}

std::optional<std::string_view> JsonFields::Find(std::string_view name) const {
  std::optional<std::string_view> found;
  for (const Field& field : fields_) {
    if (field.name != name) {
      continue;
    }
    if (found.has_value()) {
      return std::nullopt;
    }
    found = field.value;
  }
  return found;
}

std::optional<boost::json::value> JsonFields::Parse(
    std::string_view name) const {
  const std::optional<std::string_view> text = Find(name);
  return text.has_value() ? ParseJsonValue(*text) : std::nullopt;
}

std::string JsonFields::StringOrEmpty(std::string_view name) const {
  const std::optional<boost::json::value> value = Parse(name);
  return value.has_value() && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

bool JsonFields::HasRepeated() const {
  std::set<std::string_view> names;
  return std::ranges::any_of(fields_, [&names](const Field& field) {
    return !names.insert(field.name).second;
  });
}

std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text) {
  Scanner scanner(text);
  std::vector<std::string_view> items;
  if (!scanner.Skip('[')) {
    return std::nullopt;
  }
  if (scanner.Skip(']')) {
    return scanner.AtEnd() ? std::optional(items) : std::nullopt;
  }
  do {
    const std::optional<std::string_view> item = scanner.TakeValue();
    if (!item.has_value()) {
      return std::nullopt;
    }
    items.push_back(*item);
  } while (scanner.Skip(','));
  const bool ended = scanner.Skip(']') && scanner.AtEnd();
  return ended ? std::optional(std::move(items)) : std::nullopt;
}

std::optional<boost::json::value> ParseJsonValue(std::string_view text) {
  boost::json::parse_options options;
  options.allow_invalid_utf8 = true;
  boost::system::error_code error;
  boost::json::value value = boost::json::parse(
      boost::json::string_view(text.data(), text.size()), error, {}, options);
  return error ? std::nullopt : std::optional(std::move(value));
}

std::optional<boost::json::value> ParseJsonObject(std::string_view text) {
  const std::optional<JsonFields> fields = JsonFields::Split(text);
  if (!fields.has_value() || fields->HasRepeated()) {
    return std::nullopt;
  }
  boost::system::error_code error;
  boost::json::value value = boost::json::parse(
      boost::json::string_view(text.data(), text.size()), error);
  return error || !value.is_object() ? std::nullopt
                                     : std::optional(std::move(value));
}

std::optional<std::string> DecodeJsonString(std::string_view text) {
  if (text.size() < 2 || !text.starts_with('"') || !text.ends_with('"')) {
    return std::nullopt;
  }
  text.remove_prefix(1);
  text.remove_suffix(1);
  constexpr std::string_view kEscapes = "\"\\/bfnrt";
  constexpr std::string_view kEscaped = "\"\\/\b\f\n\r\t";
  std::string decoded;
  while (!text.empty()) {
    const size_t plain = std::min(text.find('\\'), text.size());
    decoded += text.substr(0, plain);
    text.remove_prefix(plain);
    if (text.size() < 2) {
      return text.empty() ? std::optional(std::move(decoded)) : std::nullopt;
    }
    const char escape = text[1];
    text.remove_prefix(2);
    const size_t known = kEscapes.find(escape);
    if (known != std::string_view::npos) {
      decoded += kEscaped[known];
    } else if (escape != 'u' || !DecodeUnicodeEscape(text, decoded)) {
      return std::nullopt;
    }
  }
  return decoded;
}

}  // namespace lavenderkeel
