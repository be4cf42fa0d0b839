// Many claims in one write: a bucket of claims at its home instance.
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
  // Least time between two writes of the bucket; a write after a longer pause
  // is made at once.
  duration write_interval{milliseconds(10)};
  // Completions and releases wait this long for a claim to travel with.
  milliseconds linger{50};
};

// Appends claims to the key-value service in segments, each guarded by a
// compare-and-swap on the bucket's head. Several instances may act for one
// bucket at a time: the write of all but one fails, and those read the bucket
// again. Not thread-safe.
class claim_bucket {
 public:
  // @param name unlike that of any other bucket.
  // @param writer unlike that of any other process.
  // Precondition: `io` and `store` outlive the bucket's operations.
  claim_bucket(boost::asio::io_context& io,
               key_value_store* store,
               std::string name,
               std::string writer_id,
               const claim_bucket_settings& settings);
  ~claim_bucket();

  // As in claim_store.
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
