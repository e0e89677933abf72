#include "lavenderkeel/http/message_head.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <ostream>

namespace lavenderkeel {

namespace {

char LowerCase(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlank = " \t";
  const size_t first = text.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

bool IsConnectionField(std::string_view name) {
  constexpr std::array<std::string_view, 9> kNames = {"Connection",
                                                      "Keep-Alive",
                                                      "Proxy-Connection",
                                                      "Proxy-Authenticate",
                                                      "Proxy-Authorization",
                                                      "TE",
                                                      "Trailer",
                                                      "Transfer-Encoding",
                                                      "Upgrade"};
  return std::ranges::any_of(kNames, [name](std::string_view known) {
    return SameFieldName(name, known);
  });
}

void AppendFields(const HttpFields& fields, std::string& out) {
  for (const HttpField& field : fields) {
    if (SameFieldName(field.name, "Content-Length")) {
      continue;
    }
    out += field.name;
    out += ": ";
    out += field.value;
    out += "\r\n";
  }
}

void AppendStatusLine(const ResponseHead& head, std::string& out) {
  out += "HTTP/1.1 ";
  out += std::to_string(head.status);
  out += ' ';
  out += head.reason.empty() ? ReasonOf(head.status)
                             : std::string_view(head.reason);
  out += "\r\n";
}

void AppendLength(size_t length, std::string& out) {
  out += "Content-Length: ";
  out += std::to_string(length);
  out += "\r\n\r\n";
}

}  // namespace

bool SameFieldName(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, {}, LowerCase, LowerCase);
}

const std::string* FindField(const HttpFields& fields, std::string_view name) {
  const auto found =
      std::ranges::find_if(fields, [name](const HttpField& field) {
        return SameFieldName(field.name, name);
      });
  return found == fields.end() ? nullptr : &found->value;
}

std::vector<std::string_view> FieldValues(const HttpFields& fields,
                                          std::string_view name) {
  std::vector<std::string_view> values;
  for (const HttpField& field : fields) {
    if (SameFieldName(field.name, name)) {
      values.push_back(field.value);
    }
  }
  return values;
}

bool FieldHasToken(const HttpFields& fields,
                   std::string_view name,
                   std::string_view token) {
  for (const HttpField& field : fields) {
    if (!SameFieldName(field.name, name)) {
      continue;
    }
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const size_t comma = std::min(rest.find(','), rest.size());
      if (SameFieldName(Trim(rest.substr(0, comma)), token)) {
        return true;
      }
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return false;
}

HttpFields WithoutConnectionFields(const HttpFields& fields) {
  HttpFields kept;
  for (const HttpField& field : fields) {
    if (!IsConnectionField(field.name) &&
        !FieldHasToken(fields, "Connection", field.name)) {
      kept.push_back(field);
    }
  }
  return kept;
}

std::string EncodeRequestHead(const RequestHead& head, size_t body_size) {
  std::string out;
  constexpr size_t kTypicalHeadBytes = 768;
  out.reserve(kTypicalHeadBytes);
  out += head.method;
  out += ' ';
  out += head.target;
  out += " HTTP/1.1\r\n";
  AppendFields(head.fields, out);
  const bool no_body_expected = head.method == "GET" || head.method == "HEAD";
  if (body_size == 0 && no_body_expected) {
    out += "\r\n";
  } else {
    AppendLength(body_size, out);
  }
  return out;
}

std::string EncodeRequest(const RequestHead& head, std::string_view body) {
  std::string out = EncodeRequestHead(head, body.size());
  out += body;
  return out;
}

std::string EncodeResponse(const ResponseHead& head, std::string_view body) {
  std::string out;
  AppendStatusLine(head, out);
  AppendFields(head.fields, out);
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  if (head.status == kNoContent || head.status == kNotModified) {
    out += "\r\n";
    return out;
  }
  AppendLength(body.size(), out);
  out += body;
  return out;
}

std::string EncodeChunkedHead(const ResponseHead& head) {
  std::string out;
  AppendStatusLine(head, out);
  AppendFields(head.fields, out);
  out += "Transfer-Encoding: chunked\r\n\r\n";
  return out;
}

std::string EncodeChunk(std::string_view bytes) {
  if (bytes.empty()) {
    return {};
  }
  std::array<char, 2 * sizeof(size_t)> digits{};
  constexpr int kHexadecimal = 16;
  const auto [end, error] = std::to_chars(
      digits.data(), digits.data() + digits.size(), bytes.size(), kHexadecimal);
  std::string out(digits.data(), end);
  out += "\r\n";
  out += bytes;
  out += "\r\n";
  return out;
}

std::string_view ReasonOf(int status) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {reason.data(), reason.size()};
}

}  // namespace lavenderkeel
