#include "core/placement/placer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <span>

#include "common/hash.h"
#include "core/placement/placement_policy.h"

namespace sassafrasdyke::core {
namespace {

constexpr std::uint64_t kRampSalt = 0x72616D70ULL;
constexpr double kFullWeight = 100.0;
constexpr std::size_t kMaxOptions = 64;

/// Why a target may not take a flow now, by severity.
enum class Obstacle {
  kNone,
  kRamp,      ///< In slow start, and the flow is not in its present share.
  kAvoided,   ///< Ejected, reported as shedding or failing, or in a home domain
              ///< without owners; used only as a last resort.
  kUnusable,  ///< Removed, draining, of weight 0, full or unreachable: never
              ///< used.
};

/// Which failure domains a search covers.
enum class DomainScope {
  kLocal,  ///< Only this instance's.
  kAnywhere,
};

/// A fixed-capacity list of options: the packet path must not allocate. Options
/// beyond the capacity are left out.
class OptionList {
 public:
  void Add(TargetSlot slot, const TargetRecord& record) {
    if (this->count == kMaxOptions) {
      return;
    }
    const double weight = record.target.weight;
    this->options[this->count] = {slot, record.open * kFullWeight / weight};
    ++this->count;
  }
  std::size_t Size() const { return this->count; }
  std::span<const PlacementOption> All() const {
    return std::span(this->options).first(this->count);
  }

 private:
  std::array<PlacementOption, kMaxOptions> options;
  std::size_t count{0};
};

class PlacementAttempt {
 public:
  PlacementAttempt(const PlacementRequest& request, const TargetSet& targets,
                   std::chrono::milliseconds now)
      : request(request),
        targets(targets),
        now(now),
        ignore_health_reports(targets.TooManyReportedUnhealthy(
            request.service->id, request.service->policy)) {}

  std::optional<Placement> Run() const {
    const PartitionSubset& partition = this->request.targets;
    if (this->request.prefer_fallback && this->request.fallback != kNoSlot &&
        this->ObstacleOf(this->request.fallback) == Obstacle::kNone) {
      return Placement{this->request.fallback, PlacementReason::kDefault};
    }
    if (const auto placed = this->Choose(partition, Obstacle::kNone)) {
      return placed;
    }
    if (const auto placed = this->Choose(partition, Obstacle::kRamp)) {
      return placed;
    }
    for (const DomainScope scope :
         {DomainScope::kLocal, DomainScope::kAnywhere}) {
      if (const auto slot =
              this->FewestOpenFlows(partition.spill, Obstacle::kRamp, scope)) {
        return Placement{*slot, PlacementReason::kSpill};
      }
    }
    return this->LastResort(partition);
  }

 private:
  Obstacle ObstacleOf(TargetSlot slot) const {
    const TargetRecord& record = this->targets.At(slot);
    if (record.gone || record.target.state != TargetState::kServing ||
        record.target.weight == 0 || record.open >= record.target.connections ||
        this->IsUnreachable(record.target.domain)) {
      return Obstacle::kUnusable;
    }
    const bool reported_unhealthy = record.health == TargetHealth::kShedding ||
                                    record.health == TargetHealth::kFailing;
    // Health reports against too many targets of a service are ignored, as
    // with a panic threshold: they are wrong, or following them would crowd all
    // flows onto the few healthy targets.
    if (this->targets.IsEjected(slot, this->now) ||
        this->IsInHomeWithoutOwners(record.target.domain) ||
        (reported_unhealthy && !this->ignore_health_reports)) {
      return Obstacle::kAvoided;
    }
    return this->InRampShare(slot) ? Obstacle::kNone : Obstacle::kRamp;
  }

  bool IsUnreachable(common::DomainId domain) const {
    const auto unreachable = this->request.unreachable;
    return std::find(unreachable.begin(), unreachable.end(), domain) !=
           unreachable.end();
  }

  /// A power failure of a failure domain takes down instances and targets at
  /// once, and no instance is left there to report the targets as failing. A
  /// flow sent to one of them would wait for an answer that never comes.
  bool IsInHomeWithoutOwners(common::DomainId domain) const {
    return this->request.adopted && domain == this->request.targets.home;
  }

