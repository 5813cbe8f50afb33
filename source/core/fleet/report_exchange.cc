#include "core/fleet/report_exchange.h"

#include <algorithm>
#include <utility>

namespace sassafrasdyke::core {
namespace {

/// Heartbeats in a row with differing hashes after which reports count as lost
/// rather than as still in flight.
constexpr unsigned kMismatchesUntilRepair = 2;
constexpr std::size_t kPageSize = 16;
/// Least time between two pages, over all peers: when a burst of reports has
/// exceeded the budget, every peer differs, and pages for all of them would
/// only prolong the overload.
constexpr std::chrono::milliseconds kRepairInterval{500};

template <typename Report>
void SendPage(common::InstanceId to, const std::vector<Report>& page,
              const CallContext& context) {
  for (const Report& report : page) {
    context.Send(to, report);
  }
}

/// Counts heartbeats in a row that differ; true when a repair is due.
bool RepairDue(unsigned& count, bool differs) {
  count = differs ? count + 1 : 0;
  return count >= kMismatchesUntilRepair;
}

}  // namespace

ReportExchange::ReportExchange(common::InstanceId self, Members& members)
    : self(self), members(members) {}

void ReportExchange::RepairState::ResetCursors() {
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

void ReportExchange::DropUnlisted() {
  std::erase_if(this->repairs, [this](const auto& item) {
    return !this->members.Listed(item.first);
  });
  this->reachability.EraseIf([this](const ReachabilityReport& report) {
    return !this->members.Listed(report.by);
  });
}

void ReportExchange::Spread(const MemberReport& report,
                            const CallContext& context) {
  this->SendTo(this->neighbours.domain, this->self, report, context);
  this->SendTo(this->neighbours.links, this->self, report, context);
}

void ReportExchange::ReportReachability(common::DomainId domain, bool reachable,
                                        const CallContext& context) {
  const ReachabilityReport* last =
      this->reachability.Find({domain, this->self});
  const bool known = last == nullptr || last->reachable;
  if (known == reachable) {
    return;
  }
  const ReachabilityReport report =
      NextReport(this->reachability, domain, this->self, reachable);
  this->reachability.Merge(report);
  this->SendTo(this->neighbours.domain, this->self, report, context);
}

void ReportExchange::OnTargetProbed(common::TargetId target,
                                    TargetHealth health,
                                    const CallContext& context) {
  if (!IsChange(this->health, target, health)) {
    return;
  }
  this->OnReport(this->self,
                 NextChange(this->health, target, health, this->self), context);
}

bool ReportExchange::OnReport(common::InstanceId from,
                              const MemberReport& report,
                              const CallContext& context) {
  if (!this->members.Merge(report)) {
    return false;
  }
  this->SendTo(this->neighbours.domain, from, report, context);
  this->SendTo(this->neighbours.links, from, report, context);
  return true;
}

void ReportExchange::OnReport(common::InstanceId from,
                              const ReachabilityReport& report,
                              const CallContext& context) {
  if (this->members.Listed(report.by) && this->reachability.Merge(report)) {
    this->SendTo(this->neighbours.domain, from, report, context);
  }
}

void ReportExchange::OnReport(common::InstanceId from,
                              const TargetHealthChange& change,
                              const CallContext& context) {
  const bool published = std::binary_search(this->targets.begin(),
                                            this->targets.end(), change.target);
  if (!published || !this->health.Merge(change)) {
    return;
  }
  context.outbox.health.push_back(change);
  this->SendTo(this->neighbours.domain, from, change, context);
}

void ReportExchange::OnHashes(common::InstanceId from, bool same_domain,
                              const Heartbeat& heartbeat,
                              const CallContext& context) {
  RepairState& state = this->repairs[from];
  const bool members_lost =
      RepairDue(state.members_differ, heartbeat.members != this->MembersHash());
  const bool domain_lost =
      same_domain &&
      RepairDue(state.domain_differs, heartbeat.health != this->DomainHash());
  if (!members_lost && !domain_lost) {
    state.ResetCursors();
    return;
  }
  if (context.now < this->next_repair) {
    return;
  }
  this->next_repair = context.now + kRepairInterval;
  if (members_lost) {
    SendPage(from, this->members.Page(state.members, kPageSize), context);
  }
  if (domain_lost) {
    SendPage(from, this->reachability.Page(state.reachability, kPageSize),
             context);
    SendPage(from, this->health.Page(state.health, kPageSize), context);
  }
}

std::uint64_t ReportExchange::DomainHash() const {
  return this->reachability.Digest() + this->health.Digest();
}

template <typename Report>
void ReportExchange::SendTo(const std::vector<common::InstanceId>& peers,
                            common::InstanceId except, const Report& report,
                            const CallContext& context) const {
  for (const common::InstanceId peer : peers) {
    if (peer != except) {
      context.Send(peer, report);
    }
  }
}

}  // namespace sassafrasdyke::core
