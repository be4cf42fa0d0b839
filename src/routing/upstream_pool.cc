#include <algorithm>

#include "cactusward/hash.h"
#include "cactusward/upstreams.h"

namespace cactusward {
namespace {

constexpr std::uint64_t kRankSeed = 0x6361637475737761;
// A load report does not cover dispatches sent less than this time before it.
constexpr milliseconds kReportMargin{50};
constexpr int kMaxEjectionShift = 10;
constexpr std::int64_t kUnboundedTokens = INT64_MAX / 2;

double ToSeconds(duration d) {
  return std::chrono::duration<double>(d).count();
}

}  // namespace

std::uint32_t UpstreamKey(std::string_view address) {
  return static_cast<std::uint32_t>(Hash64(address));
}

upstream_pool::upstream_pool(const upstream_service& service,
                             std::string own_zone,
                             const ejection_settings& ejection)
    : service_(service), own_zone_(std::move(own_zone)), ejection_(ejection) {}

upstream_pool::entry* upstream_pool::Find(const std::string& address) {
  const auto it = entries_.find(address);
  return it == entries_.end() ? nullptr : it->second.get();
}

const upstream_pool::entry* upstream_pool::Find(
    const std::string& address) const {
  const auto it = entries_.find(address);
  return it == entries_.end() ? nullptr : it->second.get();
}

void upstream_pool::SetListings(const std::vector<upstream_listing>& listings) {
  for (auto& [address, entry] : entries_)
    entry->listed = false;
  for (const upstream_listing& listing : listings) {
    if (listing.service != service_.name)
      continue;
    auto& known = entries_[listing.address];
    if (!known) {
      known = std::make_unique<entry>();
      known->rank = Hash64(listing.address, kRankSeed);
    }
    known->listing = listing;
    known->listed = true;
  }
  RemoveUnlisted();
}

void upstream_pool::RemoveUnlisted() {
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (!it->second->listed && it->second->dispatches.empty())
      it = entries_.erase(it);
    else
      ++it;
  }
  RebuildOrder();
}

void upstream_pool::RebuildOrder() {
  order_.clear();
  for (auto& [address, entry] : entries_)
    order_.push_back(entry.get());
  std::sort(order_.begin(), order_.end(),
            [](const entry* a, const entry* b) { return a->rank < b->rank; });
}

void upstream_pool::RecordReport(const std::string& address,
                                 const std::optional<load_report>& report,
                                 time_point now) {
  entry* entry = Find(address);
  if (!entry)
    return;
  entry->last_contact = now;
  if (!report)
    return;
  entry->report = report;
  entry->reported_at = now;
  if (report->leaving)
    entry->leaving_observed_at = now - report->lag;
  else if (entry->leaving_observed_at &&
           *entry->leaving_observed_at < now - report->lag)
    entry->leaving_observed_at.reset();
  const time_point covered = now - report->lag - kReportMargin;
  while (!entry->unreported.empty()) {
    const auto it = entry->dispatches.find(entry->unreported.front());
    if (it != entry->dispatches.end() && it->second.sent.sent_at > covered)
      break;
    entry->unreported.pop_front();
  }
}

bool upstream_pool::IsLeaving(const entry& entry, time_point now) {
  return entry.listing.leaving ||
         (entry.leaving_observed_at &&
          now - *entry.leaving_observed_at < kLeavingTtl);
}

bool upstream_pool::IsAvailable(const entry& entry, time_point now) const {
  return entry.listed && entry.reachable && !IsLeaving(entry, now) &&
         !IsInEvacuatedZone(entry);
}

bool upstream_pool::IsInEvacuatedZone(const std::string& address) const {
  const entry* entry = Find(address);
  return entry && IsInEvacuatedZone(*entry);
}

std::size_t upstream_pool::CountOutsideEvacuatedZones(time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      order_.begin(), order_.end(), [this, now](const entry* entry) {
        return entry->listed && !IsLeaving(*entry, now) &&
               !IsInEvacuatedZone(*entry);
      }));
}

bool upstream_pool::IsEvacuated(time_point now) const {
  const bool any_evacuated =
      std::any_of(order_.begin(), order_.end(), [this](const entry* entry) {
        return entry->listed && IsInEvacuatedZone(*entry);
      });
  return any_evacuated && CountOutsideEvacuatedZones(now) == 0;
}

void upstream_pool::RecordBackoff(const std::string& address,
                                  milliseconds time,
                                  time_point now) {
  if (entry* entry = Find(address))
    entry->backoff_end = std::max(entry->backoff_end, now + time);
}

