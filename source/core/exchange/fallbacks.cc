#include "core/exchange/fallbacks.h"

#include <algorithm>
#include <optional>

namespace sassafrasdyke::core {
namespace {

/// The fallback moves when another target has more than this many times the
/// flows, and a margin so that a few flows don't move it to and fro.
constexpr std::uint32_t kFlipFactor = 2;
constexpr std::uint32_t kFlipMargin = 16;

}  // namespace

Fallbacks::Fallbacks(FlowWorld& world, const CopyStore& store)
    : world(world), store(store) {}

void Fallbacks::Adopt(PartitionIndex partition, common::TargetId fallback) {
  PartitionState& state = this->world.StateOf(partition);
  const auto slot = this->world.Targets().Find(fallback);
  const common::ServiceId service =
      this->world.Directory().KeyOf(partition).service;
  if (!slot) {
    state.unresolved = fallback;
    return;
  }
  if (this->world.Targets().At(*slot).target.service == service) {
    state.fallback = *slot;
    state.fallback_guessed = false;
    state.unresolved = {};
  }
}

common::TargetId Fallbacks::IdOf(PartitionIndex partition) const {
  // A guess is nobody's word: until it is settled, every flow is named.
  if (this->world.StateOf(partition).fallback_guessed) {
    return {};
  }
  const TargetSlot fallback = this->Of(partition);
  return fallback == kNoSlot ? common::TargetId{}
                             : this->world.Targets().At(fallback).target.id;
}

TargetSlot Fallbacks::Of(PartitionIndex partition) const {
  const PartitionState& state = this->world.StateOf(partition);
  if (state.owned || state.remembers) {
    return state.fallback;
  }
  const PartitionKey& key = this->world.Directory().KeyOf(partition);
  const CopySet* const set = this->store.SetFrom(key, state.seen_owner);
  if (set == nullptr || !set->complete) {
    return kNoSlot;
  }
  const auto slot = this->world.Targets().Find(set->fallback);
  const bool same_service =
      slot && this->world.Targets().At(*slot).target.service == key.service;
  return same_service ? *slot : kNoSlot;
}

bool Fallbacks::Finds(const FlowRecord& record,
                      PartitionIndex partition) const {
  const PartitionState& state = this->world.StateOf(partition);
  return !state.fallback_guessed && record.target == state.fallback;
}

bool Fallbacks::Refresh(PartitionIndex partition) {
  PartitionState& state = this->world.StateOf(partition);
  if (state.unresolved.value != 0) {
    const common::TargetId wanted = state.unresolved;
    this->Adopt(partition, wanted);
    state.unresolved = {};
  }
  if (!state.owned && !state.remembers) {
    return false;
  }
  const bool adopted = this->world.Owners().At(partition).adopted;
  const bool usable = state.fallback != kNoSlot &&
                      !this->world.Targets().At(state.fallback).gone;
  if (usable || (adopted && state.fallback == kNoSlot)) {
    return false;
  }
  // The flows that had no record were at a target that is no more. Nothing of
  // them is left to protect, so the default of today takes its place.
  state.fallback = this->world.DefaultTarget(partition);
  return true;
}

bool Fallbacks::Flip(PartitionIndex partition, std::chrono::milliseconds now) {
  PartitionState& state = this->world.StateOf(partition);
  if (!state.owned || state.counts.empty() || state.fallback == kNoSlot) {
    return false;
  }
  const ServiceDirectory& directory = this->world.Directory();
  const ServicePolicy& policy =
      directory.At(directory.ServiceOf(partition)).policy;
  // An idle flow of an earlier owner has no record here and is found only by
  // the fallback. It must have spoken or expired before the fallback moves.
  if (now - state.owned_since < policy.established_idle) {
    return false;
  }
  const auto most =
      std::max_element(state.counts.begin(), state.counts.end(),
                       [](const TargetCount& a, const TargetCount& b) {
                         return a.flows < b.flows;
                       });
  const std::uint32_t stay = state.FlowsAt(state.fallback);
  if (most->flows <= kFlipFactor * stay + kFlipMargin) {
    return false;
  }
  state.fallback = most->slot;
  return true;
}

}  // namespace sassafrasdyke::core
