// State of the upstreams of one service at one instance.
#ifndef CACTUSWARD_UPSTREAMS_H_
#define CACTUSWARD_UPSTREAMS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusward/evacuation_set.h"
#include "cactusward/membership.h"
#include "cactusward/routing.h"
#include "cactusward/suspects.h"
#include "cactusward/time.h"

namespace cactusward {

// An upstream in the platform's list.
struct upstream_listing {
  std::string address;  // IP:port; identifies the upstream
  std::string service;
  std::string availability_zone;
  bool leaving = false;

  friend bool operator==(const upstream_listing& a, const upstream_listing& b) {
    return a.address == b.address && a.service == b.service &&
           a.availability_zone == b.availability_zone && a.leaving == b.leaving;
  }
};

// Load report of an upstream.
struct load_report {
  std::int64_t waiting_tokens = 0;  // prompt tokens without prefill so far
  std::int64_t waiting_long_tokens = 0;
  std::int64_t kv_used_tokens = 0;
  bool leaving = false;
  duration lag{0};  // age of the report when it arrives

  friend bool operator==(const load_report& a, const load_report& b) {
    return a.waiting_tokens == b.waiting_tokens &&
           a.waiting_long_tokens == b.waiting_long_tokens &&
           a.kv_used_tokens == b.kv_used_tokens && a.leaving == b.leaving &&
           a.lag == b.lag;
  }
};

struct ejection_settings {
  int consecutive_failures = 3;  // needed to eject
  milliseconds initial_ejection{500};
  milliseconds max_ejection{30'000};
  double max_ejected_share = 0.3;  // of the service's upstreams
};

// One request in flight at one upstream.
struct dispatch {
  std::string address;
  std::int64_t prompt_tokens = 0;
  std::int64_t kv_tokens = 0;
  std::uint64_t fingerprint = 0;
  bool is_long = false;
  bool suspect = false;
  time_point sent_at;
};

// The upstreams of one service with their listings, load reports, ejections and
// the dispatches of this instance. Not thread-safe.
class upstream_pool {
 public:
  // Status of one upstream, for operators.
  struct row {
    std::string address;
    std::string availability_zone;
    bool accepting = false;
    bool leaving = false;
    bool evacuated = false;  // its availability zone is
    bool ejected = false;
    bool reachable = true;
    int in_flight = 0;
    std::int64_t backlog_tokens = 0;
    std::int64_t kv_reserved = 0;
  };

  upstream_pool(const upstream_service& service,
                std::string own_zone,
                const ejection_settings& ejection);

  // Replaces the platform's list; other services in it are ignored. An upstream
  // that is no longer listed is kept, not accepting, while it has dispatches.
  void SetListings(const std::vector<upstream_listing>& listings);
  // Sets the availability zones whose upstreams accept no requests. Null: none.
  // Precondition: `evacuations` outlives the pool.
  void SetEvacuations(const evacuation_set* evacuations) {
    evacuations_ = evacuations;
  }
  void SetService(const upstream_service& service) { service_ = service; }
  void SetMaxEjectedShare(double share) { ejection_.max_ejected_share = share; }

  // Records a response of an upstream.
  // @param report nullopt if the response has none; the last one then stays.
  void RecordReport(const std::string& address,
                    const std::optional<load_report>& report,
                    time_point now);
  // Records that an upstream refused a request at `now` and wants no others for
  // `time`. An earlier refusal for longer stays in force: responses on
  // different connections may overtake each other.
  void RecordBackoff(const std::string& address,
                     milliseconds time,
                     time_point now);
  // When an upstream wants requests again; nullopt unless all that are listed,
  // reachable and do not leave want none at `now`.
  std::optional<time_point> BackoffEnd(time_point now) const;
  // Records that a peer learned at `observed_at` that an upstream leaves. Valid
  // for kLeavingTtl, unless a later report of the upstream itself disagrees.
  // @return whether the upstream now counts as leaving and did not before.
  bool RecordLeaving(std::uint32_t upstream,
                     time_point observed_at,
                     time_point now);
  // Upstreams that reported that they leave, directly or through peers.
  std::vector<leaving_report> LeavingReports(time_point now) const;

