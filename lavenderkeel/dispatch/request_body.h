#ifndef LAVENDERKEEL_DISPATCH_REQUEST_BODY_H_
#define LAVENDERKEEL_DISPATCH_REQUEST_BODY_H_

#include <string>

#include "lavenderkeel/base/failure.h"
#include "lavenderkeel/config/config.h"
#include "lavenderkeel/dispatch/entry_request.h"

namespace lavenderkeel::internal {

struct ParsedBody {
  Payload payload;
  bool stream = false;
};

/// Parses the JSON body of a completion or chat request in the common format.
///
/// Fails with kMalformedJson, kWrongType with the JSON path, or kUnknownModel.
leaf::result<ParsedBody> ParseEngineBody(const std::string& body,
                                         bool chat,
                                         const Config& config);

}  // namespace lavenderkeel::internal

#endif  // LAVENDERKEEL_DISPATCH_REQUEST_BODY_H_
