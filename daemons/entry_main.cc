// lavenderkeel-entry: accepts callers' requests.
#include <iostream>
#include <utility>

#include "lavenderkeel/io.h"

namespace lavenderkeel {

namespace {

int Main(int argc, char** argv) {
  int status = 0;
  const auto flags = ParseDaemonFlags(
      argc, argv, "lavenderkeel-entry: accepts callers' requests", status);
  if (!flags.has_value()) {
    return status;
  }
  auto settings =
      Catch([&] { return ParseEntrySettings(flags->settings_text); });
  if (!settings) {
    std::cerr << "event=settings_invalid faults=\"" << settings.failure.message
              << "\"\n";
    return kBadUseStatus;
  }
  if (flags->check_only) {
    return 0;
  }
  PrepareProcess();
  const EventLog log = OpenLog(settings.value->common.log_level,
                               settings.value->common.log_file);
  settings.value->common.self.id.incarnation = NewIncarnation();
  return EntryDaemon(*std::move(settings.value), log).Run(flags->ready_file);
}

}  // namespace

}  // namespace lavenderkeel

int main(int argc, char** argv) {
  return lavenderkeel::Main(argc, argv);
}
