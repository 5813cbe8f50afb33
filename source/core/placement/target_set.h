/// The targets as this instance knows them: their lives, their load, and how
/// far each may be used now.
#pragma once

#include <tsl/robin_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "core/configuration.h"
#include "core/messages.h"
#include "core/placement/target_slot.h"

namespace sassafrasdyke::core {

/// One life of a target.
struct TargetRecord {
  Target target;
  /// Removed from the configuration in force, or published anew as something
  /// else; whoever is still there is told so.
  bool gone{false};
  /// Flows this instance keeps at it.
  std::uint32_t open{0};
  TargetHealth health{TargetHealth::kUnknown};
  std::uint64_t health_version{0};
  /// Flows in a row whose SYN had to be sent again.
  std::uint32_t unanswered{0};
  /// When a caller last completed a handshake with it.
  std::chrono::milliseconds answered_at{-1};
  /// Takes no new flows before then.
  std::chrono::milliseconds ejected_until{0};
  /// Ejections since it last answered; each lasts twice as long.
  std::uint32_t ejections{0};
  /// Start of the time over which it takes a growing share; negative when it
  /// takes its full share.
  std::chrono::milliseconds ramp_from{-1};
};

/// All targets of the configuration in force, and the lives before them that
/// flows still refer to.
class TargetSet {
 public:
  /// Takes a newer configuration. Lives end and begin; a target that is new or
  /// serves again ramps up, except at the first configuration of a process.
  void OnConfiguration(const Configuration& configuration,
                       std::chrono::milliseconds now);

  /// Takes a prober's word; an older version is ignored.
  void OnHealth(const TargetHealthChange& change,
                std::chrono::milliseconds now);

  /// The life that a published number names now.
  std::optional<TargetSlot> Find(common::TargetId id) const;

  const TargetRecord& At(TargetSlot slot) const {
    return this->records[slot.value];
  }

  /// Counts a flow that starts or ends at a target.
  void FlowOpened(TargetSlot slot);
  void FlowEnded(TargetSlot slot);

  /// A caller completed its handshake with the target.
  void OnAnswered(TargetSlot slot, std::chrono::milliseconds now);

  /// A caller had to send its SYN again. After a few flows in a row the target
  /// is ejected for a while, if the service's share of ejected targets allows.
  void OnUnanswered(TargetSlot slot, const ServicePolicy& policy,
                    std::chrono::milliseconds now);

  bool IsEjected(TargetSlot slot, std::chrono::milliseconds now) const;

  /// Whether so many of a service's targets are said to be bad that the word
  /// can't be trusted: more than the share that may be ejected.
  bool ReportsDistrusted(common::ServiceId service,
                         const ServicePolicy& policy) const;

  /// The part of its share that the target takes at `now`, from 0 to 1.
  double RampShare(TargetSlot slot, std::chrono::milliseconds ramp,
                   std::chrono::milliseconds now) const;

 private:
  struct ServiceCounts {
    std::uint32_t targets{0};
    std::uint32_t reported_bad{0};
    std::vector<TargetSlot> slots;
  };

  TargetSlot NewLife(const Target& target, bool ramp,
                     std::chrono::milliseconds now);
  TargetSlot FreeSlot();
  void EndLife(TargetSlot slot);
  void CountServices();
  std::uint32_t EjectedOf(common::ServiceId service,
                          std::chrono::milliseconds now) const;

  std::vector<TargetRecord> records;
  std::vector<TargetSlot> free;
  tsl::robin_map<common::TargetId, TargetSlot> by_id;
  tsl::robin_map<common::ServiceId, ServiceCounts> services;
};

}  // namespace sassafrasdyke::core
