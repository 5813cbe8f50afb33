#include "core/exchange/copy_gatherer.h"

#include <cstdint>
#include <utility>

namespace sassafrasdyke::core {

bool KnowsItself(const CopyDestination& destination, const CopySet& set) {
  return set.from == destination.to &&
         set.incarnation >= destination.incarnation;
}

CopyGatherer::CopyGatherer(FlowWorld& world, const CopyStore& store,
                           const UnresolvedFlows& unresolved,
                           CopySender& sender)
    : world(world), store(store), unresolved(unresolved), sender(sender) {}

void CopyGatherer::Gather(std::chrono::milliseconds now) {
  const std::map<PartitionKey, Gathering> wanted = this->sender.Wanted();
  if (wanted.empty()) {
    return;
  }
  std::vector<Order> orders = this->TakeOrders(wanted);
  this->world.ForEachRecord(
      [this, &orders](common::Fingerprint flow, FlowRecord& record) {
        this->Collect(flow, record, orders);
      });
  for (std::uint32_t i = 0; i < orders.size(); ++i) {
    if (orders[i].gathering != Gathering::kNone) {
      this->sender.Load(this->world.Directory().KeyOf(PartitionIndex{i}),
                        std::move(orders[i].flows), now);
    }
  }
}

std::vector<CopyGatherer::Order> CopyGatherer::TakeOrders(
    const std::map<PartitionKey, Gathering>& wanted) const {
  std::vector<Order> orders(this->world.Partitions().size());
  for (const auto& [key, gathering] : wanted) {
    const auto partition = this->world.Directory().Find(key);
    if (!partition) {
      this->sender.Stop(key);
      continue;
    }
    const PartitionState& state = this->world.StateOf(*partition);
    const OutgoingSet* const set = this->sender.Find(key);
    Order& order = orders[partition->value];
    order.gathering = gathering;
    order.hand_over = set->purpose == CopyPurpose::kHandOver;
    order.fallback = set->fallback.value == 0 ? kNoSlot : state.fallback;
    order.flows = this->CopiesToReturn(*partition, *set);
  }
  return orders;
}

void CopyGatherer::Collect(common::Fingerprint flow, FlowRecord& record,
                           std::vector<Order>& orders) const {
  const auto partition = this->world.PartitionOf(flow, record.service);
  if (!partition || !this->world.IsLive(record, *partition)) {
    return;
  }
  Order& order = orders[partition->value];
  // A SYN that is sent again must find its target, wherever it is; any other
  // flow at the fallback is found without being named.
  const bool is_named = record.target != order.fallback ||
                        (order.hand_over && record.state == FlowState::kSyn);
  const bool is_new = order.gathering == Gathering::kWhole || !record.copied;
  const TargetRecord& target = this->world.Targets().At(record.target);
  if (order.gathering != Gathering::kNone && is_named && is_new &&
      !target.gone) {
    order.flows.push_back({flow, target.target.id});
    record.copied = true;
  }
}

std::vector<FlowException> CopyGatherer::CopiesToReturn(
    PartitionIndex partition, const OutgoingSet& outgoing) const {
  if (outgoing.purpose != CopyPurpose::kHandOver) {
    return {};
  }
  const PartitionKey& key = this->world.Directory().KeyOf(partition);
  std::vector<FlowException> flows = this->unresolved.Of(key);
  for (const CopySet& set : this->store.SetsOf(key)) {
    if (KnowsItself(outgoing.destination, set)) {
      continue;
    }
    for (const auto& [flow, target] : AllFlows(set)) {
      flows.push_back({flow, target});
    }
  }
  return flows;
}

}  // namespace sassafrasdyke::core
