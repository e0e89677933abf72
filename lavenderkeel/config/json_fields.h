#ifndef LAVENDERKEEL_CONFIG_JSON_FIELDS_H_
#define LAVENDERKEEL_CONFIG_JSON_FIELDS_H_

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderkeel {

/// The fields of a JSON object as texts that are not parsed yet, so that a
/// field that can't be read does not hide the others.
///
/// Only strings and brackets are interpreted. Neither invalid text, control
/// bytes, numbers out of range nor deep nesting within a field affect another.
/// The text must outlive this object.
class JsonFields {
 public:
  /// @return nullopt if the text is no object, or where its fields end is not
  ///     certain
  static std::optional<JsonFields> Split(std::string_view text);

  /// Returns the text of a field; nullopt if it is missing or repeated.
  std::optional<std::string_view> Find(std::string_view name) const;
  /// Returns the parsed field; nullopt if it is missing, repeated or can't be
  /// parsed.
  std::optional<boost::json::value> Parse(std::string_view name) const;
  /// Returns a field that is a string; empty if it is not, or can't be read.
  std::string StringOrEmpty(std::string_view name) const;
  bool HasRepeated() const;

 private:
  struct Field {
    std::string name;
    std::string_view value;
  };

  std::vector<Field> fields_;
};

/// Splits a JSON array into the texts of its items, as JsonFields does.
std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view text);

/// Parses JSON text that may contain bytes that are no UTF-8.
std::optional<boost::json::value> ParseJsonValue(std::string_view text);

/// Parses a JSON object.
/// @return a value that is an object; nullopt if it can't be parsed, is no
///     object or has two values for a field
std::optional<boost::json::value> ParseJsonObject(std::string_view text);

/// Decodes a JSON string, including one that a JSON parser rejects: half of a
/// surrogate pair from U+DC80 to U+DCFF stands for a byte that is no UTF-8, as
/// several writers of JSON encode it.
/// @return nullopt if the text is no string
std::optional<std::string> DecodeJsonString(std::string_view text);

}  // namespace lavenderkeel

#endif  // LAVENDERKEEL_CONFIG_JSON_FIELDS_H_
