#include "core/fleet/report_exchange.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// Heartbeats with other hashes after which reports count as lost, rather than
/// as still on their way.
constexpr unsigned kHeartbeatsUntilHealing = 2;
constexpr std::size_t kPage = 16;
/// Healing is bounded over all peers: when a storm of reports has outrun the
/// budget, every peer differs, and pages for all of them would only prolong it.
constexpr std::chrono::milliseconds kBetweenPages{500};

template <typename Report>
void SendPage(common::InstanceId to, const std::vector<Report>& page,
              const Turn& turn) {
  for (const Report& report : page) {
    turn.Send(to, report);
  }
}

/// Counts heartbeats in a row that differ; true when it is time to heal.
bool DiffersForLong(unsigned& count, bool differs) {
  count = differs ? count + 1 : 0;
  return count >= kHeartbeatsUntilHealing;
}

}  // namespace

ReportExchange::ReportExchange(common::InstanceId self, Members& members)
    : self(self), members(members) {}

void ReportExchange::Healing::ForgetPages() {
  this->members.reset();
  this->reachability.reset();
  this->health.reset();
}

void ReportExchange::SetNeighbours(Neighbours neighbours) {
  this->neighbours = std::move(neighbours);
}

void ReportExchange::SetConfiguration(const Configuration& configuration) {
  this->targets.clear();
  for (const Target& target : configuration.targets) {
    this->targets.push_back(target.id);
  }
  this->health.EraseIf([this](const TargetHealthChange& change) {
    return !std::binary_search(this->targets.begin(), this->targets.end(),
                               change.target);
  });
}

void ReportExchange::ForgetUnlisted() {
  std::erase_if(this->healing, [this](const auto& item) {
    return !this->members.Listed(item.first);
  });
  this->reachability.EraseIf([this](const ReachabilityReport& report) {
    return !this->members.Listed(report.by);
  });
}

void ReportExchange::Spread(const MemberReport& report, const Turn& turn) {
  this->SendTo(this->neighbours.domain, this->self, report, turn);
  this->SendTo(this->neighbours.links, this->self, report, turn);
}

void ReportExchange::SayReachable(common::DomainId domain, bool reachable,
                                  const Turn& turn) {
  const ReachabilityReport* last =
      this->reachability.Find({domain, this->self});
  const bool known = last == nullptr || last->reachable;
  if (known == reachable) {
    return;
  }
  const ReachabilityReport report =
      NextReport(this->reachability, domain, this->self, reachable);
  this->reachability.Merge(report);
  this->SendTo(this->neighbours.domain, this->self, report, turn);
}

void ReportExchange::OnTargetProbed(common::TargetId target,
                                    TargetHealth health, const Turn& turn) {
  if (!IsChange(this->health, target, health)) {
    return;
  }
  this->OnReport(this->self,
                 NextChange(this->health, target, health, this->self), turn);
}

bool ReportExchange::OnReport(common::InstanceId from,
                              const MemberReport& report, const Turn& turn) {
  if (!this->members.Merge(report)) {
    return false;
  }
  this->SendTo(this->neighbours.domain, from, report, turn);
  this->SendTo(this->neighbours.links, from, report, turn);
  return true;
}

void ReportExchange::OnReport(common::InstanceId from,
                              const ReachabilityReport& report,
                              const Turn& turn) {
  if (this->members.Listed(report.by) && this->reachability.Merge(report)) {
    this->SendTo(this->neighbours.domain, from, report, turn);
  }
}

void ReportExchange::OnReport(common::InstanceId from,
                              const TargetHealthChange& change,
                              const Turn& turn) {
  const bool published = std::binary_search(this->targets.begin(),
                                            this->targets.end(), change.target);
  if (!published || !this->health.Merge(change)) {
    return;
  }
  turn.outbox.health.push_back(change);
  this->SendTo(this->neighbours.domain, from, change, turn);
}

void ReportExchange::OnHashes(common::InstanceId from, bool same_domain,
                              const Heartbeat& heartbeat, const Turn& turn) {
  Healing& state = this->healing[from];
  const bool members_lost = DiffersForLong(
      state.members_differ, heartbeat.members != this->MembersHash());
  const bool domain_lost =
      same_domain && DiffersForLong(state.domain_differs,
                                    heartbeat.health != this->DomainHash());
  if (!members_lost && !domain_lost) {
    state.ForgetPages();
    return;
  }
  if (turn.now < this->next_healing) {
    return;
  }
  this->next_healing = turn.now + kBetweenPages;
  if (members_lost) {
    SendPage(from, this->members.Page(state.members, kPage), turn);
  }
  if (domain_lost) {
    SendPage(from, this->reachability.Page(state.reachability, kPage), turn);
    SendPage(from, this->health.Page(state.health, kPage), turn);
  }
}

std::uint64_t ReportExchange::DomainHash() const {
  return this->reachability.Digest() + this->health.Digest();
}

template <typename Report>
void ReportExchange::SendTo(const std::vector<common::InstanceId>& peers,
                            common::InstanceId except, const Report& report,
                            const Turn& turn) const {
  for (const common::InstanceId peer : peers) {
    if (peer != except) {
      turn.Send(peer, report);
    }
  }
}

}  // namespace sassafrasdyke::core