std::optional<time_point> upstream_pool::BackoffEnd(time_point now) const {
  std::optional<time_point> earliest;
  for (const entry* entry : order_) {
    if (!IsAvailable(*entry, now))
      continue;
    if (entry->backoff_end <= now)
      return std::nullopt;
    if (!earliest || entry->backoff_end < *earliest)
      earliest = entry->backoff_end;
  }
  return earliest;
}

bool upstream_pool::RecordLeaving(std::uint32_t upstream,
                                  time_point observed_at,
                                  time_point now) {
  for (entry* entry : order_) {
    if (UpstreamKey(entry->listing.address) != upstream)
      continue;
    const bool own_report_is_later =
        entry->report && !entry->report->leaving &&
        entry->reported_at - entry->report->lag > observed_at;
    if (own_report_is_later || (entry->leaving_observed_at &&
                                *entry->leaving_observed_at >= observed_at))
      return false;
    const bool changed = !IsLeaving(*entry, now);
    entry->leaving_observed_at = observed_at;
    return changed;
  }
  return false;
}

std::vector<leaving_report> upstream_pool::LeavingReports(
    time_point now) const {
  std::vector<leaving_report> reports;
  for (const entry* entry : order_) {
    if (!entry->leaving_observed_at ||
        now - *entry->leaving_observed_at >= kLeavingTtl)
      continue;
    const auto age = std::chrono::duration_cast<milliseconds>(
        now - *entry->leaving_observed_at);
    reports.push_back({UpstreamKey(entry->listing.address), age.count()});
  }
  return reports;
}

bool upstream_pool::SetReachable(const std::string& address, bool reachable) {
  entry* entry = Find(address);
  if (!entry || entry->reachable == reachable)
    return false;
  entry->reachable = reachable;
  return true;
}

std::size_t upstream_pool::EjectedCount(time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      order_.begin(), order_.end(),
      [now](const entry* entry) { return entry->ejected_until > now; }));
}

void upstream_pool::RecordFailure(const std::string& address, time_point now) {
  entry* entry = Find(address);
  if (!entry || entry->ejected_until > now)
    return;
  if (++entry->consecutive_failures < ejection_.consecutive_failures)
    return;
  const auto allowed = static_cast<std::size_t>(
      static_cast<double>(order_.size()) * ejection_.max_ejected_share);
  if (EjectedCount(now) >= std::max<std::size_t>(allowed, 1))
    return;
  const milliseconds period =
      ejection_.initial_ejection *
      (1 << std::min(entry->ejections, kMaxEjectionShift));
  entry->ejected_until = now + std::min(period, ejection_.max_ejection);
  ++entry->ejections;
}

void upstream_pool::RecordSuccess(const std::string& address) {
  entry* entry = Find(address);
  if (!entry)
    return;
  entry->consecutive_failures = 0;
  entry->ejections = 0;
  entry->ejected_until = time_point();
}

std::uint64_t upstream_pool::Begin(const dispatch& dispatch) {
  const std::uint64_t id = next_id_++;
  entry* entry = Find(dispatch.address);
  if (!entry)
    return id;
  entry_of_[id] = entry;
  entry->dispatches[id] = {dispatch, false};
  entry->unreported.push_back(id);
  entry->sums.prompt += dispatch.prompt_tokens;
  entry->sums.kv += dispatch.kv_tokens;
  if (dispatch.is_long) {
    entry->sums.long_prompt += dispatch.prompt_tokens;
    ++entry->sums.long_requests;
  }
  entry->suspects += dispatch.suspect ? 1 : 0;
  return id;
}

upstream_pool::entry* upstream_pool::FindDispatch(std::uint64_t id) {
  const auto it = entry_of_.find(id);
  return it == entry_of_.end() ? nullptr : it->second;
}

void upstream_pool::RecordFirstToken(std::uint64_t id) {
  entry* entry = FindDispatch(id);
  if (!entry)
    return;
  open_dispatch& open = entry->dispatches[id];
  if (open.first_token_seen)
    return;
  open.first_token_seen = true;
  entry->sums.prompt -= open.sent.prompt_tokens;
  if (open.sent.is_long)
    entry->sums.long_prompt -= open.sent.prompt_tokens;
}

void upstream_pool::End(std::uint64_t id) {
  entry* entry = FindDispatch(id);
  if (!entry)
    return;
  RecordFirstToken(id);
  const dispatch sent = entry->dispatches[id].sent;
  entry->sums.kv -= sent.kv_tokens;
  entry->sums.long_requests -= sent.is_long ? 1 : 0;
  entry->suspects -= sent.suspect ? 1 : 0;
  entry->dispatches.erase(id);
  entry_of_.erase(id);
  const auto it =
      std::find(entry->unreported.begin(), entry->unreported.end(), id);
  if (it != entry->unreported.end())
    entry->unreported.erase(it);
  if (!entry->listed && entry->dispatches.empty())
    RemoveUnlisted();
}

