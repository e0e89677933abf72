#ifndef LAVENDERKEEL_TEST_FAKES_UNREADABLE_JSON_H_
#define LAVENDERKEEL_TEST_FAKES_UNREADABLE_JSON_H_

#include <string>
#include <vector>

namespace lavenderkeel::fakes {

/// Returns texts in the place of a JSON value that a JSON parser rejects, or
/// that can't be represented, and of which the end is found by strings and
/// brackets alone.
std::vector<std::string> UnreadableValues();

/// Returns those and values that can be read, but not be used in some field:
/// numbers at and beyond the ends of their ranges, nesting, and addresses to
/// which nothing can be sent.
std::vector<std::string> OddValues();

}  // namespace lavenderkeel::fakes

#endif  // LAVENDERKEEL_TEST_FAKES_UNREADABLE_JSON_H_
