#include "lavenderkeel/http/message_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <type_traits>
#include <utility>

namespace lavenderkeel {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr int kHttp11 = 11;
constexpr int kSwitchingProtocols = 101;

/// Returns whether a status is one of HTTP and may answer a request that asks
/// for no other protocol.
bool IsValidStatus(int status) {
  constexpr int kFirst = 100;
  constexpr int kLast = 599;
  return status >= kFirst && status <= kLast && status != kSwitchingProtocols;
}

std::string_view View(beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

template <typename Head>
class MessageReader<Head>::Parser final
    : public http::basic_parser<std::is_same_v<Head, RequestHead>> {
 public:
  static constexpr bool kIsRequest = std::is_same_v<Head, RequestHead>;
  using Base = http::basic_parser<kIsRequest>;

  explicit Parser(ReadLimits limits) : strict_(limits.strict) {
    SetLimits(limits, /*keeps_higher=*/false);
    this->eager(true);
    // OnBody() counts the bytes instead, to distinguish a body over the limit
    // from a malformed one.
    this->body_limit(boost::none);
  }

  void SetLimits(const ReadLimits& limits, bool keeps_higher) {
    if (this->is_header_done() && keeps_higher) {
      head_limit_ = std::max(head_limit_, limits.head_bytes);
      body_limit_ = std::max(body_limit_, limits.body_bytes);
      return;
    }
    head_limit_ = limits.head_bytes;
    body_limit_ = limits.body_bytes;
    this->header_limit(static_cast<std::uint32_t>(limits.head_bytes));
  }

  size_t Feed(std::string_view bytes) {
    if (fault_ != ReadFault::kNone || this->is_done() || bytes.empty()) {
      return 0;
    }
    // Beast asserts that it has five bytes when it parses the line of a last
    // chunk again that it has seen without its end, so a client that sends this
    // line byte by byte would abort the process. A body can't end with fewer
    // bytes anyway.
    constexpr size_t kMinLastChunkBytes = 5;
    if (has_unconsumed_bytes_ && this->is_header_done() &&
        bytes.size() < kMinLastChunkBytes) {
      return 0;
    }
    started_ = true;
    beast::error_code error;
    const size_t consumed =
        this->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    has_unconsumed_bytes_ = consumed < bytes.size();
    RecordFault(error);
    // Beast bounds the head unless its limit was lowered below what has
    // arrived, but neither the line of a chunk nor a trailer, which it parses
    // only as a whole.
    if (fault_ == ReadFault::kNone && !this->is_done() &&
        bytes.size() - consumed > head_limit_) {
      fault_ = this->is_header_done() ? ReadFault::kLineTooLarge
                                      : ReadFault::kHeadTooLarge;
    }
    return consumed;
  }

  void FeedEnd() {
    if (this->is_done() || fault_ != ReadFault::kNone) {
      return;
    }
    beast::error_code error;
    if (this->got_some() && this->need_eof()) {
      this->put_eof(error);
      RecordFault(error);
      return;
    }
    fault_ = ReadFault::kTruncated;
  }

  ReadFault fault() const { return fault_; }
  bool started() const { return started_; }
  const Head& head() const { return head_; }
  Head TakeHead() { return std::exchange(head_, {}); }
  std::string TakeBody() { return std::exchange(body_, {}); }
  std::string& body() { return body_; }
  std::optional<uint64_t> body_length() const {
    const boost::optional<std::uint64_t> length = this->content_length();
    return length.has_value() ? std::optional<uint64_t>(*length) : std::nullopt;
  }
  size_t head_capacity() const {
    return sizeof(*this) + head_text_bytes_ +
           head_.fields.capacity() * sizeof(HttpField);
  }

 private:
  void RecordFault(const beast::error_code& error) {
    if (!error || error == http::error::need_more ||
        fault_ != ReadFault::kNone) {
      return;
    }
    fault_ = error == http::error::header_limit      ? ReadFault::kHeadTooLarge
             : error == http::error::partial_message ? ReadFault::kTruncated
                                                     : ReadFault::kMalformed;
  }

  void on_request_impl(http::verb,
                       beast::string_view method,
                       beast::string_view target,
                       int version,
                       beast::error_code& error) override {
    if constexpr (kIsRequest) {
      head_.method = View(method);
      head_.target = View(target);
    }
    OnVersion(version, error);
  }

  void on_response_impl(int code,
                        beast::string_view reason,
                        int version,
                        beast::error_code& error) override {
    if constexpr (!kIsRequest) {
      head_.status = code;
      head_.reason = View(reason);
      if (!IsValidStatus(code)) {
        error = http::error::bad_status;
        return;
      }
    }
    OnVersion(version, error);
  }

  void OnVersion(int version, beast::error_code& error) {
    version_ = version;
    if (kIsRequest && strict_ && version != kHttp11) {
      error = http::error::bad_version;
    }
  }

  void on_field_impl(http::field field,
                     beast::string_view name,
                     beast::string_view value,
                     beast::error_code& error) override {
    if (head_done_) {
      return;  // A trailer field, which is not part of the head.
    }
    host_count_ += field == http::field::host ? 1 : 0;
    if (field == http::field::content_length) {
      ++length_count_;
      // Beast accepts a list of equal lengths; a backend server may not.
      const bool digits = std::ranges::all_of(
          View(value), [](char c) { return c >= '0' && c <= '9'; });
      if (!digits) {
        error = http::error::bad_content_length;
      }
    }
    if (field == http::field::transfer_encoding) {
      ++coding_count_;
      if (!SameFieldName(View(value), "chunked")) {
        error = http::error::bad_transfer_encoding;
      }
    }
    const HttpField& added = head_.fields.emplace_back(HttpField{
        .name = std::string(View(name)), .value = std::string(View(value))});
    head_text_bytes_ += added.name.capacity() + added.value.capacity();
  }

  void on_header_impl(beast::error_code& error) override {
    head_done_ = true;
    const bool ambiguous = length_count_ > 1 || coding_count_ > 1 ||
                           (length_count_ > 0 && coding_count_ > 0);
    const int min_hosts = kIsRequest && strict_ ? 1 : 0;
    if (ambiguous ||
        (kIsRequest && (host_count_ < min_hosts || host_count_ > 1))) {
      error = http::error::bad_field;
      return;
    }
    head_.keep_alive = this->keep_alive();
    const boost::optional<std::uint64_t> length = this->content_length();
    if (length.has_value() && *length > body_limit_) {
      fault_ = ReadFault::kBodyTooLarge;
      error = http::error::body_limit;
      return;
    }
    if constexpr (!kIsRequest) {
      head_.framing = this->chunked()      ? BodyFraming::kChunked
                      : this->need_eof()   ? BodyFraming::kUntilClose
                      : length.has_value() ? BodyFraming::kLength
                                           : BodyFraming::kNone;
    }
  }

  void on_body_init_impl(boost::optional<std::uint64_t> const&,
                         beast::error_code&) override {}

  size_t on_body_impl(beast::string_view body,
                      beast::error_code& error) override {
    return OnBody(body, error);
  }

  void on_chunk_header_impl(std::uint64_t,
                            beast::string_view,
                            beast::error_code&) override {}

  size_t on_chunk_body_impl(std::uint64_t,
                            beast::string_view body,
                            beast::error_code& error) override {
    return OnBody(body, error);
  }

  void on_finish_impl(beast::error_code&) override {}

  size_t OnBody(beast::string_view body, beast::error_code& error) {
    body_total_ += body.size();
    if (body_total_ > body_limit_) {
      fault_ = ReadFault::kBodyTooLarge;
      error = http::error::body_limit;
      return 0;
    }
    body_.append(body.data(), body.size());
    return body.size();
  }

  size_t head_limit_ = 0;
  uint64_t body_limit_ = 0;
  bool strict_;
  Head head_;
  std::string body_;
  size_t head_text_bytes_ = 0;
  size_t body_total_ = 0;
  int version_ = 0;
  int host_count_ = 0;
  int length_count_ = 0;
  int coding_count_ = 0;
  bool head_done_ = false;
  bool started_ = false;
  /// True if the last call left bytes unconsumed.
  bool has_unconsumed_bytes_ = false;
  ReadFault fault_ = ReadFault::kNone;
};

template <typename Head>
MessageReader<Head>::MessageReader(ReadLimits limits)
    : parser_(std::make_unique<Parser>(limits)) {}
template <typename Head>
MessageReader<Head>::~MessageReader() = default;
template <typename Head>
MessageReader<Head>::MessageReader(MessageReader&&) noexcept = default;
template <typename Head>
MessageReader<Head>& MessageReader<Head>::operator=(MessageReader&&) noexcept =
    default;

template <typename Head>
void MessageReader<Head>::SetLimits(const ReadLimits& limits,
                                    bool keeps_higher) {
  parser_->SetLimits(limits, keeps_higher);
}
template <typename Head>
size_t MessageReader<Head>::Feed(std::string_view bytes) {
  return parser_->Feed(bytes);
}
template <typename Head>
void MessageReader<Head>::FeedEnd() {
  parser_->FeedEnd();
}
template <typename Head>
bool MessageReader<Head>::head_done() const {
  return parser_->is_header_done() && fault() == ReadFault::kNone;
}
template <typename Head>
bool MessageReader<Head>::done() const {
  return parser_->is_done() && fault() == ReadFault::kNone;
}
template <typename Head>
ReadFault MessageReader<Head>::fault() const {
  return parser_->fault();
}
template <typename Head>
bool MessageReader<Head>::started() const {
  return parser_->started();
}
template <typename Head>
const Head& MessageReader<Head>::head() const {
  return parser_->head();
}
template <typename Head>
std::string MessageReader<Head>::TakeBody() {
  return parser_->TakeBody();
}

template <typename Head>
Head MessageReader<Head>::TakeHead() {
  return parser_->TakeHead();
}
template <typename Head>
std::optional<uint64_t> MessageReader<Head>::body_length() const {
  return parser_->body_length();
}
template <typename Head>
size_t MessageReader<Head>::body_bytes() const {
  return parser_->body().size();
}
template <typename Head>
void MessageReader<Head>::ReserveBody(size_t bytes) {
  parser_->body().reserve(bytes);
}
template <typename Head>
size_t MessageReader<Head>::head_capacity() const {
  return parser_->head_capacity();
}
template <typename Head>
size_t MessageReader<Head>::body_capacity() const {
  return parser_->body().capacity();
}

template class MessageReader<RequestHead>;
template class MessageReader<ResponseHead>;

}  // namespace lavenderkeel
