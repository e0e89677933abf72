#ifndef LAVENDERKEEL_BASE_ASCII_H_
#define LAVENDERKEEL_BASE_ASCII_H_

namespace lavenderkeel {

/// Returns whether the character is a control character of ASCII, such as a
/// line break.
constexpr bool IsControlCharacter(char c) {
  constexpr char kDelete = 0x7f;
  return (c >= 0 && c < ' ') || c == kDelete;
}

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_BASE_ASCII_H_
