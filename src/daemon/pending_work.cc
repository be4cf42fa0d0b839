#include "src/daemon/pending_work.h"

#include <algorithm>

#include "src/kernel/log.h"

namespace cactusward {

void pending_work_list::Remove(pending_work* work) {
  work_.erase(std::remove(work_.begin(), work_.end(), work), work_.end());
}

void pending_work_list::EndAll() const {
  // Work may end, and leave the list, within the call.
  const std::vector<pending_work*> all = work_;
  for (pending_work* work : all)
    work->EndBeforeExit();
}

void pending_work_list::LogEach(std::string_view event, time_point now) const {
  const std::size_t logged = std::min(work_.size(), kMaxLogged);
  for (std::size_t i = 0; i < logged; ++i)
    Log(log_level::kWarning, event, work_[i]->Describe(now));
}

}  // namespace cactusward
