#ifndef LAVENDERKEEL_TEST_FAKES_ODD_OBJECTS_H_
#define LAVENDERKEEL_TEST_FAKES_ODD_OBJECTS_H_

#include <string>
#include <vector>

namespace lavenderkeel::fakes {

/// An object of another writer in the store, with a value that can't be read or
/// used.
struct OddObject {
  /// Kind and name. Names come before and after those of usual servers.
  std::string path;
  /// The content, for FakeStore: some texts stand for values that a JSON parser
  /// rejects.
  std::string content;
};

/// Returns one object per odd value.
const std::vector<OddObject>& OddObjects();

}  // namespace lavenderkeel::fakes

#endif  // LAVENDERKEEL_TEST_FAKES_ODD_OBJECTS_H_
