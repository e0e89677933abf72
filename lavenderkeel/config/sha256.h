#ifndef LAVENDERKEEL_CONFIG_SHA256_H_
#define LAVENDERKEEL_CONFIG_SHA256_H_

#include <string>
#include <string_view>

namespace lavenderkeel {

/// Returns the SHA-256 hash as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CONFIG_SHA256_H_
