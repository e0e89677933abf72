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

RC_BOOST_PROP(MessageSurvivesItsFrame,
              (const std::string& path, const std::vector<uint8_t>& body)) {
  const Message message = SampleGo(path, body);
  const std::vector<uint8_t> frame = FrameOf(message);
  const auto decoded = Catch([&] { return DecodeFrame(frame); });
  RC_ASSERT(static_cast<bool>(decoded));
  RC_ASSERT(std::get<Go>(*decoded.value) == std::get<Go>(message));
}

// A hostile peer sends a frame with bytes changed or cut off. It is refused or
// read as some message; nothing is read outside the frame (the sanitizers
// would tell).
RC_BOOST_PROP(DamagedFrameIsHarmless,
              (std::vector<uint8_t> body, std::vector<uint16_t> places)) {
  std::vector<uint8_t> frame = FrameOf(SampleGo("/v1/completions", body));
  for (const uint16_t place : places) {
    frame[place % frame.size()] ^= static_cast<uint8_t>(1U << (place % 8U));
  }
  frame.resize(frame.size() - (places.size() % frame.size()) / 2);
  (void)Catch([&] { return DecodeFrame(frame); });
}

BOOST_AUTO_TEST_CASE(HugeLengthIsRefused) {
  const std::array<uint8_t, kFrameHeaderSize> header = {0xFF, 0xFF, 0xFF, 0x7F};
  const auto length = Catch([&] { return DecodeFrameLength(header); });
  BOOST_TEST(!length);
  BOOST_TEST((length.failure.code == ResultCode::kFrameTooLarge));
}

}  // namespace lavenderkeel
