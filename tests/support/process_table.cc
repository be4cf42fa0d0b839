#include "tests/support/process_table.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace cactusward::test {
namespace {

constexpr int kSignalExitCodeBase = 128;
constexpr const char* kPeakResident = "VmHWM:";
constexpr std::size_t kBytesPerKilobyte = 1024;

int ExitCode(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : kSignalExitCodeBase + WTERMSIG(status);
}

}  // namespace

process_table::~process_table() {
  KillAll();
}

pid_t process_table::Start(const std::vector<std::string>& arguments,
                           const std::string& log_path,
                           const std::vector<std::string>& environment,
                           int max_descriptors) {
  std::vector<char*> argv;
  for (const std::string& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid != 0) {
    if (pid > 0)
      processes_[pid] = std::nullopt;
    return pid;
  }
  // The kernel kills the child when the scenario runner ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent)
    _exit(127);
  const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  const int null = open("/dev/null", O_RDONLY);
  dup2(null, STDIN_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  if (max_descriptors > 0) {
    const rlimit limit{static_cast<rlim_t>(max_descriptors),
                       static_cast<rlim_t>(max_descriptors)};
    if (setrlimit(RLIMIT_NOFILE, &limit) != 0)
      _exit(127);
  }
  for (const std::string& variable : environment)
    putenv(const_cast<char*>(variable.c_str()));
  execv(argv[0], argv.data());
  _exit(127);
}

bool process_table::Signal(pid_t pid, int signal) {
  const auto it = processes_.find(pid);
  if (it == processes_.end() || Poll(pid))
    return false;
  return kill(pid, signal) == 0;
}

std::optional<int> process_table::Poll(pid_t pid) {
  const auto it = processes_.find(pid);
  if (it == processes_.end())
    return std::nullopt;
  int status = 0;
  if (!it->second && waitpid(pid, &status, WNOHANG) == pid)
    it->second = ExitCode(status);
  return it->second;
}

std::optional<process_use> process_table::Use(pid_t pid) {
  if (processes_.count(pid) == 0 || Poll(pid))
    return std::nullopt;
  const std::filesystem::path folder = "/proc/" + std::to_string(pid);
  process_use use;
  std::ifstream status(folder / "status");
  std::string word;
  while (status >> word) {
    if (word != kPeakResident)
      continue;
    std::size_t kilobytes = 0;
    status >> kilobytes;
    use.peak_resident_bytes = kilobytes * kBytesPerKilobyte;
    break;
  }
  std::error_code error;
  for (std::filesystem::directory_iterator it(folder / "fd", error), end;
       !error && it != end; it.increment(error))
    ++use.open_descriptors;
  return use;
}

void process_table::KillAll() {
  for (auto& [pid, code] : processes_) {
    if (Poll(pid))
      continue;
    kill(pid, SIGKILL);
    int status = 0;
    waitpid(pid, &status, 0);
    code = ExitCode(status);
  }
}

}  // namespace cactusward::test