upstream_pool::token_sums upstream_pool::Unreported(const entry& entry) const {
  token_sums sums;
  for (std::uint64_t id : entry.unreported) {
    const open_dispatch& open = entry.dispatches.at(id);
    sums.kv += open.sent.kv_tokens;
    if (open.first_token_seen)
      continue;
    sums.prompt += open.sent.prompt_tokens;
    sums.long_prompt += open.sent.is_long ? open.sent.prompt_tokens : 0;
  }
  return sums;
}

upstream_view upstream_pool::ViewAt(std::size_t index, time_point now) const {
  const entry& entry = *order_[index];
  upstream_view view;
  view.accepting = IsAvailable(entry, now) && entry.ejected_until <= now &&
                   entry.backoff_end <= now;
  view.has_suspect = entry.suspects > 0;
  view.same_zone = entry.listing.availability_zone == own_zone_;
  view.in_flight = static_cast<int>(entry.dispatches.size());
  view.long_in_flight = entry.sums.long_requests;
  if (service_.kind == service_kind::kPlain) {
    view.kv_capacity = kUnboundedTokens;
    view.backlog_tokens = entry.sums.prompt;
    return view;
  }
  view.prefill_rate = static_cast<double>(service_.prefill_tokens_per_second);
  view.kv_capacity = service_.kv_capacity_tokens;
  std::int64_t expected = entry.sums.prompt;
  std::int64_t expected_long = entry.sums.long_prompt;
  std::int64_t kv = entry.sums.kv;
  if (entry.report) {
    const token_sums recent = Unreported(entry);
    const double age = ToSeconds(now - entry.reported_at + entry.report->lag);
    const auto processed = static_cast<std::int64_t>(age * view.prefill_rate);
    // Engines process short requests first, so those leave the backlog first.
    const std::int64_t waiting =
        std::max<std::int64_t>(0, entry.report->waiting_tokens - processed);
    const std::int64_t waiting_long =
        std::min(waiting, entry.report->waiting_long_tokens);
    expected = std::max(expected, waiting + recent.prompt);
    expected_long = std::max(expected_long, waiting_long + recent.long_prompt);
    kv = std::max(kv, entry.report->kv_used_tokens + recent.kv);
  }
  if (!peer_backlog_.empty()) {
    const auto it = peer_backlog_.find(UpstreamKey(entry.listing.address));
    if (it != peer_backlog_.end())
      expected = std::max(expected, entry.sums.prompt + it->second);
  }
  view.backlog_tokens = expected;
  view.long_backlog_tokens = std::min(expected, expected_long);
  view.kv_reserved = kv;
  return view;
}

const std::string& upstream_pool::AddressAt(std::size_t index) const {
  return order_[index]->listing.address;
}

std::vector<std::string> upstream_pool::Addresses() const {
  std::vector<std::string> addresses;
  for (const entry* entry : order_)
    addresses.push_back(entry->listing.address);
  return addresses;
}

std::optional<time_point> upstream_pool::LastContact(
    const std::string& address) const {
  const entry* entry = Find(address);
  return entry ? entry->last_contact : std::nullopt;
}

std::vector<running_request> upstream_pool::InFlightAt(
    const std::string& address) const {
  std::vector<running_request> running;
  const entry* entry = Find(address);
  if (!entry)
    return running;
  running.reserve(entry->dispatches.size());
  for (const auto& [id, open] : entry->dispatches)
    running.push_back(
        {open.sent.fingerprint, open.first_token_seen, {}, false});
  return running;
}

int upstream_pool::InFlightCount(const std::string& address) const {
  const entry* entry = Find(address);
  return entry ? static_cast<int>(entry->dispatches.size()) : 0;
}

std::vector<in_flight_report> upstream_pool::InFlightReports() const {
  std::vector<in_flight_report> reports;
  for (const entry* entry : order_) {
    if (entry->sums.prompt > 0)
      reports.push_back(
          {UpstreamKey(entry->listing.address), entry->sums.prompt});
  }
  return reports;
}

std::vector<upstream_pool::row> upstream_pool::Rows(time_point now) const {
  std::vector<row> rows;
  for (std::size_t i = 0; i < order_.size(); ++i) {
    const entry& entry = *order_[i];
    const upstream_view view = ViewAt(i, now);
    rows.push_back({entry.listing.address, entry.listing.availability_zone,
                    view.accepting, IsLeaving(entry, now),
                    IsInEvacuatedZone(entry), entry.ejected_until > now,
                    entry.reachable, view.in_flight, view.backlog_tokens,
                    view.kv_reserved});
  }
  return rows;
}

}  // namespace cactusward
