// Processes that a scenario starts, and ends by id.
#ifndef CACTUSWARD_TESTS_SUPPORT_PROCESS_TABLE_H_
#define CACTUSWARD_TESTS_SUPPORT_PROCESS_TABLE_H_

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cactusward::test {

class process_table {
 public:
  ~process_table();

  // Starts a program; its output goes to `log_path`.
  // @return its id, or -1.
  pid_t Start(const std::vector<std::string>& arguments,
              const std::string& log_path);
  // Sends a signal to a process of this table.
  bool Signal(pid_t pid, int signal);
  // The exit code of a process that ended (128 + signal when killed).
  std::optional<int> Poll(pid_t pid);
  // Ends all that still run.
  void KillAll();

 private:
  std::map<pid_t, std::optional<int>> processes_;
};

}  // namespace cactusward::test

#endif  // CACTUSWARD_TESTS_SUPPORT_PROCESS_TABLE_H_
