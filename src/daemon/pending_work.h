// Work that a process completes before it exits.
#ifndef CACTUSWARD_SRC_DAEMON_PENDING_WORK_H_
#define CACTUSWARD_SRC_DAEMON_PENDING_WORK_H_

#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "cactusward/time.h"

namespace cactusward {

// Not thread-safe.
class pending_work {
 public:
  virtual ~pending_work() = default;
  // What is known of the work at `now`, as the fields of a log record.
  virtual nlohmann::json Describe(time_point now) const = 0;
  // The process exits shortly, and the work has not long enough left: ends it
  // with a final response unless one has begun. May return before it has ended.
  virtual void EndBeforeExit() = 0;
};

// The work in progress, in the order of its start. Not thread-safe.
class pending_work_list {
 public:
  // Precondition: `work` is not listed and is removed before it is destroyed.
  void Add(pending_work* work) { work_.push_back(work); }
  void Remove(pending_work* work);
  bool empty() const { return work_.empty(); }
  std::size_t size() const { return work_.size(); }
  // Calls EndBeforeExit of each.
  void EndAll() const;
  // Logs a record `event` for each piece of work, at most kMaxLogged of them,
  // the oldest first.
  void LogEach(std::string_view event, time_point now) const;

  static constexpr std::size_t kMaxLogged = 64;

 private:
  std::vector<pending_work*> work_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_DAEMON_PENDING_WORK_H_
