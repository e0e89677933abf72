#ifndef LAVENDERKEEL_HTTP_MESSAGE_HEAD_H_
#define LAVENDERKEEL_HTTP_MESSAGE_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderkeel {

struct HttpField {
  std::string name;
  std::string value;

  friend bool operator==(const HttpField&, const HttpField&) = default;
};

using HttpFields = std::vector<HttpField>;

/// Compares field names without regard to case, as HTTP requires.
bool SameFieldName(std::string_view left, std::string_view right);

/// Returns the value of the first field of that name, or null.
const std::string* FindField(const HttpFields& fields, std::string_view name);

/// Returns the values of all fields of that name, valid as long as the fields.
std::vector<std::string_view> FieldValues(const HttpFields& fields,
                                          std::string_view name);

/// Returns true if the comma-separated list of a field's values has the token.
bool FieldHasToken(const HttpFields& fields,
                   std::string_view name,
                   std::string_view token);

/// Returns the fields without those that apply to one connection only and are
/// never forwarded, including the ones that `Connection` names.
HttpFields WithoutConnectionFields(const HttpFields& fields);

struct RequestHead {
  std::string method;
  std::string target;
  HttpFields fields;
  bool keep_alive = true;

  friend bool operator==(const RequestHead&, const RequestHead&) = default;
};

/// How the end of a body is determined.
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose };

struct ResponseHead {
  int status = 0;
  std::string reason;
  HttpFields fields;
  BodyFraming framing = BodyFraming::kNone;
  bool keep_alive = true;

  friend bool operator==(const ResponseHead&, const ResponseHead&) = default;
};

/// Encodes a request: the head, with `Content-Length: body_size`, and the body.
std::string EncodeRequest(const RequestHead& head, std::string_view body);

/// Encodes the head of a request, with `Content-Length: body_size`.
std::string EncodeRequestHead(const RequestHead& head, size_t body_size);

/// Encodes a response: the head, with its length, and the body.
std::string EncodeResponse(const ResponseHead& head, std::string_view body);

/// Encodes the head of a chunked response.
std::string EncodeChunkedHead(const ResponseHead& head);

/// Encodes one chunk. Returns nothing for no bytes, since an empty chunk would
/// end the body.
std::string EncodeChunk(std::string_view bytes);

/// The chunk that ends a body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Returns the standard reason phrase of a status.
std::string_view ReasonOf(int status);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_HTTP_MESSAGE_HEAD_H_
