#include "test/process/process_set.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string_view>

extern char** environ;

namespace lavenderkeel::test {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

size_t PeakKiB(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  constexpr std::string_view kField = "VmHWM:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kField)) {
      return std::stoul(line.substr(kField.size()));
    }
  }
  return 0;
}

namespace {

/// Bounds the freed memory that the address sanitizer keeps from reuse, so that
/// the memory of a process is what it needs.
void LimitSanitizerQuarantine() {
  constexpr const char* kVariable = "ASAN_OPTIONS";
  constexpr std::string_view kOption = "quarantine_size_mb=8";
  const char* present = std::getenv(kVariable);
  std::string options = present == nullptr ? "" : present;
  if (options.find(kOption) == std::string::npos) {
    options += options.empty() ? "" : ":";
    options += kOption;
    setenv(kVariable, options.c_str(), /*overwrite=*/1);
  }
}

}  // namespace

ProcessSet::ProcessSet(bool keep) : keep_(keep) {
  LimitSanitizerQuarantine();
  std::string pattern = "/tmp/lavenderkeel-test-XXXXXX";
  directory_ = mkdtemp(pattern.data());
}

ProcessSet::~ProcessSet() {
  for (const auto& [name, pid] : pids_) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  if (!keep_) {
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
}

void ProcessSet::Spawn(const std::string& name,
                       const std::vector<std::string>& command) {
  std::filesystem::remove(ReadyFile(name));
  std::vector<std::string> words = command;
  if (max_descriptors_.has_value()) {
    words = {"/bin/sh", "-c",
             "ulimit -n " + std::to_string(*max_descriptors_) +
                 " && exec \"$0\" \"$@\""};
    words.insert(words.end(), command.begin(), command.end());
  }
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (const std::string& word : words) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  const std::string log = directory_ + "/" + name + ".log";
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                   O_CREAT | O_APPEND | O_WRONLY, 0600);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  posix_spawn(&pid, arguments[0], &files, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  pids_[name] = pid;
}

void ProcessSet::Signal(const std::string& name, int signal) {
  kill(pids_.at(name), signal);
}

std::optional<int> ProcessSet::TryJoin(const std::string& name) {
  int status = 0;
  if (waitpid(pids_.at(name), &status, WNOHANG) != pids_.at(name)) {
    return std::nullopt;
  }
  pids_.erase(name);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void ProcessSet::Kill(const std::string& name) {
  kill(pids_.at(name), SIGKILL);
  waitpid(pids_.at(name), nullptr, 0);
  pids_.erase(name);
}

bool ProcessSet::IsRunning(const std::string& name) const {
  const auto found = pids_.find(name);
  siginfo_t info{};
  return found != pids_.end() &&
         waitid(P_PID, static_cast<id_t>(found->second), &info,
                WEXITED | WNOHANG | WNOWAIT) == 0 &&
         info.si_pid == 0;
}

bool ProcessSet::HasReadyFile(const std::string& name) const {
  return std::filesystem::exists(ReadyFile(name));
}

std::string ProcessSet::Address(const std::string& name,
                                const std::string& port) const {
  const std::string text = ReadFile(ReadyFile(name));
  if (text.empty()) {
    return {};
  }
  return std::string(boost::json::parse(text).as_object().at(port).as_string());
}

std::string ProcessSet::Log(const std::string& name) const {
  return ReadFile(directory_ + "/" + name + ".log");
}

}  // namespace lavenderkeel::test
