#ifndef LAVENDERKEEL_HTTP_MESSAGE_READER_H_
#define LAVENDERKEEL_HTTP_MESSAGE_READER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "lavenderkeel/http/message_head.h"

namespace lavenderkeel {

/// Reason why a message can't be read any further. Later messages of the
/// connection can't be read either, since its framing is lost.
enum class ReadFault {
  kNone,
  kMalformed,
  kHeadTooLarge,
  /// The line of a chunk, or a trailer.
  kLineTooLarge,
  kBodyTooLarge,
  kTruncated,
};

/// Bounds on one message, in bytes. The first also holds for the line of a
/// chunk and for a trailer.
struct ReadLimits {
  size_t head_bytes = size_t{16} << 10;
  uint64_t body_bytes = uint64_t{4} << 20;
  /// Requests need a host and version 1.1; other versions of HTTP/1 are
  /// rejected.
  bool strict = true;
};

/// Incremental parser of one HTTP/1.1 message, without sockets.
///
/// Boost.Beast does the framing. A message is also rejected if its length could
/// be read in two ways (a length beside chunks, two lengths, a coding other
/// than chunked) or if it has two hosts. Request smuggling, a request hidden in
/// the body of another, relies on such messages. The same holds for an answer
/// whose status is not one of 100 to 599, or switches the protocol.
template <typename Head>
class MessageReader {
 public:
  explicit MessageReader(ReadLimits limits);
  ~MessageReader();
  MessageReader(MessageReader&&) noexcept;
  MessageReader& operator=(MessageReader&&) noexcept;

  /// Changes the limits of a message that is being read.
  /// @param keeps_higher whether a message whose head is complete keeps its
  ///     former limits where they are higher
  void SetLimits(const ReadLimits& limits, bool keeps_higher = true);

  /// Parses bytes. Bytes that are not consumed have to be passed again,
  /// followed by more; after done() they belong to the next message.
  /// @return the number of bytes consumed
  size_t Feed(std::string_view bytes);

  /// Handles an orderly close by the peer, which ends a body that has no other
  /// end.
  void FeedEnd();

  bool head_done() const;
  bool done() const;
  ReadFault fault() const;
  /// Returns true once any byte of the message has arrived.
  bool started() const;
  /// Valid once head_done().
  const Head& head() const;
  /// Returns the head; head() is empty afterwards.
  Head TakeHead();
  /// Returns the length that the head states for the body, if any.
  std::optional<uint64_t> body_length() const;
  /// Returns the body bytes since the last call, without framing.
  std::string TakeBody();
  /// Returns the number of body bytes since the last call of TakeBody().
  size_t body_bytes() const;
  /// Allocates the memory of a body at once.
  void ReserveBody(size_t bytes);
  /// Returns the memory that is allocated for the head, and for the body.
  size_t head_capacity() const;
  size_t body_capacity() const;

 private:
  class Parser;
  std::unique_ptr<Parser> parser_;
};

extern template class MessageReader<RequestHead>;
extern template class MessageReader<ResponseHead>;

using RequestReader = MessageReader<RequestHead>;
using ResponseReader = MessageReader<ResponseHead>;

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_HTTP_MESSAGE_READER_H_
