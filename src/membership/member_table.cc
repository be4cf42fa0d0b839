#include <algorithm>
#include <cmath>

#include "cactusward/membership.h"

namespace cactusward {
namespace {

constexpr std::size_t kMaxNewsPerMessage = 8;
constexpr int kNewsFactor = 3;  // times log2 of the fleet's size

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

int member_table::SendsPerNews() const {
  const double size = static_cast<double>(members_.size()) + 2;
  return kNewsFactor * static_cast<int>(std::ceil(std::log2(size)));
}

void member_table::Announce(const std::string& name) {
  const auto same = [&name](const news_item& item) {
    return item.name == name;
  };
  news_.erase(std::remove_if(news_.begin(), news_.end(), same), news_.end());
  news_.push_front({name, SendsPerNews()});
}

gossip_message member_table::Compose(gossip_kind kind) {
  gossip_message message;
  message.kind = kind;
  message.sender = self_;
  std::size_t count = std::min(news_.size(), kMaxNewsPerMessage);
  while (count-- > 0) {
    news_item item = news_.front();
    news_.pop_front();
    const auto it = members_.find(item.name);
    if (it == members_.end())
      continue;
    message.members.push_back(it->second.known);
    if (--item.sends_left > 0)
      news_.push_back(item);
  }
  return message;
}

void member_table::Refute(const member& news) {
  if (news.incarnation < self_.incarnation)
    return;
  if (self_.state == member_state::kLeft)
    return;
  // An earlier process of this name had a higher incarnation, or this one is
  // taken for dead: either way a higher incarnation takes over.
  if (news.state == member_state::kAlive &&
      news.incarnation == self_.incarnation)
    return;
  self_.incarnation = news.incarnation + 1;
}

bool member_table::Learn(const member& news, time_point now) {
  if (news.name == self_.name) {
    Refute(news);
    return false;
  }
  const auto it = members_.find(news.name);
  if (it != members_.end()) {
    if (!Supersedes(news, it->second.known))
      return false;
    it->second = {news, now};
  } else {
    if (!IsLive(news.state))
      return false;
    members_[news.name] = {news, now};
    const auto offset = random_() % (probe_order_.size() + 1);
    probe_order_.insert(
        probe_order_.begin() + static_cast<std::ptrdiff_t>(offset), news.name);
  }
  Announce(news.name);
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
  Learn(next, now);
}

std::vector<outbound_message> member_table::Receive(
    const gossip_message& message,
    time_point now) {
  std::vector<outbound_message> out;
  if (message.sender.name == self_.name)
    return out;
  last_heard_ = now;
  for (const member& news : message.members)
    Learn(news, now);
  Learn(message.sender, now);
  const auto known = members_.find(message.sender.name);
  const bool thought_dead = known != members_.end() &&
                            Supersedes(known->second.known, message.sender);
  switch (message.kind) {
    case gossip_kind::kPing: {
      gossip_message ack = Compose(gossip_kind::kAck);
      ack.sequence = message.sequence;
      // The sender must hear that it is taken for dead so that it refutes.
      if (thought_dead)
        ack.members.push_back(known->second.known);
      out.push_back({message.sender.peer_address, std::move(ack)});
      break;
    }
    case gossip_kind::kAck:
      OnAck(message, &out);
      break;
    case gossip_kind::kPingRequest: {
      gossip_message ping = Compose(gossip_kind::kPing);
      ping.sequence = next_sequence_++;
      relayed_.push_back(
          {ping.sequence, message.sender.peer_address, message.sequence, now});
      out.push_back({message.target_address, std::move(ping)});
      break;
    }
    case gossip_kind::kNews:
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
  gossip_message ack = Compose(gossip_kind::kAck);
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
  if (!probe_->asked_others &&
      now - probe_->sent_at >= settings_.probe_timeout) {
    probe_->asked_others = true;
    const auto helpers =
        RandomPeers(static_cast<std::size_t>(settings_.indirect_probes) + 1);
    int asked = 0;
    for (const member& helper : helpers) {
      if (helper.name == probe_->target || asked++ >= settings_.indirect_probes)
        continue;
      gossip_message request = Compose(gossip_kind::kPingRequest);
      request.sequence = probe_->sequence;
      request.target = probe_->target;
      request.target_address = target->second.known.peer_address;
      out->push_back({helper.peer_address, std::move(request)});
    }
  }
  if (now - probe_->sent_at >= settings_.probe_period) {
    SetState(probe_->target, member_state::kSuspect, now);
    probe_.reset();
  }
}

void member_table::ExpireMembers(time_point now) {
  std::vector<std::string> expired;
  std::vector<std::string> forgotten;
  for (const auto& [name, entry] : members_) {
    const duration age = now - entry.changed_at;
    if (entry.known.state == member_state::kSuspect &&
        age >= settings_.suspect_timeout)
      expired.push_back(name);
    if (!IsLive(entry.known.state) && age >= settings_.forget_timeout)
      forgotten.push_back(name);
  }
  for (const std::string& name : expired)
    SetState(name, member_state::kDead, now);
  for (const std::string& name : forgotten)
    members_.erase(name);
  const auto old = [this, now](const relayed_probe& relayed) {
    return now - relayed.sent_at > settings_.probe_period;
  };
  relayed_.erase(std::remove_if(relayed_.begin(), relayed_.end(), old),
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
  gossip_message ping = Compose(gossip_kind::kPing);
  ping.sequence = next_sequence_++;
  const member& known = members_.at(target).known;
  // A suspect must hear of the suspicion to refute it.
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

outbound_message member_table::Greeting(const std::string& peer_address) {
  gossip_message ping = Compose(gossip_kind::kPing);
  ping.sequence = next_sequence_++;
  return {peer_address, std::move(ping)};
}

std::vector<outbound_message> member_table::Leave(time_point) {
  self_.state = member_state::kLeft;
  std::vector<outbound_message> out;
  for (const member& peer :
       RandomPeers(static_cast<std::size_t>(SendsPerNews())))
    out.push_back({peer.peer_address, Compose(gossip_kind::kNews)});
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