  static constexpr milliseconds kLeavingTtl{6'000};

  // Replaces the prompt tokens that all peers together have waiting, by
  // UpstreamKey.
  void SetPeerBacklog(std::unordered_map<std::uint32_t, std::int64_t> tokens) {
    peer_backlog_ = std::move(tokens);
  }
  // Sets whether the upstream can be reached. Unlike ejection not limited to a
  // share of the upstreams. @return whether the value changed.
  bool SetReachable(const std::string& address, bool reachable);
  // Records a failed response. Consecutive ones eject the upstream.
  void RecordFailure(const std::string& address, time_point now);
  void RecordSuccess(const std::string& address);

  // Adds a dispatch. @return its id, for the calls below.
  std::uint64_t Begin(const dispatch& dispatch);
  void RecordFirstToken(std::uint64_t id);
  void End(std::uint64_t id);

  // Number of upstreams in the view.
  std::size_t size() const { return order_.size(); }
  // Number of listed upstreams that do not leave and whose zones are not
  // evacuated, whether they can be reached or not.
  std::size_t CountOutsideEvacuatedZones(time_point now) const;
  // Whether the service has no upstream because all that are listed and do not
  // leave are in evacuated zones, so that waiting cannot help.
  bool IsEvacuated(time_point now) const;
  // Whether the zone of the upstream at `address` is evacuated; also of one
  // that is no longer listed.
  bool IsInEvacuatedZone(const std::string& address) const;
  // The upstream at `index` of an order that is the same at all instances.
  upstream_view ViewAt(std::size_t index, time_point now) const;
  const std::string& AddressAt(std::size_t index) const;
  // All upstreams, accepting or not.
  std::vector<std::string> Addresses() const;
  // When a load report last arrived; nothing before the first.
  std::optional<time_point> LastContact(const std::string& address) const;
  // Requests in flight at an upstream.
  std::vector<running_request> InFlightAt(const std::string& address) const;
  int InFlightCount(const std::string& address) const;
  // Prompt tokens of this instance that are waiting, to report to peers.
  std::vector<in_flight_report> InFlightReports() const;
  std::vector<row> Rows(time_point now) const;
  const upstream_service& service() const { return service_; }

 private:
  // Sums over dispatches, so that a view does not iterate over them.
  struct token_sums {
    std::int64_t prompt = 0;
    std::int64_t long_prompt = 0;
    std::int64_t kv = 0;
    int long_requests = 0;
  };
  struct open_dispatch {
    dispatch sent;
    bool first_token_seen = false;
  };
  struct entry {
    upstream_listing listing;
    std::uint64_t rank = 0;
    bool listed = true;
    bool reachable = true;
    std::optional<load_report> report;
    time_point reported_at;
    std::optional<time_point> last_contact;
    std::optional<time_point> leaving_observed_at;
    int consecutive_failures = 0;
    int ejections = 0;
    time_point ejected_until;
    time_point backoff_end;
    int suspects = 0;
    token_sums sums;
    std::map<std::uint64_t, open_dispatch> dispatches;
    // Ids of dispatches that the report does not cover, oldest first.
    std::deque<std::uint64_t> unreported;
  };

  entry* Find(const std::string& address);
  const entry* Find(const std::string& address) const;
  static bool IsLeaving(const entry& entry, time_point now);
  bool IsInEvacuatedZone(const entry& entry) const {
    return evacuations_ &&
           evacuations_->Contains(entry.listing.availability_zone);
  }
  // Whether it is listed, can be reached, does not leave, and its zone is not
  // evacuated.
  bool IsAvailable(const entry& entry, time_point now) const;
  entry* FindDispatch(std::uint64_t id);
  token_sums Unreported(const entry& entry) const;
  std::size_t EjectedCount(time_point now) const;
  void RemoveUnlisted();
  void RebuildOrder();

  upstream_service service_;
  std::string own_zone_;
  ejection_settings ejection_;
  const evacuation_set* evacuations_ = nullptr;
  std::unordered_map<std::string, std::unique_ptr<entry>> entries_;
  std::vector<entry*> order_;  // by rank
  std::unordered_map<std::uint64_t, entry*> entry_of_;
  std::unordered_map<std::uint32_t, std::int64_t> peer_backlog_;
  std::uint64_t next_id_ = 1;
};

// A pool at one moment. Precondition: the pool outlives the view and does not
// change in that time.
class pool_view : public routing_view {
 public:
  pool_view(const upstream_pool* pool, time_point now)
      : pool_(pool), now_(now) {}
  std::size_t size() const override { return pool_->size(); }
  upstream_view At(std::size_t index) const override {
    return pool_->ViewAt(index, now_);
  }

 private:
  const upstream_pool* pool_;
  time_point now_;
};

// Hash that identifies an upstream in messages between instances. Thread-safe.
std::uint32_t UpstreamKey(std::string_view address);

}  // namespace cactusward

#endif  // CACTUSWARD_UPSTREAMS_H_
