#include <algorithm>
#include <cmath>

#include "cactusward/membership.h"

namespace cactusward {
namespace {

constexpr std::size_t kMaxUpdatesPerMessage = 8;
constexpr int kRetransmitFactor = 3;  // times log2 of the fleet size

bool IsLive(member_state state) {
  return state == member_state::kAlive || state == member_state::kSuspect;
}

}  // namespace

std::string_view NameOf(member_state state) {
  switch (state) {
    case member_state::kAlive:
      return "alive";
    case member_state::kSuspect:
      return "suspect";
    case member_state::kDead:
      return "dead";
    case member_state::kLeft:
      return "left";
  }
  return "unknown";
}

bool Supersedes(const member& next, const member& known) {
  if (next.incarnation != known.incarnation)
    return next.incarnation > known.incarnation;
  return static_cast<int>(next.state) > static_cast<int>(known.state);
}

member_table::member_table(member self,
                           const membership_settings& settings,
                           std::uint64_t random_seed)
    : self_(std::move(self)), settings_(settings), random_(random_seed) {}

int member_table::RetransmitLimit() const {
  const double size = static_cast<double>(members_.size()) + 2;
  return kRetransmitFactor * static_cast<int>(std::ceil(std::log2(size)));
}

void member_table::QueueUpdate(const std::string& name) {
  const auto same = [&name](const pending_update& item) {
    return item.name == name;
  };
  updates_.erase(std::remove_if(updates_.begin(), updates_.end(), same),
                 updates_.end());
  updates_.push_front({name, RetransmitLimit()});
}

gossip_message member_table::BuildMessage(gossip_kind kind) {
  gossip_message message;
  message.kind = kind;
  message.sender = self_;
  std::size_t count = std::min(updates_.size(), kMaxUpdatesPerMessage);
  while (count-- > 0) {
    pending_update item = updates_.front();
    updates_.pop_front();
    const auto it = members_.find(item.name);
    if (it == members_.end())
      continue;
    message.members.push_back(it->second.known);
    if (--item.transmissions_left > 0)
      updates_.push_back(item);
  }
  return message;
}

void member_table::Refute(const member& update) {
  if (update.incarnation < self_.incarnation)
    return;
  if (self_.state == member_state::kLeft)
    return;
  // Either an earlier process with this name had a higher incarnation, or this
  // process is believed not to be alive. In both cases a higher incarnation
  // supersedes the update.
  if (update.state == member_state::kAlive &&
      update.incarnation == self_.incarnation)
    return;
  self_.incarnation = update.incarnation + 1;
}

bool member_table::Merge(const member& update, time_point now) {
  if (update.name == self_.name) {
    Refute(update);
    return false;
  }
  const auto it = members_.find(update.name);
  if (it != members_.end()) {
    member& known = it->second.known;
    const bool same_process = update.incarnation == known.incarnation;
    if (!Supersedes(update, known)) {
      // Instances that know only the base format do not pass extensions on.
      if (same_process && known.extensions.empty())
        known.extensions = update.extensions;
      return false;
    }
    std::string extensions = update.extensions;
    if (same_process && extensions.empty())
      extensions = known.extensions;
    it->second = {update, now};
    it->second.known.extensions = std::move(extensions);
  } else {
    if (!IsLive(update.state))
      return false;
    members_[update.name] = {update, now};
    const auto offset = random_() % (probe_order_.size() + 1);
    probe_order_.insert(
        probe_order_.begin() + static_cast<std::ptrdiff_t>(offset),
        update.name);
  }
  QueueUpdate(update.name);
  return true;
}

void member_table::SetState(const std::string& name,
                            member_state state,
                            time_point now) {
  const auto it = members_.find(name);
  if (it == members_.end() || it->second.known.state >= state)
    return;
  member next = it->second.known;
  next.state = state;
  Merge(next, now);
}

std::vector<outbound_message> member_table::Receive(
    const gossip_message& message,
    time_point now) {
  std::vector<outbound_message> out;
  if (message.sender.name == self_.name)
    return out;
  last_message_time_ = now;
  for (const member& update : message.members)
    Merge(update, now);
  Merge(message.sender, now);
  const auto known = members_.find(message.sender.name);
  const bool believed_dead = known != members_.end() &&
                             Supersedes(known->second.known, message.sender);
  switch (message.kind) {
    case gossip_kind::kPing: {
      gossip_message ack = BuildMessage(gossip_kind::kAck);
      ack.sequence = message.sequence;
      // Tells the sender that it is believed dead, so that it can refute this.
      if (believed_dead)
        ack.members.push_back(known->second.known);
      out.push_back({message.sender.peer_address, std::move(ack)});
      break;
    }
    case gossip_kind::kAck:
      OnAck(message, &out);
      break;
    case gossip_kind::kPingRequest: {
      gossip_message ping = BuildMessage(gossip_kind::kPing);
      ping.sequence = next_sequence_++;
      relayed_.push_back(
          {ping.sequence, message.sender.peer_address, message.sequence, now});
      out.push_back({message.target_address, std::move(ping)});
      break;
    }
    case gossip_kind::kUpdate:
      break;
  }
  return out;
}

void member_table::OnAck(const gossip_message& message,
                         std::vector<outbound_message>* out) {
  if (probe_ && message.sequence == probe_->sequence)
    probe_.reset();
  const auto it = std::find_if(relayed_.begin(), relayed_.end(),
                               [&message](const relayed_probe& relayed) {
                                 return relayed.sequence == message.sequence;
                               });
  if (it == relayed_.end())
    return;
  gossip_message ack = BuildMessage(gossip_kind::kAck);
  ack.sequence = it->requester_sequence;
  ack.members.push_back(message.sender);
  out->push_back({it->requester_address, std::move(ack)});
  relayed_.erase(it);
}

void member_table::ExpireProbe(time_point now,
                               std::vector<outbound_message>* out) {
  if (!probe_)
    return;
  const auto target = members_.find(probe_->target);
  if (target == members_.end()) {
    probe_.reset();
    return;
  }
  if (!probe_->sent_indirect &&
      now - probe_->sent_at >= settings_.probe_timeout) {
    probe_->sent_indirect = true;
    const auto proxies =
        RandomPeers(static_cast<std::size_t>(settings_.indirect_probes) + 1);
    int asked = 0;
    for (const member& proxy : proxies) {
      if (proxy.name == probe_->target || asked++ >= settings_.indirect_probes)
        continue;
      gossip_message request = BuildMessage(gossip_kind::kPingRequest);
      request.sequence = probe_->sequence;
      request.target = probe_->target;
      request.target_address = target->second.known.peer_address;
      out->push_back({proxy.peer_address, std::move(request)});
    }
  }
  if (now - probe_->sent_at >= settings_.probe_period) {
    SetState(probe_->target, member_state::kSuspect, now);
    probe_.reset();
  }
}

void member_table::ExpireMembers(time_point now) {
  std::vector<std::string> expired_suspects;
  std::vector<std::string> forgotten;
  for (const auto& [name, entry] : members_) {
    const duration age = now - entry.changed_at;
    if (entry.known.state == member_state::kSuspect &&
        age >= settings_.suspect_timeout)
      expired_suspects.push_back(name);
    if (!IsLive(entry.known.state) && age >= settings_.forget_timeout)
      forgotten.push_back(name);
  }
  for (const std::string& name : expired_suspects)
    SetState(name, member_state::kDead, now);
  for (const std::string& name : forgotten)
    members_.erase(name);
  const auto is_expired = [this, now](const relayed_probe& relayed) {
    return now - relayed.sent_at > settings_.probe_period;
  };
  relayed_.erase(std::remove_if(relayed_.begin(), relayed_.end(), is_expired),
                 relayed_.end());
}

std::string member_table::NextTarget() {
  std::size_t tries = probe_order_.size();
  while (tries-- > 0) {
    std::string name = probe_order_.front();
    probe_order_.pop_front();
    const auto it = members_.find(name);
    if (it == members_.end())
      continue;
    probe_order_.push_back(name);
    if (IsLive(it->second.known.state))
      return name;
  }
  return {};
}

void member_table::BeginProbe(time_point now,
                              std::vector<outbound_message>* out) {
  if (probe_ || (last_probe_ && now - *last_probe_ < settings_.probe_period))
    return;
  last_probe_ = now;
  const std::string target = NextTarget();
  if (target.empty())
    return;
  gossip_message ping = BuildMessage(gossip_kind::kPing);
  ping.sequence = next_sequence_++;
  const member& known = members_.at(target).known;
  // Tells the suspect that it is suspected, so that it can refute this.
  if (known.state == member_state::kSuspect)
    ping.members.push_back(known);
  probe_ = probe{target, ping.sequence, now, false};
  out->push_back({known.peer_address, std::move(ping)});
}

std::vector<outbound_message> member_table::Tick(time_point now) {
  std::vector<outbound_message> out;
  ExpireProbe(now, &out);
  ExpireMembers(now);
  BeginProbe(now, &out);
  return out;
}

outbound_message member_table::JoinPing(const std::string& peer_address) {
  gossip_message ping = BuildMessage(gossip_kind::kPing);
  ping.sequence = next_sequence_++;
  return {peer_address, std::move(ping)};
}

std::vector<outbound_message> member_table::Leave(time_point) {
  self_.state = member_state::kLeft;
  std::vector<outbound_message> out;
  for (const member& peer :
       RandomPeers(static_cast<std::size_t>(RetransmitLimit())))
    out.push_back({peer.peer_address, BuildMessage(gossip_kind::kUpdate)});
  return out;
}

std::vector<member> member_table::RandomPeers(std::size_t count) {
  std::vector<member> live;
  for (const auto& [name, entry] : members_) {
    if (IsLive(entry.known.state))
      live.push_back(entry.known);
  }
  for (std::size_t i = 0; i < live.size() && i < count; ++i)
    std::swap(live[i], live[i + random_() % (live.size() - i)]);
  if (live.size() > count)
    live.resize(count);
  return live;
}

std::vector<const member*> member_table::LivePeers() const {
  std::vector<const member*> live;
  live.reserve(members_.size());
  for (const auto& [name, entry] : members_) {
    if (IsLive(entry.known.state))
      live.push_back(&entry.known);
  }
  return live;
}

std::size_t member_table::LiveCount() const {
  const auto peers = std::count_if(
      members_.begin(), members_.end(),
      [](const auto& entry) { return IsLive(entry.second.known.state); });
  return static_cast<std::size_t>(peers) +
         (self_.state == member_state::kAlive ? 1 : 0);
}

std::vector<member> member_table::Live() const {
  std::vector<member> live;
  if (self_.state == member_state::kAlive)
    live.push_back(self_);
  for (const auto& [name, entry] : members_) {
    if (IsLive(entry.known.state))
      live.push_back(entry.known);
  }
  std::sort(live.begin(), live.end(),
            [](const member& a, const member& b) { return a.name < b.name; });
  return live;
}

std::vector<member> member_table::All() const {
  std::vector<member> all = {self_};
  for (const auto& [name, entry] : members_)
    all.push_back(entry.known);
  std::sort(all.begin(), all.end(),
            [](const member& a, const member& b) { return a.name < b.name; });
  return all;
}

std::optional<member> member_table::Find(const std::string& name) const {
  if (name == self_.name)
    return self_;
  const auto it = members_.find(name);
  if (it == members_.end())
    return std::nullopt;
  return it->second.known;
}

}  // namespace cactusward
