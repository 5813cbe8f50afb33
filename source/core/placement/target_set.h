/// The targets as this instance knows them: publication, health, open flows,
/// ejection and slow start.
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

/// What this instance knows of one target, from its publication until it is
/// removed or replaced.
struct TargetRecord {
  Target target;
  /// Removed from the configuration in force, or its id now names another
  /// target. Established flows there are reset, except those known only from a
  /// copy.
  bool gone{false};
  /// Open flows of this instance at the target.
  std::uint32_t open{0};
  TargetHealth health{TargetHealth::kUnknown};
  std::uint64_t health_version{0};
  /// Consecutive flows whose SYN was retransmitted.
  std::uint32_t unanswered{0};
  /// When a caller last completed a handshake with it; negative when none has.
  std::chrono::milliseconds answered_at{-1};
  /// Takes no new flows before then.
  std::chrono::milliseconds ejected_until{0};
  /// Ejections since it last answered; each lasts twice as long as the one
  /// before, up to a limit.
  std::uint32_t ejections{0};
  /// Start of its slow start, over which its share of new flows grows; negative
  /// when it takes its full share.
  std::chrono::milliseconds ramp_start{-1};
};

/// All targets of the configuration in force, and removed ones that flows still
/// refer to.
class TargetSet {
 public:
  /// Applies a newer configuration: adds, updates and retires records. A target
  /// that is new or serves again starts slowly, except at the first
  /// configuration of a process.
  void OnConfiguration(const Configuration& configuration,
                       std::chrono::milliseconds now);

  /// Applies a prober's report; one that isn't newer by version is ignored.
  void OnHealth(const TargetHealthChange& change,
                std::chrono::milliseconds now);

  /// The present record of a target id; nothing when it isn't published.
  std::optional<TargetSlot> Find(common::TargetId id) const;

  const TargetRecord& At(TargetSlot slot) const {
    return this->records[slot.value];
  }

  /// Counts a flow that starts or ends at a target.
  void FlowOpened(TargetSlot slot);
  void FlowEnded(TargetSlot slot);

  /// Records that a caller completed its handshake with the target.
  void OnAnswered(TargetSlot slot, std::chrono::milliseconds now);

  /// Records that a caller retransmitted its SYN. After a few consecutive flows
  /// the target is ejected for a while, unless the service's limit on ejected
  /// targets is reached.
  void OnUnanswered(TargetSlot slot, const ServicePolicy& policy,
                    std::chrono::milliseconds now);

  bool IsEjected(TargetSlot slot, std::chrono::milliseconds now) const;

  /// Whether more of a service's targets are reported as failing or shedding
  /// than the share that may be ejected. The reports are then not trusted.
  bool TooManyReportedUnhealthy(common::ServiceId service,
                                const ServicePolicy& policy) const;

  /// The fraction of its full share that the target takes at `now` in a slow
  /// start of length `ramp`, from 0 to 1.
  double RampShare(TargetSlot slot, std::chrono::milliseconds ramp,
                   std::chrono::milliseconds now) const;

 private:
  struct ServiceCounts {
    std::uint32_t targets{0};
    std::uint32_t reported_unhealthy{0};
    std::vector<TargetSlot> slots;
  };

  TargetSlot AddRecord(const Target& target, bool ramp,
                       std::chrono::milliseconds now);
  TargetSlot AllocateSlot();
  void RetireRecord(TargetSlot slot);
  void RebuildServiceCounts();
  std::uint32_t CountEjected(common::ServiceId service,
                             std::chrono::milliseconds now) const;

  std::vector<TargetRecord> records;
  std::vector<TargetSlot> free_slots;
  tsl::robin_map<common::TargetId, TargetSlot> by_id;
  tsl::robin_map<common::ServiceId, ServiceCounts> services;
};

}  // namespace sassafrasdyke::core
