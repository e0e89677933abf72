#include "lavenderkeel/wire/codec.h"

#include <string>
#include <utility>

namespace lavenderkeel {

namespace {

template <typename T>
bool MoveBody(fbs::BodyUnion& body, Message& message) {
  if (body.type != fbs::BodyUnionTraits<T>::enum_value) {
    return false;
  }
  message = std::move(*static_cast<T*>(body.value));
  return true;
}

template <typename... Ts>
bool MoveAnyBody(fbs::BodyUnion& body, std::variant<Ts...>& message) {
  return (MoveBody<Ts>(body, message) || ...);
}

}  // namespace

std::string_view MessageName(const Message& message) {
  return std::visit(
      [](const auto& body) -> std::string_view {
        using T = std::decay_t<decltype(body)>;
        return fbs::EnumNameBody(fbs::BodyUnionTraits<T>::enum_value);
      },
      message);
}

std::string EncodeFrame(const Message& message) {
  flatbuffers::FlatBufferBuilder builder;
  std::visit(
      [&builder](const auto& body) {
        using T = std::decay_t<decltype(body)>;
        const auto packed = T::TableType::Pack(builder, &body);
        builder.FinishSizePrefixed(fbs::CreateFrame(
            builder, fbs::BodyUnionTraits<T>::enum_value, packed.Union()));
      },
      message);
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

leaf::result<Message> DecodeFrame(std::span<const uint8_t> frame) {
  flatbuffers::Verifier verifier(frame.data(), frame.size());
  if (!fbs::VerifySizePrefixedFrameBuffer(verifier)) {
    return leaf::new_error(
        Failure{ResultCode::kBadFrame, "frame does not verify"});
  }
  const fbs::Frame& packed = *fbs::GetSizePrefixedFrame(frame.data());
  const fbs::Body type = packed.body_type();
  fbs::FrameT unpacked;
  packed.UnPackTo(&unpacked);
  Message message;
  if (unpacked.body.value == nullptr || !MoveAnyBody(unpacked.body, message)) {
    return leaf::new_error(Failure{ResultCode::kUnknownMessage,
                                   std::to_string(static_cast<int>(type))});
  }
  return message;
}

leaf::result<size_t> DecodeFrameLength(
    std::span<const uint8_t, kFrameHeaderSize> header) {
  const size_t length =
      flatbuffers::ReadScalar<flatbuffers::uoffset_t>(header.data());
  if (length > kMaxFrameSize) {
    return leaf::new_error(
        Failure{ResultCode::kFrameTooLarge, std::to_string(length)});
  }
  return length;
}

}  // namespace lavenderkeel
