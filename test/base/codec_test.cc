#include "lavenderkeel/wire/codec.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace lavenderkeel {

namespace {

std::vector<uint8_t> FrameOf(const Message& message) {
  const std::string frame = EncodeFrame(message);
  return {frame.begin(), frame.end()};
}

Message SampleGo(const std::string& path, const std::vector<uint8_t>& body) {
  Go go;
  go.key = ToWire({.hi = 1, .lo = 2});
  go.path = path;
  go.body = body;
  return go;
}

}  // namespace

RC_BOOST_PROP(MessageIsDecodedFromItsFrame,
              (const std::string& path, const std::vector<uint8_t>& body)) {
  const Message message = SampleGo(path, body);
  const std::vector<uint8_t> frame = FrameOf(message);
  const auto decoded = Catch([&] { return DecodeFrame(frame); });
  RC_ASSERT(static_cast<bool>(decoded));
  RC_ASSERT(std::get<Go>(*decoded.value) == std::get<Go>(message));
}

// Guards against reads outside a frame that a malicious peer has changed or
// truncated, which the sanitizers would report. The frame is rejected or
// decoded as some message.
RC_BOOST_PROP(CorruptFrameIsReadWithinItsBounds,
              (std::vector<uint8_t> body, std::vector<uint16_t> positions)) {
  std::vector<uint8_t> frame = FrameOf(SampleGo("/v1/completions", body));
  for (const uint16_t position : positions) {
    frame[position % frame.size()] ^=
        static_cast<uint8_t>(1U << (position % 8U));
  }
  frame.resize(frame.size() - (positions.size() % frame.size()) / 2);
  (void)Catch([&] { return DecodeFrame(frame); });
}

BOOST_AUTO_TEST_CASE(OversizedLengthIsRejected) {
  const std::array<uint8_t, kFrameHeaderSize> header = {0xFF, 0xFF, 0xFF, 0x7F};
  const auto length = Catch([&] { return DecodeFrameLength(header); });
  BOOST_TEST(!length);
  BOOST_TEST((length.failure.code == ResultCode::kFrameTooLarge));
}

}  // namespace lavenderkeel