  /// Whether a target in slow start takes this flow. Derived from the flow's
  /// hash, so that a retransmitted SYN gets the same result.
  bool InRampShare(TargetSlot slot) const {
    const double share = this->targets.RampShare(
        slot, this->request.service->policy.ramp, this->now);
    if (share >= 1.0) {
      return true;
    }
    const std::uint64_t hash =
        common::HashNumbers(this->request.flow.value,
                            this->targets.At(slot).target.id.value, kRampSalt);
    return std::ldexp(static_cast<double>(hash), -64) < share;
  }

  std::optional<Placement> Choose(const PartitionSubset& partition,
                                  Obstacle tolerated) const {
    OptionList options;
    this->Collect(partition.subset, tolerated, options);
    // With more than half of the subset unusable, the rest would carry more
    // than twice its share.
    if (2 * options.Size() < partition.subset.size()) {
      this->Collect(partition.reserve, tolerated, options);
    }
    if (options.Size() == 0) {
      return std::nullopt;
    }
    const PlacementPolicy* const policy =
        FindPlacementPolicy(this->request.service->policy.placement);
    const PlacementQuery query{
        this->request.flow, options.All(),
        this->request.service->policy.deviate_by * this->request.reluctance};
    const std::size_t chosen = policy == nullptr ? 0 : policy->Choose(query);
    return Placement{options.All()[chosen].slot,
                     this->ReasonFor(partition, options, chosen)};
  }

  void Collect(std::span<const TargetSlot> slots, Obstacle tolerated,
               OptionList& options) const {
    for (const TargetSlot slot : slots) {
      if (this->ObstacleOf(slot) <= tolerated) {
        options.Add(slot, this->targets.At(slot));
      }
    }
  }

  PlacementReason ReasonFor(const PartitionSubset& partition,
                            const OptionList& options,
                            std::size_t chosen) const {
    if (chosen > 0) {
      return PlacementReason::kLessLoaded;
    }
    const TargetSlot fallback = this->request.fallback;
    if (fallback != kNoSlot && !this->targets.At(fallback).gone &&
        this->targets.At(fallback).target.state == TargetState::kDraining) {
      return PlacementReason::kDraining;
    }
    if (options.All()[0].slot == partition.subset[0]) {
      return PlacementReason::kDefault;
    }
    return this->ObstacleOf(partition.subset[0]) == Obstacle::kRamp
               ? PlacementReason::kRamp
               : PlacementReason::kEjected;
  }

  std::optional<TargetSlot> FewestOpenFlows(std::span<const TargetSlot> slots,
                                            Obstacle tolerated,
                                            DomainScope scope) const {
    std::optional<TargetSlot> best;
    for (const TargetSlot slot : slots) {
      const TargetRecord& record = this->targets.At(slot);
      const bool in_scope = scope == DomainScope::kAnywhere ||
                            record.target.domain == this->request.local;
      if (in_scope && this->ObstacleOf(slot) <= tolerated &&
          (!best || record.open < this->targets.At(*best).open)) {
        best = slot;
      }
    }
    return best;
  }

  /// No target is considered usable. One that is ejected or reported unhealthy
  /// may still serve; refusing the flow certainly doesn't.
  std::optional<Placement> LastResort(const PartitionSubset& partition) const {
    for (const auto slots :
         {partition.subset, partition.reserve, partition.spill}) {
      if (const auto slot = this->FewestOpenFlows(slots, Obstacle::kAvoided,
                                                  DomainScope::kAnywhere)) {
        return Placement{*slot, PlacementReason::kEjected};
      }
    }
    return std::nullopt;
  }

  const PlacementRequest& request;
  const TargetSet& targets;
  std::chrono::milliseconds now;
  bool ignore_health_reports;
};

}  // namespace

std::optional<Placement> Place(const PlacementRequest& request,
                               const TargetSet& targets,
                               std::chrono::milliseconds now) {
  return PlacementAttempt(request, targets, now).Run();
}

}  // namespace sassafrasdyke::core
