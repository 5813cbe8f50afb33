/// The decisions and beliefs of an instance, as log lines.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/health/outlier_detector.h"
#include "core/load/fleet_load.h"
#include "core/load/share_monitor.h"
#include "core/roster/peer_sync.h"
#include "core/steering/flow_packet.h"
#include "core/steering/target_watch.h"
#include "core/view/live_view.h"
#include "front/line_log.h"

namespace sassafrasdyke::front {

/// What decided about a packet, for its line.
struct DecisionInputs {
  std::uint64_t configuration{0};  ///< Version in force.
  common::Revision revision = {};  ///< Of the view.
  std::optional<std::chrono::milliseconds> view_age = std::nullopt;
  std::size_t waiting{0};  ///< SYNs that are held back.
  /// Since the flow's first packet here; 0 or nothing if this is it.
  std::optional<std::chrono::milliseconds> flow_seen = std::nullopt;
  /// Since the view lost the flow's route; nothing if it has one, or never had
  /// one.
  std::optional<std::chrono::milliseconds> route_withdrawn = std::nullopt;
};

/// The way by which changes of the view came.
enum class ChangeWay : std::uint8_t {
  kListing,  ///< Of the store.
  kWatch,    ///< Of the store.
  kDigest,   ///< Of a peer.
  kCopy,     ///< Of a peer.
  kTimer,    ///< Came before and took effect now.
};

/// Where changes of the view came from.
struct ChangeOrigin {
  ChangeWay way{ChangeWay::kWatch};
  std::optional<common::Endpoint> peer;
  /// Since the view before the changes was last confirmed: they were published
  /// at most so long ago. Nothing if it never was.
  std::optional<std::chrono::milliseconds> unconfirmed;
};

/// The target of a flow about which something was decided.
struct DecisionTarget {
  const core::TargetEntry& entry;
  core::LivenessEvidence signs;
};

/// Writes a line for each decision about a new or refused flow and for each
/// change of the view. Packets of established flows write none.
class FrontLog {
 public:
  explicit FrontLog(LineLog& lines) : lines(lines) {}

  /// `target` is empty when the flow has none, or one that isn't known.
  void OnDecision(const core::FlowPacket& packet,
                  const core::SteeringAction& action,
                  const std::optional<DecisionTarget>& target,
                  const DecisionInputs& inputs, std::chrono::milliseconds now);
  void OnViewChange(const core::ViewChange& change, const ChangeOrigin& origin,
                    const DecisionInputs& inputs,
                    std::chrono::milliseconds now);
  /// The view is too old.
  void OnLateView(const core::LateView& late, common::Revision revision,
                  std::chrono::milliseconds now);
  /// A trial connection that didn't find the target alive.
  void OnProbe(const std::string& target, core::ProbeOutcome outcome,
               bool silent_now, std::chrono::milliseconds now);
  /// The domain has become reachable or unreachable. `slots`: of its targets
  /// that accept new flows.
  void OnReachability(const core::DomainLoad& load, std::uint64_t slots,
                      std::chrono::milliseconds now);
  /// The own failure domain has crossed its share of a service's load.
  void OnShareChange(const core::ShareChange& change,
                     std::chrono::milliseconds now);
  /// `target`: its name. Counts are left out when it is silent.
  void OnHealthChange(const std::string& target,
                      const core::HealthChange& change,
                      std::chrono::milliseconds now);
  /// Anything of the process itself.
  void OnNote(std::string_view event, const LineFields& fields,
              std::chrono::milliseconds now);

 private:
  LineLog& lines;
};

}  // namespace sassafrasdyke::front
