#include "cactusward/claim_bucket.h"

#include <algorithm>
#include <map>
#include <set>

namespace cactusward {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxSegmentEntries = 256;
constexpr std::size_t kMaxSegmentBytes = 512ULL * 1024;
constexpr milliseconds kStoreTimeout{500};
constexpr milliseconds kLoadTimeout{5'000};
constexpr milliseconds kRetryDelay{20};
// An index verified longer ago may miss writes by another owner of the bucket.
constexpr milliseconds kIndexTtl{1'000};
constexpr int kLeasesPerRetention = 4;

std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

class claim_bucket::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& io,
       key_value_store* store,
       std::string name,
       std::string writer_id,
       const claim_bucket_settings& settings)
      : io_(io),
        store_(store),
        prefix_("cactusward/claim-buckets/" + std::move(name) + "/"),
        writer_id_(std::move(writer_id)),
        settings_(settings),
        index_(settings.retention),
        writer_timer_(io) {}

  result<claim_record> Submit(claim_entry entry,
                              time_point deadline,
                              asio::yield_context yield) {
    entry.timestamp_ms = NowMs();
    if (entry.change == claim_change::kClaim && IsIndexFresh()) {
      // An existing claim cannot be replaced, so no write is needed.
      if (const auto existing = index_.Find(entry.key, entry.timestamp_ms))
        return *existing;
    }
    const auto operation = std::make_shared<pending_operation>(io_);
    operation->entry = std::move(entry);
    operation->deadline = deadline;
    operation->queued_at = clock::now();
    pending_.push_back(operation);
    StartWriter();
    writer_timer_.cancel();
    boost::system::error_code ignored;
    operation->timer.expires_at(deadline);
    while (!operation->resolved && clock::now() < deadline)
      operation->timer.async_wait(yield[ignored]);
    operation->abandoned = !operation->resolved;
    if (operation->outcome)
      return *operation->outcome;
    return {error_kind::kStoreUnavailable, "claim not settled in time"};
  }

  void SetSettings(const claim_bucket_settings& settings) {
    settings_ = settings;
    index_.SetRetention(settings.retention);
  }
  std::size_t size() const { return index_.size(); }
  std::int64_t writes() const { return writes_; }

 private:
  struct pending_operation {
    explicit pending_operation(asio::io_context& io) : timer(io) {}
    claim_entry entry;
    time_point deadline;
    time_point queued_at;
    asio::steady_timer timer;
    std::optional<claim_record> outcome;
    bool resolved = false;
    bool abandoned = false;
  };
  using operation_list = std::vector<std::shared_ptr<pending_operation>>;

  // Whether the index was recently verified to hold all claims of the bucket.
  bool IsIndexFresh() const {
    return loaded_ && clock::now() - verified_at_ <= kIndexTtl;
  }

  static void Resolve(pending_operation& operation,
                      std::optional<claim_record> outcome) {
    operation.outcome = std::move(outcome);
    operation.resolved = true;
    operation.timer.cancel();
  }

  void StartWriter() {
    if (writer_running_)
      return;
    writer_running_ = true;
    asio::spawn(io_, [self = shared_from_this()](asio::yield_context yield) {
      self->RunWriter(yield);
      self->writer_running_ = false;
    });
  }

  void SleepUntil(time_point until, asio::yield_context yield) {
    boost::system::error_code ignored;
    writer_timer_.expires_at(until);
    writer_timer_.async_wait(yield[ignored]);
  }

  void RunWriter(asio::yield_context yield) {
    while (RemoveAbandoned() || (loaded_ && !forgotten_.empty())) {
      const time_point due = NextWriteTime();
      if (clock::now() < due) {
        SleepUntil(due, yield);
        continue;
      }
      if (!IsIndexFresh() && !RefreshIndex(yield)) {
        SleepUntil(clock::now() + kRetryDelay, yield);
        continue;
      }
      operation_list batch = TakeBatch();
      if (batch.empty() && forgotten_.empty())
        continue;
      last_write_ = clock::now();
      if (!WriteSegment(batch, yield)) {
        // The write may have taken effect. The bucket is read again, and the
        // nonces show which claims were stored.
        loaded_ = false;
        pending_.insert(pending_.begin(), batch.begin(), batch.end());
      }
    }
  }

  // Removes operations whose caller gave up or whose deadline passed. An
  // abandoned claim may have been written although its claimant got no
  // response; the claimant releases it.
  // @return whether any operation is pending.
  bool RemoveAbandoned() {
    const time_point now = clock::now();
    const auto is_abandoned =
        [now](const std::shared_ptr<pending_operation>& operation) {
          return operation->abandoned || operation->deadline <= now;
        };
    pending_.erase(
        std::remove_if(pending_.begin(), pending_.end(), is_abandoned),
        pending_.end());
    return !pending_.empty();
  }

  time_point NextWriteTime() const {
    const time_point earliest = last_write_ + settings_.write_interval;
    const bool has_claim = std::any_of(
        pending_.begin(), pending_.end(), [](const auto& operation) {
          return operation->entry.change == claim_change::kClaim;
        });
    if (has_claim || pending_.empty())
      return earliest;
    return std::max(earliest, pending_.front()->queued_at + settings_.linger);
  }

  // Resolves claims on keys that are already claimed. Takes the other
  // operations into the batch, at most one per key.
  operation_list TakeBatch() {
    const std::int64_t now_ms = NowMs();
    operation_list batch;
    std::deque<std::shared_ptr<pending_operation>> remaining;
    std::set<std::string> keys;
    std::size_t bytes = 0;
    for (const auto& operation : pending_) {
      const claim_entry& entry = operation->entry;
      const auto existing = index_.Find(entry.key, now_ms);
      if (entry.change == claim_change::kClaim && existing) {
        Resolve(*operation, existing);
        continue;
      }
      const bool full = batch.size() >= kMaxSegmentEntries ||
                        bytes + entry.record.body.size() > kMaxSegmentBytes;
      if (full || !keys.insert(entry.key).second) {
        remaining.push_back(operation);
        continue;
      }
      bytes += entry.record.body.size();
      batch.push_back(operation);
    }
    pending_ = std::move(remaining);
    return batch;
  }

  bool WriteSegment(const operation_list& batch, asio::yield_context yield) {
    const time_point deadline = clock::now() + kStoreTimeout;
    const std::int64_t lease = AcquireLease(deadline, yield);
    if (lease == 0)
      return false;
    std::vector<claim_entry> entries = TakeForgotten();
    const auto restored = static_cast<std::ptrdiff_t>(entries.size());
    entries.reserve(entries.size() + batch.size());
    for (const auto& operation : batch)
      entries.push_back(operation->entry);
    const std::string segment =
        prefix_ + "segments/" + writer_id_ + "-" + std::to_string(++sequence_);
    ++writes_;
    const auto swap = store_->CompareAndSwap(
        prefix_ + "head", head_,
        {{prefix_ + "head", segment}, {segment, EncodeSegment(entries), lease}},
        deadline, yield);
    if (!swap || !swap->applied) {
      // The store may have forgotten the lease.
      if (!swap)
        lease_ = 0;
      forgotten_.insert(forgotten_.begin(), entries.begin(),
                        entries.begin() + restored);
      return false;
    }
    head_ = stored_value{prefix_ + "head", segment, swap->mod_revision};
    verified_at_ = clock::now();
    const std::int64_t now_ms = NowMs();
    segments_[segment] = now_ms;
    index_.Expire(now_ms);
    for (const auto& operation : batch) {
      index_.Apply(operation->entry);
      const auto existing = index_.Find(operation->entry.key, now_ms);
      Resolve(*operation, existing ? *existing : operation->entry.record);
    }
    return true;
  }

  // Verifies that no other writer has written to the bucket since the last read
  // or write, and reloads the index if one has.
  bool RefreshIndex(asio::yield_context yield) {
    if (!loaded_)
      return Load(yield);
    const time_point read_started_at = clock::now();
    const auto head =
        store_->Get(prefix_ + "head", read_started_at + kStoreTimeout, yield);
    if (!head)
      return false;
    if (!(*head == head_))
      return Load(yield);
    verified_at_ = read_started_at;
    return true;
  }

  // Reads the whole bucket. What the store has forgotten of it is kept: a
  // claim that was granted must not be granted again. The head is read first: a
  // segment written between the two reads makes the next write fail, and the
  // bucket is read again.
  bool Load(asio::yield_context yield) {
    const time_point read_started_at = clock::now();
    const time_point deadline = read_started_at + kLoadTimeout;
    const auto head = store_->Get(prefix_ + "head", deadline, yield);
    if (!head)
      return false;
    auto segments = store_->List(prefix_ + "segments/", deadline, yield);
    if (!segments)
      return false;
    std::sort(segments->begin(), segments->end(),
              [](const stored_value& a, const stored_value& b) {
                return a.mod_revision < b.mod_revision;
              });
    claim_index index(settings_.retention);
    std::map<std::string, std::int64_t> found;
    for (const stored_value& segment : *segments) {
      const auto entries = DecodeSegment(segment.value);
      // An unreadable segment may contain claims. Granting claims without it
      // could execute work twice.
      if (!entries)
        return false;
      for (const claim_entry& entry : *entries)
        index.Apply(entry);
      found[segment.key] = entries->empty() ? 0 : entries->back().timestamp_ms;
    }
    const std::int64_t now_ms = NowMs();
    if (HasForgotten(found, now_ms)) {
      const auto missing = index_.MissingIn(index, now_ms);
      forgotten_.assign(missing.begin(), missing.end());
    }
    for (const claim_entry& entry : forgotten_)
      index.Apply(entry);
    index_ = std::move(index);
    segments_ = std::move(found);
    head_ = *head;
    loaded_ = true;
    verified_at_ = read_started_at;
    return true;
  }

  // Whether segments that this instance knows are gone before they expire: the
  // store came back from an older copy.
  bool HasForgotten(const std::map<std::string, std::int64_t>& found,
                    std::int64_t now_ms) const {
    const auto retention_ms =
        std::chrono::duration_cast<milliseconds>(settings_.retention).count();
    return std::any_of(segments_.begin(), segments_.end(),
                       [&](const auto& known) {
                         return found.count(known.first) == 0 &&
                                now_ms - known.second < retention_ms;
                       });
  }

  // Removes as many forgotten entries as one segment may contain.
  std::vector<claim_entry> TakeForgotten() {
    std::vector<claim_entry> entries;
    std::size_t bytes = 0;
    while (!forgotten_.empty() && entries.size() < kMaxSegmentEntries &&
           bytes + forgotten_.front().record.body.size() <= kMaxSegmentBytes) {
      bytes += forgotten_.front().record.body.size();
      entries.push_back(std::move(forgotten_.front()));
      forgotten_.pop_front();
    }
    return entries;
  }

  // @return 0 if no lease was granted.
  std::int64_t AcquireLease(time_point deadline, asio::yield_context yield) {
    const duration period = settings_.retention / kLeasesPerRetention;
    if (lease_ != 0 && clock::now() - lease_granted_ < period)
      return lease_;
    const auto granted = store_->GrantLease(
        std::chrono::duration_cast<milliseconds>(settings_.retention + period),
        deadline, yield);
    lease_ = granted ? *granted : 0;
    lease_granted_ = clock::now();
    return lease_;
  }

  asio::io_context& io_;
  key_value_store* store_;
  std::string prefix_;
  std::string writer_id_;
  claim_bucket_settings settings_;
  claim_index index_;
  asio::steady_timer writer_timer_;
  std::deque<std::shared_ptr<pending_operation>> pending_;
  std::optional<stored_value> head_;
  // Stored segments, with the time of their last entry.
  std::map<std::string, std::int64_t> segments_;
  // Claims and outcomes that the store forgot, to be written again.
  std::deque<claim_entry> forgotten_;
  std::int64_t lease_ = 0;
  time_point lease_granted_;
  time_point last_write_;
  time_point verified_at_;
  std::int64_t sequence_ = 0;
  std::int64_t writes_ = 0;
  bool loaded_ = false;
  bool writer_running_ = false;
};

claim_bucket::claim_bucket(asio::io_context& io,
                           key_value_store* store,
                           std::string name,
                           std::string writer_id,
                           const claim_bucket_settings& settings)
    : impl_(std::make_shared<impl>(io,
                                   store,
                                   std::move(name),
                                   std::move(writer_id),
                                   settings)) {}

claim_bucket::~claim_bucket() = default;

result<claim_record> claim_bucket::Claim(const std::string& key,
                                         const claim_record& record,
                                         time_point deadline,
                                         asio::yield_context yield) {
  return impl_->Submit({claim_change::kClaim, key, record, 0}, deadline, yield);
}

result<bool> claim_bucket::Complete(const std::string& key,
                                    const claim_record& record,
                                    time_point deadline,
                                    asio::yield_context yield) {
  const auto existing =
      impl_->Submit({claim_change::kComplete, key, record, 0}, deadline, yield);
  if (!existing)
    return {existing.kind(), existing.detail()};
  return existing->nonce == record.nonce;
}

result<bool> claim_bucket::Release(const std::string& key,
                                   const std::string& nonce,
                                   time_point deadline,
                                   asio::yield_context yield) {
  claim_record record;
  record.nonce = nonce;
  const auto existing =
      impl_->Submit({claim_change::kRelease, key, record, 0}, deadline, yield);
  if (!existing)
    return {existing.kind(), existing.detail()};
  return true;
}

void claim_bucket::SetSettings(const claim_bucket_settings& settings) {
  impl_->SetSettings(settings);
}

std::size_t claim_bucket::size() const {
  return impl_->size();
}

std::int64_t claim_bucket::writes() const {
  return impl_->writes();
}

}  // namespace cactusward
