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
constexpr std::size_t kMostOptions = 64;

/// Why a target may not take a flow now.
enum class Obstacle {
  kNone,
  kRamp,     ///< Takes only a part of its flows yet.
  kAvoided,  ///< Ejected, reported as shedding or failing, or in a domain
             ///< without instances.
  kClosed,   ///< Gone, draining, full or out of reach: never.
};

/// Which targets a search looks at.
enum class Where {
  kLocal,  ///< Those of this instance's failure domain.
  kAnywhere,
};

/// The options of one choice, without allocation on the packet path.
class OptionList {
 public:
  void Add(TargetSlot slot, const TargetRecord& record) {
    if (this->count == kMostOptions) {
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
  std::array<PlacementOption, kMostOptions> options;
  std::size_t count{0};
};

class PlacementAttempt {
 public:
  PlacementAttempt(const PlacementRequest& request, const TargetSet& targets,
                   std::chrono::milliseconds now)
      : request(request),
        targets(targets),
        now(now),
        distrusted(targets.ReportsDistrusted(request.service->id,
                                             request.service->policy)) {}

  std::optional<Placement> Run() const {
    const PartitionSubset& mine = this->request.targets;
    if (this->request.prefer_fallback && this->request.fallback != kNoSlot &&
        this->ObstacleOf(this->request.fallback) == Obstacle::kNone) {
      return Placement{this->request.fallback, PlacementReason::kDefault};
    }
    if (const auto placed = this->Choose(mine, Obstacle::kNone)) {
      return placed;
    }
    if (const auto placed = this->Choose(mine, Obstacle::kRamp)) {
      return placed;
    }
    for (const Where where : {Where::kLocal, Where::kAnywhere}) {
      if (const auto slot =
              this->LeastOpen(mine.spill, Obstacle::kRamp, where)) {
        return Placement{*slot, PlacementReason::kSpill};
      }
    }
    return this->LastResort(mine);
  }

 private:
  Obstacle ObstacleOf(TargetSlot slot) const {
    const TargetRecord& record = this->targets.At(slot);
    if (record.gone || record.target.state != TargetState::kServing ||
        record.target.weight == 0 || record.open >= record.target.connections ||
        this->IsUnreachable(record.target.domain)) {
      return Obstacle::kClosed;
    }
    const bool reported_bad = record.health == TargetHealth::kShedding ||
                              record.health == TargetHealth::kFailing;
    // Reports that condemn most of a service are wrong or of no use: all the
    // flows would crowd on the few targets that look well.
    if (this->targets.IsEjected(slot, this->now) ||
        this->IsInLostHome(record.target.domain) ||
        (reported_bad && !this->distrusted)) {
      return Obstacle::kAvoided;
    }
    return this->InRampShare(slot) ? Obstacle::kNone : Obstacle::kRamp;
  }

  bool IsUnreachable(common::DomainId domain) const {
    const auto cut = this->request.unreachable;
    return std::find(cut.begin(), cut.end(), domain) != cut.end();
  }

  /// A failure domain that loses its power loses instances and targets at
  /// once, and nobody is left there to say so of the targets. A flow sent to
  /// one of them waits for an answer that never comes.
  bool IsInLostHome(common::DomainId domain) const {
    return this->request.adopted && domain == this->request.targets.home;
  }

  /// A flow's hash decides, so that its repeated SYN meets the same answer.
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

  std::optional<Placement> Choose(const PartitionSubset& mine,
                                  Obstacle tolerated) const {
    OptionList options;
    this->Collect(mine.subset, tolerated, options);
    // With half of the subset out of use the rest would carry twice its share.
    if (2 * options.Size() < mine.subset.size()) {
      this->Collect(mine.reserve, tolerated, options);
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
                     this->ReasonFor(mine, options, chosen)};
  }

  void Collect(std::span<const TargetSlot> slots, Obstacle tolerated,
               OptionList& options) const {
    for (const TargetSlot slot : slots) {
      if (this->ObstacleOf(slot) <= tolerated) {
        options.Add(slot, this->targets.At(slot));
      }
    }
  }

  PlacementReason ReasonFor(const PartitionSubset& mine,
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
    if (options.All()[0].slot == mine.subset[0]) {
      return PlacementReason::kDefault;
    }
    return this->ObstacleOf(mine.subset[0]) == Obstacle::kRamp
               ? PlacementReason::kRamp
               : PlacementReason::kEjected;
  }

  std::optional<TargetSlot> LeastOpen(std::span<const TargetSlot> slots,
                                      Obstacle tolerated, Where where) const {
    std::optional<TargetSlot> best;
    for (const TargetSlot slot : slots) {
      const TargetRecord& record = this->targets.At(slot);
      const bool looked_at = where == Where::kAnywhere ||
                             record.target.domain == this->request.local;
      if (looked_at && this->ObstacleOf(slot) <= tolerated &&
          (!best || record.open < this->targets.At(*best).open)) {
        best = slot;
      }
    }
    return best;
  }

  /// Nothing looks well. A target that is only said to be bad may still serve,
  /// and a refusal surely doesn't.
  std::optional<Placement> LastResort(const PartitionSubset& mine) const {
    for (const auto slots : {mine.subset, mine.reserve, mine.spill}) {
      if (const auto slot =
              this->LeastOpen(slots, Obstacle::kAvoided, Where::kAnywhere)) {
        return Placement{*slot, PlacementReason::kEjected};
      }
    }
    return std::nullopt;
  }

  const PlacementRequest& request;
  const TargetSet& targets;
  std::chrono::milliseconds now;
  bool distrusted;
};

}  // namespace

std::optional<Placement> Place(const PlacementRequest& request,
                               const TargetSet& targets,
                               std::chrono::milliseconds now) {
  return PlacementAttempt(request, targets, now).Run();
}

}  // namespace sassafrasdyke::core
