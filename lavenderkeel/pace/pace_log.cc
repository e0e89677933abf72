#include "lavenderkeel/pace/pace_log.h"

#include <string>

namespace lavenderkeel {

namespace {

std::string NameOf(PaceEvent::Kind kind) {
  switch (kind) {
    case PaceEvent::Kind::kSlow:
      return "server_slow";
    case PaceEvent::Kind::kFailed:
      return "server_failed";
    case PaceEvent::Kind::kProbe:
      return "server_probed";
    case PaceEvent::Kind::kReturned:
      return "server_returned";
  }
  return "server_pace";
}

}  // namespace

void PaceLog::operator()(const PaceEvent& event) const {
  const std::string name = NameOf(event.kind);
  metrics_->Add("server_decisions{event=\"" + name + "\"}");
  log_->Info(name, {{"server", event.server},
                    {"relative_pace", event.relative_pace},
                    {"sample_age_ms", ToMilliseconds(event.sample_age)},
                    {"entry", event.entry},
                    {"attempt", event.attempt}});
}

}  // namespace lavenderkeel
