#include "src/edges/caller_guard.h"

#include <algorithm>
#include <sstream>

#include "src/kernel/log.h"

namespace cactusward {
namespace {

// The touched part of a coroutine's stack, the socket and the records of a
// connection.
constexpr std::size_t kConnectionBytes = 24ULL * 1024;
// A connection that holds less is not closed for a large body.
constexpr std::size_t kMinFreedBytes = 64ULL * 1024;
constexpr milliseconds kLogPeriod{10'000};
// Links of sound callers may stand still for longer, but seldom while the
// budget is exhausted.
constexpr milliseconds kStalledTime{500};
// A rate says little before.
constexpr milliseconds kMinRatedTime{1'000};
// Senders above this rate are not closed for others, which would have to send
// as much again.
constexpr double kFastBytesPerMs = 64;

}  // namespace

caller_guard::connection::connection(std::shared_ptr<caller_guard> guard,
                                     tcp::socket* socket)
    : guard_(std::move(guard)),
      socket_(socket),
      lease_(&guard_->budget_),
      phase_began_(clock::now()),
      last_arrival_(phase_began_) {
  boost::system::error_code error;
  const auto endpoint = socket->remote_endpoint(error);
  if (!error)
    address_ = endpoint.address().to_string();
  entry_ = guard_->connections_.insert(guard_->connections_.end(), this);
  ++guard_->by_address_[address_];
}

caller_guard::connection::~connection() {
  guard_->connections_.erase(entry_);
  const auto count = guard_->by_address_.find(address_);
  if (--count->second == 0)
    guard_->by_address_.erase(count);
}

bool caller_guard::connection::Admit() {
  const caller_bounds& bounds = guard_->bounds_;
  if (bounds.max_connections_per_address > 0 &&
      guard_->by_address_[address_] > bounds.max_connections_per_address &&
      bounds.trusted_addresses.count(address_) == 0) {
    Reject("connections_per_address");
    return false;
  }
  if (guard_->connections_.size() > bounds.max_connections &&
      !guard_->MakeRoom(this, true)) {
    Reject("connections");
    return false;
  }
  return Reserve(0);
}

void caller_guard::connection::Enter(phase phase) {
  phase_ = phase;
  phase_began_ = clock::now();
  last_arrival_ = phase_began_;
  arrived_ = 0;
}

void caller_guard::connection::RecordArrival(std::size_t bytes) {
  last_arrival_ = clock::now();
  arrived_ += bytes;
}

bool caller_guard::connection::Reserve(std::size_t bytes) {
  if (evicted_)
    return false;
  const std::size_t total = kConnectionBytes + bytes;
  const bool is_small = total <= guard_->budget_.settings().small_lease_bytes;
  while (!lease_.Resize(total)) {
    // Closing connections that hold little makes no room for a large body.
    if (total > guard_->budget_.LimitFor(total) ||
        !(is_small ? guard_->MakeRoom(this, phase_ == phase::kIdle)
                   : guard_->MakeRoomForBody(this, kMinFreedBytes))) {
      Reject("memory");
      return false;
    }
  }
  held_ = bytes;
  return true;
}

void caller_guard::connection::Take(std::size_t bytes) {
  // What it held was given to others.
  if (evicted_)
    return;
  lease_.Take(kConnectionBytes + bytes);
  held_ = bytes;
}

void caller_guard::connection::Evict(bool close) {
  evicted_ = true;
  Reject(phase_ == phase::kIdle ? "idle" : "slow_sender");
  boost::system::error_code ignored;
  if (close)
    socket_->close(ignored);
  else
    socket_->cancel(ignored);
  if (free_)
    free_();
  lease_.Take(0);
  held_ = 0;
}

caller_guard::connection* caller_guard::SlowestSender(
    const connection* requester,
    std::size_t min_held) const {
  const time_point now = clock::now();
  connection* stalled = nullptr;
  connection* slowest = nullptr;
  double slowest_rate = kFastBytesPerMs;
  for (connection* c : connections_) {
    if (c == requester || c->evicted_ || c->phase_ != phase::kReceiving ||
        c->held_ < min_held)
      continue;
    if (now - c->last_arrival_ >= kStalledTime &&
        (!stalled || c->last_arrival_ < stalled->last_arrival_))
      stalled = c;
    const duration elapsed = now - c->phase_began_;
    const double rate = static_cast<double>(c->arrived_) /
                        std::max(ToMilliseconds(elapsed), 1.0);
    if (elapsed >= kMinRatedTime && rate < slowest_rate) {
      slowest_rate = rate;
      slowest = c;
    }
  }
  return stalled ? stalled : slowest;
}

caller_guard::connection* caller_guard::LongestIdle(
    const connection* requester) const {
  connection* longest = nullptr;
  for (connection* c : connections_) {
    if (c != requester && !c->evicted_ && c->phase_ == phase::kIdle &&
        (!longest || c->phase_began_ < longest->phase_began_))
      longest = c;
  }
  return longest;
}

bool caller_guard::MakeRoom(const connection* requester, bool idle_first) {
  connection* victim =
      idle_first ? LongestIdle(requester) : SlowestSender(requester, 0);
  if (!victim)
    victim = idle_first ? SlowestSender(requester, 0) : LongestIdle(requester);
  // A response would keep the descriptor until its caller has read it.
  if (victim)
    victim->Evict(true);
  return victim != nullptr;
}

bool caller_guard::MakeRoomForBody(const connection* requester,
                                   std::size_t min_held) {
  connection* victim = SlowestSender(requester, min_held);
  if (victim)
    victim->Evict(false);
  return victim != nullptr;
}

void caller_guard::Reject(std::string_view cause, const std::string& address) {
  const time_point now = clock::now();
  auto entry = rejections_.find(cause);
  const bool is_first = entry == rejections_.end();
  if (is_first)
    entry = rejections_.emplace(std::string(cause), rejections()).first;
  rejections& counted = entry->second;
  ++counted.total;
  if (!is_first && now - counted.logged_at < kLogPeriod)
    return;
  Log(log_level::kWarning, "caller_rejected",
      {{"cause", cause},
       {"address", address},
       {"count", counted.total - counted.logged}});
  counted.logged = counted.total;
  counted.logged_at = now;
}

std::string caller_guard::MetricsText() const {
  std::ostringstream out;
  out << "cactusward_caller_bytes " << bytes() << '\n'
      << "cactusward_caller_connections " << connections() << '\n';
  for (const auto& [cause, counted] : rejections_)
    out << "cactusward_callers_rejected{cause=\"" << cause << "\"} "
        << counted.total << '\n';
  return out.str();
}

}  // namespace cactusward
