// Refusals of requests for what this instance added to them.
#ifndef CACTUSWARD_COMPOSED_REQUEST_H_
#define CACTUSWARD_COMPOSED_REQUEST_H_

#include <cstddef>

namespace cactusward {

// Bounds the list of helpers of one request. An upstream that refuses a list as
// malformed would refuse it again, so that the next one has to be shorter. Not
// thread-safe.
class composed_request_bound {
 public:
  // Most entries that engines accept.
  static constexpr int kMaxHelperEntries = 16;

  // Records the status of a response to a request with `helper_entries`.
  // @return whether the request was rejected for what this instance composed.
  bool RecordStatus(int status, std::size_t helper_entries);
  int max_helper_entries() const { return max_helper_entries_; }

 private:
  int max_helper_entries_ = kMaxHelperEntries;
};

}  // namespace cactusward

#endif  // CACTUSWARD_COMPOSED_REQUEST_H_
