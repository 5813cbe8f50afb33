/// The newest observations of targets from each other instance of the domain.
#pragma once

#include <chrono>
#include <unordered_map>
#include <vector>

#include "common/address.h"
#include "core/load/observation_exchange.h"
#include "core/view/route_table.h"
#include "core/view/target_table.h"

namespace sassafrasdyke::core {

/// One instance's observation of a target, bounded to what an instance can
/// have seen.
struct TargetReport {
  TargetIndex target;
  std::uint32_t requests{0};
  std::uint32_t failures{0};
  std::uint32_t answers{0};
  double mean_ms{0};
  bool silent{false};
  double weight{1.0};
  /// When the sender last confirmed the weight.
  std::chrono::milliseconds decided_at{0};
};

/// What one instance reported last.
struct InstanceReport {
  std::vector<TargetReport> targets;
  std::chrono::milliseconds sent_at{0};  ///< By the sender's clock.
  std::chrono::milliseconds received_at{0};
  /// Whether a target that isn't listed may be as bad as the listed ones.
  bool full{false};
};

/// By sender, each once, for 3 s. Times are monotonic.
class TargetReports {
 public:
  using BySender =
      std::unordered_map<common::Endpoint, InstanceReport, EndpointHash>;

  /// Replaces the sender's last report by the targets of a newer digest; a
  /// duplicate or an older one changes nothing. A restarted sender, whose clock
  /// begins anew, is ignored until its former report has expired.
  void Take(const common::Endpoint& sender,
            const PeerObservations& observations, const TargetTable& targets,
            std::chrono::milliseconds now);
  void Expire(std::chrono::milliseconds now);
  const BySender& All() const { return this->reports; }

 private:
  BySender reports;
};

}  // namespace sassafrasdyke::core
