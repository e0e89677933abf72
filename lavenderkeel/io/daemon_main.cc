#include "lavenderkeel/io/daemon_main.h"

#include <gflags/gflags.h>
#include <log4cplus/configurator.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <sys/resource.h>

#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "lavenderkeel/base/clock.h"
#include "lavenderkeel/io/stdout_appender.h"

DEFINE_string(settings, "", "settings file, JSON");
DEFINE_string(ready_file, "", "where the bound addresses are written");
DEFINE_bool(check, false, "check the settings and exit with 0 or 2");
DECLARE_bool(help);
DECLARE_bool(version);

namespace lavenderkeel {

namespace {

log4cplus::LogLevel ToLog4cplus(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

}  // namespace

std::optional<DaemonFlags> ParseDaemonFlags(int argc,
                                            char** argv,
                                            const std::string& usage,
                                            int& status) {
  gflags::SetVersionString(kVersion);
  gflags::SetUsageMessage(usage);
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, /*remove_flags=*/true);
  status = 0;
  if (FLAGS_help) {
    std::cout << usage
              << "\n\n  --settings FILE    settings, JSON (required)\n"
                 "  --check            check the settings, exit 0 or 2\n"
                 "  --ready_file PATH  write the bound addresses there\n"
                 "  --version, --help\n";
    return std::nullopt;
  }
  if (FLAGS_version) {
    std::cout << "lavenderkeel " << kVersion << "\n";
    return std::nullopt;
  }
  status = kBadUseStatus;
  if (FLAGS_settings.empty() || argc > 1) {
    std::cerr << "event=bad_use message=\"--settings FILE is required, and "
                 "only flags are accepted\"\n";
    return std::nullopt;
  }
  std::ifstream file(FLAGS_settings);
  if (!file) {
    std::cerr << "event=bad_use message=\"can't read " << FLAGS_settings
              << "\"\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  status = 0;
  return DaemonFlags{.settings_text = text.str(),
                     .ready_file = FLAGS_ready_file,
                     .check_only = FLAGS_check};
}

EventLog OpenLog(LogLevel min_level, const std::string& file) {
  static log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender;
  if (file.empty()) {
    appender = new StdoutAppender();
  } else {
    appender = new log4cplus::FileAppender(LOG4CPLUS_STRING_TO_TSTRING(file),
                                           std::ios_base::app,
                                           /*immediateFlush=*/true);
  }
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n")));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  root.setLogLevel(ToLog4cplus(min_level));
  return EventLog(
      [root](LogLevel level, const std::string& line) {
        root.log(ToLog4cplus(level), LOG4CPLUS_STRING_TO_TSTRING(line));
      },
      min_level);
}

bool WriteReadyFile(
    const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& addresses) {
  if (path.empty()) {
    return true;
  }
  boost::json::object object;
  for (const auto& [name, address] : addresses) {
    object[name] = address;
  }
  const std::string temporary_path = path + ".part";
  {
    std::ofstream file(temporary_path, std::ios::trunc);
    file << boost::json::serialize(object) << "\n";
    if (!file.flush()) {
      return false;
    }
  }
  return std::rename(temporary_path.c_str(), path.c_str()) == 0;
}

void PrepareProcess() {
  std::signal(SIGPIPE, SIG_IGN);
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
  }
}

uint64_t NewIncarnation() {
  return static_cast<uint64_t>(
      SystemClock().WallNow().time_since_epoch().count());
}

}  // namespace lavenderkeel
