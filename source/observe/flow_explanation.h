/// Explains where a flow goes, from the configuration and a view of the fleet
/// alone. The same code as the decisions', so the answer can't differ.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "common/flow_key.h"
#include "core/configuration.h"
#include "core/fleet_view.h"
#include "core/messages.h"
#include "core/placement/owner_map.h"

namespace sassafrasdyke::observe {

/// Why a target stands where it does in a partition's order.
enum class TargetRank {
  kSubset,   ///< Takes the partition's new flows.
  kReserve,  ///< Of the home domain, for when much of the subset can't serve.
  kSpill,    ///< Of another domain, for when none of the home domain can.
};

/// The explanation's word for a rank.
std::string_view Word(TargetRank rank);

/// One target of the order.
struct RankedTarget {
  core::Target target;
  TargetRank rank{TargetRank::kSubset};
};

/// Everything that decides about a flow before its first packet.
struct FlowExplanation {
  common::FlowKey flow;
  common::Fingerprint fingerprint;
  core::Service service;
  core::PartitionKey partition;
  common::DomainId home;
  core::PartitionOwners owners;
  /// Most preferred first.
  std::vector<RankedTarget> targets;
};

/// Reads "SRC:PORT->DST:PORT"; nothing for any other text.
std::optional<common::FlowKey> ParseFlow(std::string_view text);

/// Explains `flow`. Fails, with a sentence for a person, when no service has
/// its destination.
tl::expected<FlowExplanation, std::string> ExplainFlow(
    const common::FlowKey& flow,
    const std::shared_ptr<const core::Configuration>& configuration,
    const core::FleetView& view);

/// The explanation as JSON, with the reason of each step.
std::string WriteExplanation(const FlowExplanation& explanation,
                             const core::Configuration& configuration,
                             const core::FleetView& view);

}  // namespace sassafrasdyke::observe
