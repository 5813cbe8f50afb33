#include "core/exchange/fallbacks.h"

#include <algorithm>
#include <optional>

namespace sassafrasdyke::core {
namespace {

/// The fallback moves when another target has more than `kMoveFactor` times its
/// flows plus `kMoveMargin`. The margin prevents oscillation over a few flows.
constexpr std::uint32_t kMoveFactor = 2;
constexpr std::uint32_t kMoveMargin = 16;

}  // namespace

Fallbacks::Fallbacks(LocalState& local, const CopyStore& store)
    : local(local), store(store) {}

void Fallbacks::Adopt(PartitionIndex partition, common::TargetId fallback) {
  PartitionState& state = this->local.StateOf(partition);
  const auto slot = this->local.Targets().Find(fallback);
  const common::ServiceId service =
      this->local.Directory().KeyOf(partition).service;
  if (!slot) {
    state.unresolved_fallback = fallback;
    return;
  }
  if (this->local.Targets().At(*slot).target.service == service) {
    state.fallback = *slot;
    state.fallback_provisional = false;
    state.unresolved_fallback = {};
  }
}

common::TargetId Fallbacks::AnnouncedId(PartitionIndex partition) const {
  // A provisional fallback isn't announced: until it is settled, every flow is
  // copied.
  if (this->local.StateOf(partition).fallback_provisional) {
    return {};
  }
  const TargetSlot fallback = this->Of(partition);
  return fallback == kNoSlot ? common::TargetId{}
                             : this->local.Targets().At(fallback).target.id;
}

TargetSlot Fallbacks::Of(PartitionIndex partition) const {
  const PartitionState& state = this->local.StateOf(partition);
  if (state.owned || state.keeps_records) {
    return state.fallback;
  }
  const PartitionKey& key = this->local.Directory().KeyOf(partition);
  const CopySet* const set = this->store.SetFrom(key, state.designated);
  if (set == nullptr || !set->complete) {
    return kNoSlot;
  }
  const auto slot = this->local.Targets().Find(set->fallback);
  const bool same_service =
      slot && this->local.Targets().At(*slot).target.service == key.service;
  return same_service ? *slot : kNoSlot;
}

bool Fallbacks::IsAtFallback(const FlowRecord& record,
                             PartitionIndex partition) const {
  const PartitionState& state = this->local.StateOf(partition);
  return !state.fallback_provisional && record.target == state.fallback;
}

bool Fallbacks::Refresh(PartitionIndex partition) {
  PartitionState& state = this->local.StateOf(partition);
  if (state.unresolved_fallback.value != 0) {
    const common::TargetId wanted = state.unresolved_fallback;
    this->Adopt(partition, wanted);
    state.unresolved_fallback = {};
  }
  if (!state.owned && !state.keeps_records) {
    return false;
  }
  const bool adopted = this->local.Owners().At(partition).adopted;
  const bool usable = state.fallback != kNoSlot &&
                      !this->local.Targets().At(state.fallback).gone;
  if (usable || (adopted && state.fallback == kNoSlot)) {
    return false;
  }
  // The flows without a record were at a target that no longer exists, so none
  // of them is left to protect: the current default target replaces it.
  state.fallback = this->local.DefaultTarget(partition);
  return true;
}

bool Fallbacks::MoveToLargest(PartitionIndex partition,
                              std::chrono::milliseconds now) {
  PartitionState& state = this->local.StateOf(partition);
  if (!state.owned || state.counts.empty() || state.fallback == kNoSlot) {
    return false;
  }
  const ServiceDirectory& directory = this->local.Directory();
  const ServicePolicy& policy =
      directory.At(directory.ServiceOf(partition)).policy;
  // An idle flow of an earlier owner has no record here and is found only
  // through the fallback. It must have sent a packet or expired before the
  // fallback moves.
  if (now - state.owned_since < policy.established_idle) {
    return false;
  }
  const auto largest =
      std::max_element(state.counts.begin(), state.counts.end(),
                       [](const TargetCount& a, const TargetCount& b) {
                         return a.flows < b.flows;
                       });
  const std::uint32_t flows_at_fallback = state.FlowsAt(state.fallback);
  if (largest->flows <= kMoveFactor * flows_at_fallback + kMoveMargin) {
    return false;
  }
  state.fallback = largest->slot;
  return true;
}

}  // namespace sassafrasdyke::core
