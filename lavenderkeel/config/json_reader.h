#ifndef LAVENDERKEEL_CONFIG_JSON_READER_H_
#define LAVENDERKEEL_CONFIG_JSON_READER_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <vector>

#include "lavenderkeel/base/failure.h"

namespace lavenderkeel {

/// Faults of a document, each in the form "JSON path: description".
using Faults = std::vector<std::string>;

std::string JoinFaults(const Faults& faults);

/// Returns a Failure with that code and all faults, if there are any.
leaf::result<void> CheckFaults(const Faults& faults, ResultCode code);

/// Parses JSON text; fails with kMalformedJson and the position of the fault.
leaf::result<boost::json::value> ParseJson(const std::string& text);

/// Reader of one JSON object that records each fault with its path, so that an
/// operator sees all faults at once.
class JsonReader {
 public:
  struct StringRule {
    bool required = false;
    std::string default_value;
  };
  struct NumberRule {
    bool required = false;
    uint64_t default_value = 0;
    uint64_t min = 0;
    uint64_t max = std::numeric_limits<int64_t>::max();
  };
  using ReadItem = std::function<void(const boost::json::value& item,
                                      const std::string& path)>;
  using ReadField = std::function<void(const std::string& name,
                                       const boost::json::value& item,
                                       const std::string& path)>;

  /// @param value must outlive the reader
  JsonReader(const boost::json::value& value, std::string path, Faults& faults);
  JsonReader(boost::json::value&& value,
             std::string path,
             Faults& faults) = delete;

  std::string String(const std::string& name, const StringRule& rule);
  std::string String(const std::string& name) {
    return String(name, StringRule());
  }
  uint64_t Number(const std::string& name, const NumberRule& rule);
  /// Reads a number above 0.
  double PositiveNumber(const std::string& name, double default_value);
  /// Reads a number of at least 0.
  double NonNegativeNumber(const std::string& name, double default_value);
  bool Bool(const std::string& name, bool default_value);
  std::vector<std::string> Strings(const std::string& name);
  void Array(const std::string& name, const ReadItem& read);
  /// Reads an object with arbitrary field names.
  void Fields(const std::string& name, const ReadField& read);
  bool Has(const std::string& name);
  /// Returns a field without conversion, or null if it is missing.
  const boost::json::value* FindField(const std::string& name);
  void Fault(const std::string& name, const std::string& what);
  /// Records a fault for every field that was not read: a misspelt setting must
  /// not silently take its default.
  void RejectUnknown();
  std::string PathOf(const std::string& name) const;

 private:
  const boost::json::object* object_ = nullptr;
  std::string path_;
  Faults& faults_;
  std::set<std::string> read_fields_;
};

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CONFIG_JSON_READER_H_
