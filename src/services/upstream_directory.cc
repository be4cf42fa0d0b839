#include "src/services/upstream_directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "cactusward/hash.h"
#include "src/edges/connector.h"
#include "src/kernel/log.h"
#include "src/services/config_service.h"
#include "src/services/evacuation_service.h"
#include "src/services/membership_service.h"
#include "src/services/recovery_service.h"

namespace cactusward {
namespace {

constexpr milliseconds kListPollPeriod{500};
constexpr milliseconds kListTimeout{2'000};
constexpr milliseconds kProbeCheckPeriod{100};
constexpr milliseconds kProbeTimeout{1'000};
// How long to probe after a broken connection. Equal to kPeerReportWait in
// recovery_service.cc, the time that a retry waits for its verdict.
constexpr milliseconds kBrokenProbeTimeout{300};
// Delay between these probes: a few round trips within an availability zone.
constexpr milliseconds kBrokenProbeDelay{10};
// An upstream with requests of this instance in flight is probed after this
// time without contact.
constexpr milliseconds kMaxContactAge{700};
constexpr milliseconds kUnreachableProbePeriod{500};
// The owner of an upstream probes it this often, on behalf of all instances.
constexpr milliseconds kOwnerProbePeriod{900};
// A probe that failed says nothing if this process was stalled for longer
// meanwhile.
constexpr milliseconds kMaxStallDuringProbe{200};
constexpr int kFailuresUntilUnreachable = 2;
constexpr std::size_t kMaxProbeResponseBytes = 64ULL * 1024;
// A sound upstream may be silent for a second or so. After this many failed
// probes, requests that can be repeated are moved elsewhere.
constexpr int kFailuresUntilMoved = 4;

// Whether the connection was refused, which means that no process listens.
// Other failures to connect, such as a connection attempt that gets no response
// in time, do not tell whether the process lives.
bool IsRefusedConnection(const result<http_response>& response) {
  return response.kind() == error_kind::kUpstreamUnreachable &&
         response.detail() == RefusedConnectionText();
}

}  // namespace

upstream_directory::upstream_directory(runtime& runtime)
    : runtime_(runtime), stalls_(kProbeCheckPeriod, clock::now()) {}

void upstream_directory::Start() {
  config_ = runtime_.registry.Find<config_service>(kConfigServiceName);
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
  recovery_ = runtime_.registry.Find<recovery_service>(kRecoveryServiceName);
  evacuations_ =
      runtime_.registry.Find<evacuation_service>(kEvacuationServiceName);
  if (evacuations_)
    evacuations_->Subscribe([this] { NotifyCapacityFreed(); });
  config_->tracker().Subscribe([this](const active_config&) { ApplyConfig(); });
  SpawnRestarting(
      runtime_.io, "instance_list",
      [this](asio::yield_context yield) { PollInstanceList(yield); });
  probe_timer_ =
      runtime_.timers.Every(kProbeCheckPeriod, [this](time_point now) {
        stalls_.Tick(now);
        StartDueProbes(now);
      });
}

void upstream_directory::ApplyConfig() {
  const auto active = config_->Current();
  for (const upstream_service& service : active->config.services) {
    auto& pool = pools_[service.name];
    if (!pool) {
      pool = std::make_unique<upstream_pool>(
          service, runtime_.settings.availability_zone, ejection_settings());
      if (evacuations_)
        pool->SetEvacuations(&evacuations_->evacuations());
    }
    pool->SetService(service);
    pool->SetMaxEjectedShare(active->config.recovery.max_ejected_share);
    pool->SetListings(listings_);
  }
  // Pools of removed services are kept without upstreams, because dispatches
  // may still refer to them.
  for (auto& [name, pool] : pools_) {
    if (!active->config.FindService(name))
      pool->SetListings({});
  }
  NotifyCapacityFreed();
}

upstream_pool* upstream_directory::Pool(const std::string& service) {
  const auto it = pools_.find(service);
  return it == pools_.end() ? nullptr : it->second.get();
}

std::vector<upstream_pool*> upstream_directory::Pools() {
  std::vector<upstream_pool*> pools;
  for (auto& [name, pool] : pools_)
    pools.push_back(pool.get());
  return pools;
}

void upstream_directory::PollInstanceList(asio::yield_context yield) {
  std::string entity_tag;
  while (true) {
    outgoing_request request;
    request.target = "/v1/instances";
    // The platform responds 304 Not Modified when the list is unchanged.
    if (!entity_tag.empty())
      request.headers = {{"If-None-Match", entity_tag}};
    const auto response =
        runtime_.client.Call(runtime_.settings.instance_list, request,
                             clock::now() + kListTimeout, yield);
    // On failure the previous list stays in use.
    if (response && response->status == 200) {
      entity_tag = response->entity_tag;
      ApplyInstanceList(response->body);
    }
    Sleep(runtime_.io, kListPollPeriod, yield);
  }
}

void upstream_directory::ApplyInstanceList(const std::string& body) {
  std::vector<std::string> peers;
  const auto listings = ParseInstanceList(body, &peers);
  if (!listings) {
    Log(log_level::kWarning, "instance_list_malformed");
    return;
  }
  membership_->SetListedPeers(std::move(peers));
  listings_ = *listings;
  const auto active = config_->Current();
  for (auto& [name, pool] : pools_) {
    if (active->config.FindService(name))
      pool->SetListings(listings_);
  }
  NotifyCapacityFreed();
}

bool upstream_directory::MayCarryTo(const std::string& address) const {
  return std::any_of(
      listings_.begin(), listings_.end(),
      [this, &address](const upstream_listing& listing) {
        return listing.address == address &&
               !(evacuations_ && evacuations_->evacuations().Contains(
                                     listing.availability_zone));
      });
}

std::map<std::string, std::size_t> upstream_directory::CountByZone() const {
  std::map<std::string, std::size_t> counts;
  for (const upstream_listing& listing : listings_)
    ++counts[listing.availability_zone];
  return counts;
}

bool upstream_directory::IsOwnerOf(const std::string& address) {
  return live_instances_.empty() ||
         live_instances_[RendezvousOwner(address, live_instances_)] ==
             runtime_.settings.instance;
}

void upstream_directory::StartDueProbes(time_point now) {
  live_instances_.clear();
  for (const member& member : membership_->Live())
    live_instances_.push_back(member.name);
  std::vector<std::pair<std::string, std::string>> due;
  for (auto& [name, pool] : pools_) {
    for (const upstream_pool::row& row : pool->Rows(now)) {
      probe_state& state = probes_[row.address];
      if (state.running || now < state.next)
        continue;
      const auto contact = pool->LastContact(row.address);
      const bool contact_overdue =
          row.in_flight > 0 && (!contact || now - *contact > kMaxContactAge);
      const bool due_at_owner = contact && now - *contact > kOwnerProbePeriod &&
                                IsOwnerOf(row.address);
      if (!row.reachable || contact_overdue || !contact || state.failures > 0 ||
          due_at_owner)
        due.emplace_back(name, row.address);
    }
  }
  for (const auto& [service, address] : due) {
    probes_[address].running = true;
    Spawn(runtime_.io, "probe",
          [this, service = service,
           address = address](asio::yield_context yield) {
            ProbeUpstream(service, address, yield);
          });
  }
}

void upstream_directory::ProbeUpstream(const std::string& service,
                                       const std::string& address,
                                       asio::yield_context yield) {
  outgoing_request request;
  request.target = "/health";
  request.to_upstream = true;
  const time_point sent_at = clock::now();
  const duration stalled_before = stalls_.Total(sent_at);
  const auto response = runtime_.client.Call(
      address, request, sent_at + kProbeTimeout, yield, kMaxProbeResponseBytes);
  const time_point now = clock::now();
  probe_state& state = probes_[address];
  state.running = false;
  upstream_pool* pool = Pool(service);
  if (!pool)
    return;
  if (response && response->status == 200) {
    state.failures = 0;
    state.next = now + kMaxContactAge;
    RecordResponse(pool, address, response->load_metrics);
    return;
  }
  if (IsRefusedConnection(response)) {
    state.next = now + kUnreachableProbePeriod;
    return RecordCrash(pool, address);
  }
  if (stalls_.Total(now) - stalled_before > kMaxStallDuringProbe) {
    state.next = now;
    return;
  }
  state.next = now + kUnreachableProbePeriod;
  if (++state.failures == 1)
    state.silent_since = sent_at;
  if (state.failures >= kFailuresUntilUnreachable)
    MarkUnreachable(pool, address);
  if (state.failures >= kFailuresUntilMoved)
    MoveSilentDispatches(pool, address, state.silent_since);
}

void upstream_directory::MarkUnreachable(upstream_pool* pool,
                                         const std::string& address) {
  if (pool->SetReachable(address, false))
    Log(log_level::kWarning, "upstream_unreachable",
        {{"upstream", address}, {"service", pool->service().name}});
}

void upstream_directory::RecordCrash(upstream_pool* pool,
                                     const std::string& address) {
  MarkUnreachable(pool, address);
  // Only the first detection records the crash, for all requests in flight.
  bool& crashed = probes_[address].crashed;
  if (crashed)
    return;
  crashed = true;
  const auto in_flight = pool->InFlightAt(address);
  if (!in_flight.empty())
    recovery_->RecordCrash(address, in_flight);
  std::vector<cancel_token*> cancelled;
  for (const auto& [key, open] : open_dispatches_) {
    if (key.first == pool && open.address == address && open.cancel)
      cancelled.push_back(open.cancel);
  }
  for (cancel_token* cancel : cancelled)
    cancel->Cancel();
}

void upstream_directory::MoveSilentDispatches(upstream_pool* pool,
                                              const std::string& address,
                                              time_point silent_since) {
  const auto rows = pool->Rows(clock::now());
  const bool has_alternative =
      std::any_of(rows.begin(), rows.end(),
                  [](const upstream_pool::row& row) { return row.accepting; });
  if (!has_alternative)
    return;
  std::vector<cancel_token*> moved;
  for (const auto& [key, open] : open_dispatches_) {
    if (key.first == pool && open.address == address && open.cancel &&
        open.heard_at < silent_since && open.may_move && open.may_move())
      moved.push_back(open.cancel);
  }
  for (cancel_token* cancel : moved)
    cancel->Cancel();
}

void upstream_directory::RecordResponse(upstream_pool* pool,
                                        const std::string& address,
                                        std::string_view load_metrics) {
  const time_point now = clock::now();
  const auto before = pool->LeavingReports(now).size();
  pool->RecordReport(address, ParseLoadMetrics(load_metrics), now);
  if (pool->LeavingReports(now).size() > before)
    membership_->PushUpdates();
  probes_[address].crashed = false;
  if (pool->SetReachable(address, true))
    Log(log_level::kInfo, "upstream_reachable", {{"upstream", address}});
  NotifyCapacityFreed();
}

void upstream_directory::OnConnectionBroken(upstream_pool* pool,
                                            const std::string& address,
                                            asio::yield_context yield) {
  outgoing_request request;
  request.target = "/health";
  request.to_upstream = true;
  request.fresh_connection = true;
  const time_point limit = clock::now() + kBrokenProbeTimeout;
  while (clock::now() < limit) {
    const auto response = runtime_.client.Call(address, request, limit, yield,
                                               kMaxProbeResponseBytes);
    if (response) {
      RecordResponse(pool, address, response->load_metrics);
      return;
    }
    if (IsRefusedConnection(response)) {
      RecordCrash(pool, address);
      return;
    }
    // An exiting process closes its connections before its listening port, so a
    // probe connection that breaks does not tell whether the process lives.
    Sleep(runtime_.io, kBrokenProbeDelay, yield);
  }
  Log(log_level::kWarning, "upstream_undecided",
      {{"upstream", address},
       {"after_ms", kBrokenProbeTimeout.count()},
       {"outcome", "its connections break; no crashed process is recorded"}});
}

std::uint64_t upstream_directory::Begin(upstream_pool* pool,
                                        const dispatch& dispatch,
                                        cancel_token* cancel,
                                        std::function<bool()> may_move) {
  const std::uint64_t id = pool->Begin(dispatch);
  open_dispatches_[{pool, id}] = {dispatch.address, cancel, std::move(may_move),
                                  clock::now()};
  return id;
}

void upstream_directory::RecordBytes(upstream_pool* pool, std::uint64_t id) {
  const auto it = open_dispatches_.find({pool, id});
  if (it != open_dispatches_.end())
    it->second.heard_at = clock::now();
}

void upstream_directory::End(upstream_pool* pool, std::uint64_t id) {
  open_dispatches_.erase({pool, id});
  pool->End(id);
  NotifyCapacityFreed();
}

std::vector<in_flight_report> upstream_directory::InFlightReports() const {
  std::vector<in_flight_report> all;
  for (const auto& [name, pool] : pools_) {
    const auto reports = pool->InFlightReports();
    all.insert(all.end(), reports.begin(), reports.end());
  }
  return all;
}

std::vector<leaving_report> upstream_directory::LeavingReports() const {
  std::vector<leaving_report> all;
  for (const auto& [name, pool] : pools_) {
    const auto reports = pool->LeavingReports(clock::now());
    all.insert(all.end(), reports.begin(), reports.end());
  }
  return all;
}

bool upstream_directory::RecordLeaving(
    const std::vector<leaving_report>& reports) {
  const time_point now = clock::now();
  bool changed = false;
  for (const leaving_report& report : reports) {
    if (report.age_ms < 0)
      continue;
    for (auto& [name, pool] : pools_)
      changed |= pool->RecordLeaving(report.upstream,
                                     now - milliseconds(report.age_ms), now);
  }
  return changed;
}

void upstream_directory::SetPeerBacklog(
    const std::unordered_map<std::uint32_t, std::int64_t>& tokens) {
  for (auto& [name, pool] : pools_)
    pool->SetPeerBacklog(tokens);
}

void upstream_directory::NotifyCapacityFreed() {
  if (capacity_listener_)
    capacity_listener_();
}

}  // namespace cactusward
