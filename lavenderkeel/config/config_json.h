#ifndef LAVENDERKEEL_CONFIG_CONFIG_JSON_H_
#define LAVENDERKEEL_CONFIG_CONFIG_JSON_H_

#include <boost/json/value.hpp>

#include "lavenderkeel/config/config.h"
#include "lavenderkeel/config/json_reader.h"

namespace lavenderkeel::internal {

ConfigBase ReadBase(JsonReader& reader, Faults& faults);
TeamList ReadTeams(JsonReader& reader, Faults& faults);
boost::json::object BaseToJson(const ConfigBase& base);
boost::json::array TeamsToJson(const TeamList& teams);

}  // namespace lavenderkeel::internal

#endif  // LAVENDERKEEL_CONFIG_CONFIG_JSON_H_
