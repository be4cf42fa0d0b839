#include "src/services/path_service.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "src/kernel/log.h"
#include "src/services/membership_service.h"

namespace cactusward {
namespace {

// Several round trips to an upstream and its queue of new connections.
constexpr milliseconds kDirectHeadStart{120};
// As long as a caller allows for a new connection.
constexpr milliseconds kConnectTimeout{1'000};
// A round trip to a peer and the peer's connection to the upstream.
constexpr milliseconds kPeerTimeout{300};
// Peers that are asked for one connection. Most deny at once if they cannot.
constexpr int kMaxPeersAsked = 8;
// Peers that cannot connect to an upstream either, or are refused, until that
// is believed: the first ones may be cut off as well, and not know it yet.
constexpr std::size_t kMaxUnsuccessfulPeers = 3;
// For how long a peer that has opened a tunnel is preferred.
constexpr milliseconds kPeerPreference{5'000};
// How long a peer is not asked after it did not respond or opened no tunnel.
constexpr milliseconds kPeerAvoidance{1'000};
// Paths that are tried directly again, at a rate that does not depend on the
// number of requests.
constexpr milliseconds kProbePeriod{300};
constexpr milliseconds kProbeTimeout{200};
// Time between checks of one upstream that is silent.
constexpr milliseconds kSuspectPeriod{500};
constexpr milliseconds kSuspectTimeout{600};
constexpr milliseconds kEndQueryTimeout{300};
constexpr std::size_t kMaxKnownPeers = 2'048;

constexpr const char* kOfferCall = "tunnel_offer";
constexpr const char* kEndCall = "tunnel_end";

std::string ProcessName(const member& peer) {
  return peer.name + "#" + std::to_string(peer.incarnation) + "@" +
         peer.peer_address;
}

// An attempt to connect through a peer beside the direct one.
struct background_attempt {
  cancel_token cancel;
  bool done = false;
  std::function<void()> on_done;
};

}  // namespace

path_service::path_service(runtime& runtime,
                           peer_link* peers,
                           std::function<bool(const std::string&)> is_upstream,
                           std::function<bool()> is_stopping,
                           std::shared_ptr<caller_guard> callers)
    : runtime_(runtime),
      peers_(peers),
      is_upstream_(std::move(is_upstream)),
      is_stopping_(std::move(is_stopping)),
      paths_(runtime.random()),
      server_(runtime.io,
              runtime.settings.peer_secret,
              &runtime.client.direct(),
              this,
              std::move(callers)) {}

void path_service::Start() {
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
  probe_timer_ = runtime_.timers.Every(kProbePeriod, [this](time_point now) {
    paths_.Expire(now);
    ProbeBrokenPaths(now);
  });
}

bool path_service::Listen() {
  return runtime_.settings.tunnel_listen.empty() ||
         server_.Listen(runtime_.settings.tunnel_listen);
}

result<upstream_connection> path_service::Connect(const std::string& address,
                                                  time_point deadline,
                                                  asio::yield_context yield,
                                                  cancel_token* cancel) {
  return ConnectWithin({}, address, deadline, yield, cancel);
}

result<upstream_connection> path_service::ConnectWithin(
    const peer_zone_filter& may_carry,
    const std::string& address,
    time_point deadline,
    asio::yield_context yield,
    cancel_token* cancel) {
  const time_point limit = std::min(deadline, clock::now() + kConnectTimeout);
  if (paths_.IsBroken(address) && HasPeers()) {
    auto through_peer =
        ConnectThroughPeer(may_carry, address, limit, yield, cancel);
    if (through_peer.connection) {
      paths_.RecordUse(address, clock::now());
      return std::move(*through_peer.connection);
    }
    if (cancel && cancel->cancelled())
      return {error_kind::kUpstreamUnreachable, "cancelled"};
    if (through_peer.refused || through_peer.unreachable)
      paths_.RecordUnreachable(address, through_peer.refused, clock::now());
  }
  return ConnectBoth(may_carry, address, limit, yield, cancel);
}

result<upstream_connection> path_service::ConnectBoth(
    const peer_zone_filter& may_carry,
    const std::string& address,
    time_point deadline,
    asio::yield_context yield,
    cancel_token* cancel) {
  const auto direct = runtime_.client.direct().Start(address);
  if (!direct)
    return {error_kind::kUpstreamUnreachable, "not an address: " + address};
  const auto background = std::make_shared<background_attempt>();
  const auto through_peer = std::make_shared<peer_result>();
  asio::steady_timer waker(runtime_.io);
  const auto wake = [&waker] { waker.cancel(); };
  direct->OnDone(wake);
  background->on_done = wake;
  if (cancel)
    cancel->OnCancel([direct, background, wake] {
      direct->Close();
      background->cancel.Cancel();
      wake();
    });
  const auto cancelled = [cancel] { return cancel && cancel->cancelled(); };
  const auto direct_succeeded = [&direct] {
    return direct->done() && direct->succeeded();
  };
  if (!direct->done())
    WaitOn(waker, std::min(deadline, clock::now() + kDirectHeadStart), yield);
  // If this process was stalled, the connection may be established by now.
  if (!direct->done())
    asio::post(runtime_.io, yield);
  const auto recent = paths_.RecentRefusal(address, clock::now());
  const bool asks_peers =
      !direct_succeeded() && !cancelled() && !recent && HasPeers();
  if (asks_peers)
    Spawn(runtime_.io, "connect_through_peer",
          [this, may_carry, address, deadline, background,
           through_peer](asio::yield_context inner) {
            *through_peer = ConnectThroughPeer(may_carry, address, deadline,
                                               inner, &background->cancel);
            background->done = true;
            if (background->on_done)
              background->on_done();
          });
  // Another upstream is worth more than waiting for one that no peer reaches.
  const auto undecided = [&] {
    const bool unreachable = recent || through_peer->refused ||
                             through_peer->unreachable || paths_.IsCutOff();
    const bool peers_done = !asks_peers || background->done;
    return !direct_succeeded() && !through_peer->connection &&
           !(peers_done && (direct->done() || unreachable));
  };
  while (undecided() && !cancelled() && clock::now() < deadline)
    WaitOn(waker, deadline, yield);
  direct->OnDone({});
  background->on_done = {};
  if (cancel)
    cancel->OnCancel({});
  if (!direct_succeeded())
    direct->Close();
  if (!through_peer->connection)
    background->cancel.Cancel();
  if (cancelled())
    return {error_kind::kUpstreamUnreachable, "cancelled"};
  if (direct_succeeded()) {
    RecordDirect(address);
    return upstream_connection{direct->TakeSocket(), std::nullopt};
  }
  const bool refused =
      direct->done() && direct->error() == asio::error::connection_refused;
  if (through_peer->connection && refused) {
    // The upstream may have been started meanwhile.
    auto again = runtime_.client.direct().Connect(
        address, std::min(deadline, clock::now() + kDirectHeadStart), yield,
        cancel);
    if (again) {
      RecordDirect(address);
      return again;
    }
    if (cancelled())
      return {error_kind::kUpstreamUnreachable, "cancelled"};
  }
  if (through_peer->connection) {
    RecordBypass(address,
                 direct->done() ? direct->error().message() : "no response",
                 *through_peer->connection->tunnel);
    return std::move(*through_peer->connection);
  }
  if (through_peer->refused || through_peer->unreachable)
    paths_.RecordUnreachable(address, through_peer->refused, clock::now());
  // While this instance is cut off, a refusal may be that of the network.
  const bool confirmed = through_peer->refused || recent.value_or(false);
  if (confirmed || (refused && !paths_.IsCutOff()))
    return {error_kind::kUpstreamUnreachable, RefusedConnectionText()};
  return {
      error_kind::kUpstreamUnreachable,
      refused ? "refused, not confirmed by a peer" : "no connection in time"};
}

std::vector<member> path_service::Candidates(const peer_zone_filter& may_carry,
                                             time_point now) const {
  struct ranked {
    member peer;
    int rank = 0;
  };
  std::vector<ranked> all;
  for (member& peer : membership_->Live()) {
    if (peer.name == runtime_.settings.instance ||
        (may_carry && !may_carry(peer.availability_zone)))
      continue;
    const auto known = known_peers_.find(ProcessName(peer));
    if (known != known_peers_.end() && now < known->second.avoided_until)
      continue;
    // Traffic between availability zones costs more.
    const bool same_zone =
        peer.availability_zone == runtime_.settings.availability_zone;
    const bool is_suspect = peer.state == member_state::kSuspect;
    const bool is_proven = known != known_peers_.end() &&
                           now - known->second.opened_at < kPeerPreference;
    const int rank =
        (is_proven ? 0 : 1) + (same_zone ? 0 : 2) + (is_suspect ? 4 : 0);
    all.push_back({std::move(peer), rank});
  }
  std::shuffle(all.begin(), all.end(), runtime_.random);
  std::stable_sort(
      all.begin(), all.end(),
      [](const ranked& a, const ranked& b) { return a.rank < b.rank; });
  std::vector<member> peers;
  peers.reserve(all.size());
  for (ranked& candidate : all)
    peers.push_back(std::move(candidate.peer));
  return peers;
}

member path_service::TakeNext(std::vector<member>* candidates,
                              const std::vector<member>& unsuccessful) {
  const auto next = std::find_if(candidates->begin(), candidates->end(),
                                 [&unsuccessful](const member& candidate) {
                                   return std::none_of(
                                       unsuccessful.begin(), unsuccessful.end(),
                                       [&candidate](const member& other) {
                                         return other.availability_zone ==
                                                candidate.availability_zone;
                                       });
                                 });
  const auto taken = next == candidates->end() ? candidates->begin() : next;
  member peer = std::move(*taken);
  candidates->erase(taken);
  return peer;
}

path_service::peer_result path_service::ConnectThroughPeer(
    const peer_zone_filter& may_carry,
    const std::string& address,
    time_point deadline,
    asio::yield_context yield,
    cancel_token* cancel) {
  peer_result found;
  std::vector<member> unsuccessful;
  std::vector<member> candidates = Candidates(may_carry, clock::now());
  for (int asked = 0; asked < kMaxPeersAsked && !candidates.empty(); ++asked) {
    if (clock::now() >= deadline || (cancel && cancel->cancelled()))
      break;
    const member peer = TakeNext(&candidates, unsuccessful);
    const time_point limit = std::min(deadline, clock::now() + kPeerTimeout);
    const std::string tunnel_address = TunnelAddressOf(peer, limit, yield);
    if (tunnel_address.empty()) {
      Avoid(peer, kPeerAvoidance, false);
      continue;
    }
    tunnel_reference tunnel{runtime_.settings.instance + "-" +
                                std::to_string(runtime_.incarnation) + "-" +
                                std::to_string(runtime_.random()) + "-" +
                                std::to_string(next_tunnel_++),
                            peer.name, peer.peer_address};
    auto attempt =
        OpenTunnel(runtime_.client.direct(), runtime_.settings.peer_secret,
                   tunnel_address, address, tunnel.id, limit, yield, cancel);
    if (cancel && cancel->cancelled())
      break;
    if (attempt.outcome == tunnel_outcome::kOpen) {
      ++tunnelled_connections_;
      known_peers_[ProcessName(peer)].opened_at = clock::now();
      // They are cut off from this upstream, and probably from others.
      for (const member& other : unsuccessful)
        Avoid(other, kPeerAvoidance, false);
      found.connection =
          upstream_connection{std::move(attempt.socket), std::move(tunnel)};
      return found;
    }
    Log(log_level::kDebug, "tunnel_not_opened",
        {{"peer", peer.name},
         {"upstream", address},
         {"outcome", NameOf(attempt.outcome)}});
    if (attempt.outcome == tunnel_outcome::kDenied ||
        attempt.outcome == tunnel_outcome::kPeerGone) {
      Avoid(peer, kPeerAvoidance, attempt.outcome == tunnel_outcome::kPeerGone);
      continue;
    }
    const bool refused = attempt.outcome == tunnel_outcome::kRefusedByUpstream;
    found.refused = refused && (unsuccessful.empty() || found.refused);
    found.unreachable = !found.refused;
    unsuccessful.push_back(peer);
    if (unsuccessful.size() >= kMaxUnsuccessfulPeers)
      break;
  }
  return found;
}

std::string path_service::TunnelAddressOf(const member& peer,
                                          time_point deadline,
                                          asio::yield_context yield) {
  const std::string process = ProcessName(peer);
  const auto known = known_peers_.find(process);
  if (known != known_peers_.end() && !known->second.tunnel_address.empty())
    return known->second.tunnel_address;
  const auto offer =
      peers_->Call(peer.peer_address, {{"op", kOfferCall}}, deadline, yield);
  if (!offer || !offer->is_object())
    return {};
  const auto address = offer->find("address");
  if (address == offer->end() || !address->is_string())
    return {};
  // Most of them belong to processes that have ended.
  if (known_peers_.size() >= kMaxKnownPeers)
    known_peers_.clear();
  return known_peers_[process].tunnel_address = address->get<std::string>();
}

void path_service::Avoid(const member& peer,
                         duration time,
                         bool forget_address) {
  known_peer& known = known_peers_[ProcessName(peer)];
  known.avoided_until = clock::now() + time;
  if (forget_address)
    known.tunnel_address.clear();
}

bool path_service::HasPeers() const {
  return membership_->LiveCount() > 1;
}

void path_service::RecordDirect(const std::string& address) {
  const time_point now = clock::now();
  const auto cut_off_for =
      paths_.IsCutOff() ? now - paths_.cut_off_since() : duration(0);
  if (paths_.RecordDirect(address, now))
    Log(log_level::kWarning, "upstreams_reached_again",
        {{"upstream", address},
         {"cut_off_ms", ToMilliseconds(cut_off_for)},
         {"broken_paths", paths_.size()}});
}

void path_service::RecordBypass(const std::string& address,
                                std::string_view direct_failure,
                                const tunnel_reference& tunnel) {
  const time_point now = clock::now();
  const auto last_direct = paths_.last_direct();
  const bool cut_off = paths_.RecordBypass(address, now);
  const nlohmann::json fields = {
      {"upstream", address},
      {"direct", direct_failure},
      {"reached_by", tunnel.peer},
      {"last_direct_ms", last_direct ? ToMilliseconds(now - *last_direct) : -1},
      {"broken_paths", paths_.size()}};
  Log(log_level::kWarning, "path_broken", fields);
  if (cut_off)
    Log(log_level::kWarning, "cut_off_from_upstreams", fields);
}

bool path_service::EndedByUpstream(const tunnel_reference& tunnel,
                                   asio::yield_context yield) {
  const auto end =
      peers_->Call(tunnel.peer_address, {{"op", kEndCall}, {"id", tunnel.id}},
                   clock::now() + kEndQueryTimeout, yield);
  const bool answered = end && end->is_object();
  const auto found =
      answered ? end->find("ended") : nlohmann::json::const_iterator();
  const bool ended = answered && found != end->end() && *found == true;
  if (!ended)
    Log(log_level::kInfo, "tunnel_broke",
        {{"peer", tunnel.peer},
         {"detail", end ? "the upstream did not end it" : end.detail()}});
  return ended;
}

path_service::liveness path_service::CheckLiveness(const std::string& address,
                                                   time_point deadline,
                                                   asio::yield_context yield) {
  const auto connection = Connect(address, deadline, yield, nullptr);
  if (connection)
    return liveness::kAccepts;
  return connection.detail() == RefusedConnectionText() ? liveness::kRefuses
                                                        : liveness::kUnknown;
}

void path_service::Suspect(const std::string& address) {
  const time_point now = clock::now();
  auto& suspected_at = suspected_at_[address];
  if (now - suspected_at < kSuspectPeriod || paths_.IsBroken(address))
    return;
  suspected_at = now;
  Spawn(runtime_.io, "check_path", [this, address](asio::yield_context yield) {
    CheckLiveness(address, clock::now() + kSuspectTimeout, yield);
  });
}

bool path_service::MayOpen(const std::string& upstream) const {
  return !is_stopping_() && !paths_.IsBroken(upstream) &&
         is_upstream_(upstream);
}

void path_service::RecordConnection(const std::string& upstream) {
  RecordDirect(upstream);
}

std::optional<nlohmann::json> path_service::OnPeerCall(
    const nlohmann::json& request) const {
  const auto op = request.is_object() ? request.find("op") : request.end();
  if (op == request.end())
    return std::nullopt;
  if (*op == kOfferCall) {
    auto offer = nlohmann::json::object();
    if (!runtime_.settings.tunnel_listen.empty())
      offer["address"] = runtime_.settings.tunnel_listen;
    return offer;
  }
  if (*op != kEndCall)
    return std::nullopt;
  const auto id = request.find("id");
  return nlohmann::json{
      {"ended", id != request.end() && id->is_string() &&
                    server_.EndedByUpstream(id->get<std::string>())}};
}

void path_service::ProbeBrokenPaths(time_point now) {
  for (auto it = suspected_at_.begin(); it != suspected_at_.end();)
    it = now - it->second >= kSuspectPeriod ? suspected_at_.erase(it)
                                            : std::next(it);
  for (const bool proven : {true, false}) {
    const auto address = paths_.NextProbe(proven);
    if (!address)
      continue;
    Spawn(runtime_.io, "probe_path",
          [this, address = *address](asio::yield_context yield) {
            const auto connection = runtime_.client.direct().Connect(
                address, clock::now() + kProbeTimeout, yield, nullptr);
            if (connection)
              RecordDirect(address);
          });
  }
}

}  // namespace cactusward
