#include "lavenderkeel/config/json_reader.h"

#include <boost/json.hpp>
#include <utility>

namespace lavenderkeel {

namespace json = boost::json;

std::string JoinFaults(const Faults& faults) {
  std::string joined;
  for (const std::string& fault : faults) {
    joined += joined.empty() ? "" : "; ";
    joined += fault;
  }
  return joined;
}

leaf::result<void> CheckFaults(const Faults& faults, ResultCode code) {
  if (!faults.empty()) {
    return leaf::new_error(Failure{code, JoinFaults(faults)});
  }
  return {};
}

leaf::result<json::value> ParseJson(const std::string& text) {
  json::stream_parser parser;
  boost::system::error_code error;
  const size_t read = parser.write_some(text, error);
  if (!error && read == text.size()) {
    parser.finish(error);
  } else if (!error) {
    error = json::make_error_code(json::error::extra_data);
  }
  if (error) {
    return leaf::new_error(
        Failure{ResultCode::kMalformedJson,
                error.message() + " at byte " + std::to_string(read)});
  }
  return parser.release();
}

JsonReader::JsonReader(const json::value& value,
                       std::string path,
                       Faults& faults)
    : object_(value.if_object()), path_(std::move(path)), faults_(faults) {
  if (object_ == nullptr) {
    faults_.push_back((path_.empty() ? "/" : path_) + ": must be an object");
  }
}

std::string JsonReader::PathOf(const std::string& name) const {
  return path_ + "/" + name;
}

const json::value* JsonReader::FindField(const std::string& name) {
  read_fields_.insert(name);
  return object_ == nullptr ? nullptr : object_->if_contains(name);
}

bool JsonReader::Has(const std::string& name) {
  return FindField(name) != nullptr;
}

void JsonReader::Fault(const std::string& name, const std::string& what) {
  faults_.push_back(PathOf(name) + ": " + what);
}

std::string JsonReader::String(const std::string& name,
                               const StringRule& rule) {
  const json::value* value = FindField(name);
  if (value == nullptr) {
    if (rule.required) {
      Fault(name, "is missing");
    }
    return rule.default_value;
  }
  if (!value->is_string()) {
    Fault(name, "must be a string");
    return rule.default_value;
  }
  std::string text(value->get_string());
  if (rule.required && text.empty()) {
    Fault(name, "must not be empty");
  }
  return text;
}

uint64_t JsonReader::Number(const std::string& name, const NumberRule& rule) {
  const json::value* value = FindField(name);
  if (value == nullptr) {
    if (rule.required) {
      Fault(name, "is missing");
    }
    return rule.default_value;
  }
  boost::system::error_code error;
  const uint64_t number =
      value->is_number() ? value->to_number<uint64_t>(error) : 0;
  if (!value->is_number() || error) {
    Fault(name, "must be a whole number of at least 0");
    return rule.default_value;
  }
  if (number < rule.min || number > rule.max) {
    Fault(name, "must be from " + std::to_string(rule.min) + " to " +
                    std::to_string(rule.max));
    return rule.default_value;
  }
  return number;
}

double JsonReader::PositiveNumber(const std::string& name,
                                  double default_value) {
  const double number = NonNegativeNumber(name, default_value);
  if (number <= 0) {
    Fault(name, "must be a number above 0");
    return default_value;
  }
  return number;
}

double JsonReader::NonNegativeNumber(const std::string& name,
                                     double default_value) {
  const json::value* value = FindField(name);
  if (value == nullptr) {
    return default_value;
  }
  if (!value->is_number() || value->to_number<double>() < 0) {
    Fault(name, "must be a number of at least 0");
    return default_value;
  }
  return value->to_number<double>();
}

bool JsonReader::Bool(const std::string& name, bool default_value) {
  const json::value* value = FindField(name);
  if (value == nullptr) {
    return default_value;
  }
  if (!value->is_bool()) {
    Fault(name, "must be true or false");
    return default_value;
  }
  return value->get_bool();
}

std::vector<std::string> JsonReader::Strings(const std::string& name) {
  std::vector<std::string> strings;
  Array(name, [&](const json::value& item, const std::string& path) {
    if (item.is_string()) {
      strings.emplace_back(item.get_string());
    } else {
      faults_.push_back(path + ": must be a string");
    }
  });
  return strings;
}

void JsonReader::Array(const std::string& name, const ReadItem& read) {
  const json::value* value = FindField(name);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    Fault(name, "must be an array");
    return;
  }
  size_t index = 0;
  for (const json::value& item : value->get_array()) {
    read(item, PathOf(name) + "/" + std::to_string(index));
    ++index;
  }
}

void JsonReader::Fields(const std::string& name, const ReadField& read) {
  const json::value* value = FindField(name);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    Fault(name, "must be an object");
    return;
  }
  for (const auto& field : value->get_object()) {
    const std::string field_name(field.key());
    read(field_name, field.value(), PathOf(name) + "/" + field_name);
  }
}

void JsonReader::RejectUnknown() {
  if (object_ == nullptr) {
    return;
  }
  for (const auto& field : *object_) {
    const std::string name(field.key());
    if (!read_fields_.contains(name)) {
      Fault(name, "is not known");
    }
  }
}

}  // namespace lavenderkeel
