#ifndef LAVENDERKEEL_CONFIG_CONFIG_PARSER_H_
#define LAVENDERKEEL_CONFIG_CONFIG_PARSER_H_

#include <string>

#include "lavenderkeel/base/failure.h"
#include "lavenderkeel/config/config.h"

namespace lavenderkeel {

/// Configuration document as written by the operator.
struct ConfigDocument {
  ConfigBase base;
  TeamList teams;

  friend bool operator==(const ConfigDocument&,
                         const ConfigDocument&) = default;
};

/// Parses and validates a whole document.
///
/// @return kMalformedJson, or kConfigInvalid with every fault and its path
leaf::result<ConfigDocument> ParseConfigDocument(const std::string& text);

/// Serialises the whole document as JSON.
std::string ToJson(const ConfigDocument& document);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CONFIG_CONFIG_PARSER_H_
