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

/// Why a message can't be read on. The connection has lost its framing.
enum class ReadFault {
  kNone,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  kCutShort,
};

/// Bounds on one message, in bytes.
struct ReadLimits {
  size_t head_bytes = size_t{16} << 10;
  uint64_t body_bytes = uint64_t{4} << 20;
};

/// Reads one HTTP/1.1 message from bytes as they arrive, without sockets.
///
/// The framing is Boost.Beast's; on top of it a message is refused if its
/// length could be read in two ways (a length beside chunks, two lengths, a
/// coding other than chunked, two hosts). A request hidden in the body of
/// another has its way in through just such messages.
template <typename Head>
class MessageReader {
 public:
  explicit MessageReader(ReadLimits limits);
  ~MessageReader();
  MessageReader(MessageReader&&) noexcept;
  MessageReader& operator=(MessageReader&&) noexcept;

  /// Reads on. Bytes that are not consumed have to be given again, with more
  /// behind them; after done() they belong to the next message.
  /// @return the number of bytes consumed
  size_t Feed(std::string_view bytes);

  /// The peer closed its side in order. Ends a body that has no other end.
  void FeedEnd();

  bool head_done() const;
  bool done() const;
  ReadFault fault() const;
  /// Any byte of the message has come.
  bool started() const;
  /// Valid once head_done().
  const Head& head() const;
  /// Body bytes since the last call, without framing.
  std::string TakeBody();

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
