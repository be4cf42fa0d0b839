// Batches the claims of one bucket into few writes, at the instance that owns
// the bucket.
#ifndef CACTUSWARD_CLAIM_BUCKET_H_
#define CACTUSWARD_CLAIM_BUCKET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <string>

#include "cactusward/claim_index.h"

namespace cactusward {

struct claim_bucket_settings {
  duration retention{std::chrono::hours(1)};
  // Minimum time between two writes of the bucket. After a longer idle time a
  // write is made immediately.
  duration write_interval{milliseconds(10)};
  // How long a completion or release waits to share a write with a claim.
  milliseconds linger{50};
};

// Appends claims to the key-value service in segments. Each write is guarded by
// a compare-and-swap on the bucket's head key. Several instances may act as the
// owner of a bucket at the same time: only one of their writes succeeds, and
// the others read the bucket again. Not thread-safe.
class claim_bucket {
 public:
  // @param name unique among buckets.
  // @param writer_id unique among processes.
  // Precondition: `io` and `store` outlive the bucket's operations.
  claim_bucket(boost::asio::io_context& io,
               key_value_store* store,
               std::string name,
               std::string writer_id,
               const claim_bucket_settings& settings);
  ~claim_bucket();

  // Same contracts as in claim_store.
  result<claim_record> Claim(const std::string& key,
                             const claim_record& record,
                             time_point deadline,
                             boost::asio::yield_context yield);
  result<bool> Complete(const std::string& key,
                        const claim_record& record,
                        time_point deadline,
                        boost::asio::yield_context yield);
  result<bool> Release(const std::string& key,
                       const std::string& nonce,
                       time_point deadline,
                       boost::asio::yield_context yield);

  void SetSettings(const claim_bucket_settings& settings);
  std::size_t size() const;
  std::int64_t writes() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_CLAIM_BUCKET_H_
