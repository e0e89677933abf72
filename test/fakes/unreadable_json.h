#ifndef LAVENDERKEEL_TEST_FAKES_UNREADABLE_JSON_H_
#define LAVENDERKEEL_TEST_FAKES_UNREADABLE_JSON_H_

#include <string>
#include <vector>

namespace lavenderkeel::fakes {

/// Returns values that a parser of whole JSON documents rejects, or that are of
/// no use. Strings and brackets in them end.
std::vector<std::string> UnreadableValues();

}  // namespace lavenderkeel::fakes

#endif  // LAVENDERKEEL_TEST_FAKES_UNREADABLE_JSON_H_
