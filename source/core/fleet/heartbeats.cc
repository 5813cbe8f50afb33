#include "core/fleet/heartbeats.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// Heartbeat intervals between two requests on a link to another domain, where
/// traffic costs more than inside a domain.
constexpr int kLinkIntervals = 2;
/// Heartbeats are jittered by up to 1/kJitterDivisor of the interval.
constexpr int kJitterDivisor = 5;
/// Clears the top bits of the random first sequence: adding the process's
/// uptime in milliseconds, which makes the sequences, can't overflow.
constexpr unsigned kSequenceShift = 24;

/// Bytes of one heartbeat on its stream, rounded up.
constexpr std::size_t kHeartbeatBytes = 64;
/// Requests that a peer must leave unanswered before it counts as silent.
constexpr int kMinUnanswered = 3;
constexpr std::size_t kMillisecondsPerSecond = 1000;

/// The published interval, or a longer one where `requests` heartbeats per
/// interval exceed half of the heartbeat budget; the other half is for answers.
/// The budget would drop the excess, and peers whose requests or answers were
/// dropped here would be suspected: with 8 watchers for each of 116 instances,
/// healthy instances kept losing their ownership.
std::chrono::milliseconds IntervalFor(std::size_t requests,
                                      const FleetPolicy& policy) {
  const std::size_t rate =
      std::max<std::size_t>(HeartbeatBytesPerSecond(policy) / 2, 1);
  const std::size_t needed =
      requests * kHeartbeatBytes * kMillisecondsPerSecond / rate;
  return std::max(policy.heartbeat_interval, std::chrono::milliseconds(needed));
}

}  // namespace

Heartbeats::Heartbeats(std::uint64_t seed)
    : first_sequence(Jitter(seed).Next() >> kSequenceShift), jitter(seed) {}

void Heartbeats::SetPlan(const PeerPlan& plan, std::chrono::milliseconds now) {
  std::map<common::InstanceId, std::chrono::milliseconds> next;
  for (const common::InstanceId id : plan.watched) {
    const auto known = this->watched.find(id);
    next.emplace(id, known == this->watched.end() ? now : known->second);
  }
  this->watched = std::move(next);

  std::map<common::DomainId, Link> next_links;
  for (const DomainLink& link : plan.links) {
    const auto known = this->links.find(link.domain);
    const bool same =
        known != this->links.end() && known->second.partners == link.partners;
    const auto since =
        known == this->links.end() ? now : known->second.domain_since;
    next_links.emplace(
        link.domain, same ? known->second : Link{link.partners, 0, now, since});
  }
  this->links = std::move(next_links);
}

void Heartbeats::RestartSilences(std::chrono::milliseconds now) {
  for (auto& [id, since] : this->watched) {
    since = now;
  }
  for (auto& [domain, link] : this->links) {
    link.partner_since = now;
    link.domain_since = now;
  }
}

void Heartbeats::RestartSilence(common::InstanceId id,
                                std::chrono::milliseconds now) {
  if (const auto found = this->watched.find(id); found != this->watched.end()) {
    found->second = now;
  }
}

void Heartbeats::OnTick(const CallContext& context, const FleetPolicy& policy,
                        const Heartbeat& content,
                        const std::vector<common::InstanceId>& extra) {
  if (context.now >= this->next_watch) {
    this->interval = IntervalFor(this->watched.size() + extra.size(), policy);
    this->next_watch = context.now + this->interval -
                       this->interval / kJitterDivisor +
                       this->jitter.UpTo(2 * this->interval / kJitterDivisor);
    for (const auto& [id, since] : this->watched) {
      this->SendRequest(context, id, content);
    }
    for (const common::InstanceId id : extra) {
      this->SendRequest(context, id, content);
    }
  }
  if (context.now >= this->next_link) {
    this->next_link =
        context.now + kLinkIntervals * policy.heartbeat_interval -
        this->jitter.UpTo(policy.heartbeat_interval / kJitterDivisor);
    this->ReplaceSilentPartners(context.now, policy);
    for (const common::InstanceId id : this->LinkPartners()) {
      this->SendRequest(context, id, content);
    }
  }
}

void Heartbeats::SendRequest(const CallContext& context, common::InstanceId to,
                             Heartbeat content) const {
  content.answer = false;
  content.sequence =
      this->first_sequence + static_cast<std::uint64_t>(context.now.count());
  context.Send(to, std::move(content));
}

std::optional<std::chrono::milliseconds> Heartbeats::OnAnswer(
    common::InstanceId from, common::DomainId domain, std::uint64_t sequence,
    std::chrono::milliseconds now) {
  const auto age = static_cast<std::uint64_t>(now.count());
  // An answer to a request of an earlier process at this address would renew
  // the lease although no peer has confirmed this process.
  if (sequence < this->first_sequence ||
      sequence - this->first_sequence > age) {
    return std::nullopt;
  }
  const std::chrono::milliseconds asked_at(
      static_cast<std::chrono::milliseconds::rep>(sequence -
                                                  this->first_sequence));
  if (const auto found = this->watched.find(from);
      found != this->watched.end()) {
    found->second = std::max(found->second, asked_at);
  }
  if (const auto found = this->links.find(domain); found != this->links.end()) {
    Link& link = found->second;
    link.domain_since = std::max(link.domain_since, asked_at);
    if (link.partners[link.current] == from) {
      link.partner_since = std::max(link.partner_since, asked_at);
    }
  }
  return asked_at;
}

bool Heartbeats::IsSilent(common::InstanceId id, std::chrono::milliseconds now,
                          const FleetPolicy& policy) const {
  const auto found = this->watched.find(id);
  const auto allowed =
      std::max(policy.suspect_after, kMinUnanswered * this->interval);
  return found != this->watched.end() && now - found->second > allowed;
}

std::vector<LinkState> Heartbeats::Links(std::chrono::milliseconds now,
                                         const FleetPolicy& policy) const {
  std::vector<LinkState> states;
  for (const auto& [domain, link] : this->links) {
    states.push_back({domain, now - link.domain_since <= policy.lease});
  }
  return states;
}

std::vector<common::InstanceId> Heartbeats::LinkPartners() const {
  std::vector<common::InstanceId> partners;
  for (const auto& [domain, link] : this->links) {
    partners.push_back(link.partners[link.current]);
  }
  return partners;
}

void Heartbeats::ReplaceSilentPartners(std::chrono::milliseconds now,
                                       const FleetPolicy& policy) {
  for (auto& [domain, link] : this->links) {
    // The partner may be dead without being reported as such yet, because those
    // reports arrive over this same link.
    if (now - link.partner_since > policy.suspect_after) {
      link.current = (link.current + 1) % link.partners.size();
      link.partner_since = now;
    }
  }
}

}  // namespace sassafrasdyke::core
