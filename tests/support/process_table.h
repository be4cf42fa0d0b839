// Child processes of a scenario.
#ifndef CACTUSWARD_TESTS_SUPPORT_PROCESS_TABLE_H_
#define CACTUSWARD_TESTS_SUPPORT_PROCESS_TABLE_H_

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cactusward::test {

struct process_use {
  std::size_t peak_resident_bytes = 0;  // since the process was started
  int open_descriptors = 0;
};

class process_table {
 public:
  ~process_table();

  // Starts a program; its output goes to `log_path`. `environment`, as
  // "NAME=value", is added to that of this process. `max_descriptors`: 0: as
  // this process.
  // @return its process id, or -1 when it could not be started.
  pid_t Start(const std::vector<std::string>& arguments,
              const std::string& log_path,
              const std::vector<std::string>& environment = {},
              int max_descriptors = 0);
  // @return what a process of this table uses; nullopt when it has ended.
  std::optional<process_use> Use(pid_t pid);
  // Sends a signal to a process of this table. @return false when the process
  // is not of this table or has ended.
  bool Signal(pid_t pid, int signal);
  // Returns the exit code of a process that has ended (128 + signal when
  // killed), nullopt for one that still runs.
  std::optional<int> Poll(pid_t pid);
  // Kills all processes that still run.
  void KillAll();

 private:
  std::map<pid_t, std::optional<int>> processes_;
};

}  // namespace cactusward::test

#endif  // CACTUSWARD_TESTS_SUPPORT_PROCESS_TABLE_H_
