#ifndef LAVENDERKEEL_WIRE_CODEC_H_
#define LAVENDERKEEL_WIRE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "lavenderkeel/base/failure.h"
#include "lavenderkeel/wire/message.h"

namespace lavenderkeel {

/// Peers whose Hello has another version are rejected.
inline constexpr uint32_t kProtocolVersion = 1;

/// Size of the length that precedes each frame, little endian.
inline constexpr size_t kFrameHeaderSize = 4;

/// A larger frame is rejected before any of it is buffered, so that a malicious
/// length can't make a daemon allocate gigabytes.
inline constexpr size_t kMaxFrameSize = size_t{9} << 20;

/// Encodes a message as a FlatBuffers frame with its length header.
std::string EncodeFrame(const Message& message);

/// Verifies and unpacks a frame with its header.
///
/// @param frame the whole frame, aligned to 8 bytes: FlatBuffers aligns
///     against the start of the header.
/// @return the message; kBadFrame if the buffer does not verify,
///     kUnknownMessage if its body is of a type that this version does not know
leaf::result<Message> DecodeFrame(std::span<const uint8_t> frame);

/// Reads the length header; fails with kFrameTooLarge above kMaxFrameSize.
leaf::result<size_t> DecodeFrameLength(
    std::span<const uint8_t, kFrameHeaderSize> header);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_WIRE_CODEC_H_
