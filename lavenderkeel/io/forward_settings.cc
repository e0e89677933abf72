#include "lavenderkeel/io/forward_settings.h"

#include <algorithm>

#include "lavenderkeel/config/json_reader.h"
#include "lavenderkeel/io/internal/settings_fields.h"

namespace lavenderkeel {

using internal::ObjectOrEmpty;
using internal::ReadAddress;
using internal::ReadDuration;
using internal::ReadLogLevel;
using internal::ReadProcessLimits;
using internal::ReadSeeds;

namespace {

/// Reads a duration in seconds, which may have a fraction; `target` holds the
/// default.
void ReadSeconds(JsonReader& reader,
                 const std::string& name,
                 Duration& target) {
  const double seconds = reader.PositiveNumber(name, ToSeconds(target));
  if (seconds <= 0) {
    reader.Fault(name, "must be above zero");
    return;
  }
  target = FromSeconds(seconds);
}

void ReadListen(JsonReader& reader, ForwardSettings& settings, Faults& faults) {
  JsonReader listen(ObjectOrEmpty(reader, "listen"), "/listen", faults);
  settings.listen_clients = ReadAddress(listen, "clients");
  settings.listen_status = ReadAddress(listen, "status");
  settings.listen_peers = ReadAddress(listen, "peers");
  settings.self.address = ReadAddress(listen, "advertise", /*required=*/false);
  settings.ready_path =
      listen.String("ready_path", {.default_value = settings.ready_path});
  listen.RejectUnknown();
}

void ReadLimits(JsonReader& reader, ForwardSettings& settings, Faults& faults) {
  JsonReader limits(ObjectOrEmpty(reader, "limits"), "/limits", faults);
  ReadProcessLimits(limits, settings.limits);
  settings.node.controller.max_buffered_body_bytes =
      settings.limits.client_bytes();
  settings.self.processor_share =
      limits.PositiveNumber("processor_share", settings.self.processor_share);
  if (settings.self.processor_share <= 0) {
    limits.Fault("processor_share", "must be above zero");
  }
  limits.RejectUnknown();
}

void ReadBounds(JsonReader& reader, ForwardSettings& settings, Faults& faults) {
  JsonReader bounds(ObjectOrEmpty(reader, "bounds"), "/bounds", faults);
  ReadSeconds(bounds, "stop_s", settings.stop_time);
  ForwardController::Options& controller = settings.node.controller;
  ReadSeconds(bounds, "retry_window_s", controller.retries.bound.window);
  controller.retries.bound.ratio =
      bounds.NonNegativeNumber("retry_ratio", controller.retries.bound.ratio);
  controller.retries.extra =
      bounds.NonNegativeNumber("retry_extra", controller.retries.extra);
  TeamTokenBucket::Tolerance& tolerance = controller.rates.tolerance;
  tolerance.over = bounds.NonNegativeNumber("rate_over", tolerance.over);
  tolerance.slack = bounds.NonNegativeNumber("rate_slack", tolerance.slack);
  bounds.RejectUnknown();
}

/// Reads the bounds of rollouts. Rollouts are enabled only if their bounds are
/// given.
void ReadExposure(JsonReader& reader,
                  ForwardSettings& settings,
                  Faults& faults) {
  if (!reader.Has("exposure")) {
    return;
  }
  JsonReader exposure(ObjectOrEmpty(reader, "exposure"), "/exposure", faults);
  ExposureBounds& bounds = settings.node.exposure;
  bounds.enabled = true;
  bounds.share = exposure.NonNegativeNumber("share", bounds.share);
  bounds.slack = exposure.NonNegativeNumber("slack", bounds.slack);
  if (bounds.share > 1) {
    exposure.Fault("share", "must be at most 1");
  }
  exposure.RejectUnknown();
}

/// Reads how load is shared. Without this section all of it is disabled.
void ReadLoad(JsonReader& reader, ForwardSettings& settings, Faults& faults) {
  JsonReader load(ObjectOrEmpty(reader, "load"), "/load", faults);
  ForwardNode::Options& node = settings.node;
  node.controller.rates.by_rank = load.Bool("rates_by_rank", false);
  node.fair_shares = load.Bool("fair_shares", false);
  node.controller.early_refusal = load.Bool("early_refusal", false);
  node.placement.server_probes = load.Bool("server_probes", false);
  constexpr double kMaxOtherDataCentreCost = 100;
  double& cost = node.placement.other_data_centre_cost;
  cost = load.NonNegativeNumber("other_data_centre_cost", cost);
  if (cost > kMaxOtherDataCentreCost) {
    load.Fault("other_data_centre_cost", "must be at most 100");
  }
  double& fraction = node.placement.max_error_backoff_fraction;
  fraction = load.NonNegativeNumber("max_error_backoff_fraction", fraction);
  if (fraction > 1) {
    load.Fault("max_error_backoff_fraction", "must be at most 1");
  }
  load.RejectUnknown();
}

void ReadTuning(JsonReader& reader, ForwardSettings& settings, Faults& faults) {
  JsonReader tuning(ObjectOrEmpty(reader, "tuning"), "/tuning", faults);
  ForwardNode::Options& node = settings.node;
  ReadDuration(tuning, "status_period_ms", node.exchange.status_period);
  ReadDuration(tuning, "watch_wait_ms", node.watch.wait);
  Placement::Options& placement = node.placement;
  placement.places_per_slot =
      tuning.PositiveNumber("places_per_slot", placement.places_per_slot);
  placement.places_per_plain_slot = tuning.PositiveNumber(
      "places_per_plain_slot", placement.places_per_plain_slot);
  tuning.RejectUnknown();
}

}  // namespace

leaf::result<ForwardSettings> ParseForwardSettings(const std::string& text) {
  BOOST_LEAF_AUTO(value, ParseJson(text));
  Faults faults;
  JsonReader reader(value, "", faults);
  ForwardSettings settings;
  settings.self.id.instance = reader.String("instance", {.required = true});
  settings.self.role = Role::kEntry;
  settings.self.data_centre = reader.String("data_centre", {.required = true});
  settings.self.region = reader.String("region");
  settings.store = ReadAddress(reader, "store");
  settings.node.seeds = ReadSeeds(reader);
  ReadListen(reader, settings, faults);
  ReadLimits(reader, settings, faults);
  ReadBounds(reader, settings, faults);
  ReadExposure(reader, settings, faults);
  ReadLoad(reader, settings, faults);
  ReadTuning(reader, settings, faults);
  JsonReader log(ObjectOrEmpty(reader, "log"), "/log", faults);
  settings.log_level = ReadLogLevel(log);
  log.RejectUnknown();
  reader.RejectUnknown();
  BOOST_LEAF_CHECK(CheckFaults(faults, ResultCode::kSettingsInvalid));
  settings.node.placement.entry = settings.self.id.instance;
  settings.node.placement.data_centre = settings.self.data_centre;
  settings.node.controller.data_centre = settings.self.data_centre;
  return settings;
}

}  // namespace lavenderkeel
