/// Decides whether what an instance knows shows that an open flow has ended.
#pragma once

#include <chrono>
#include <optional>

#include "core/steering/flow_memory.h"

namespace sassafrasdyke::core {

/// What shows that a flow's route or target has ended, and as of when. Times
/// are monotonic.
///
/// A route that was withdrawn may be published again, and a target may start
/// again under its name. Another instance may then open flows there before this
/// one learns of it, so evidence says nothing about flows that are younger than
/// it. A flow was open by the time when its first packet came to this instance.
struct EndEvidence {
  /// When the view, which lacks the route or target, was last confirmed;
  /// nothing if never.
  std::optional<std::chrono::milliseconds> view_confirmed_at;
  /// As of when probes show that the flow's target doesn't answer at the
  /// address that the view has; nothing if they don't.
  std::optional<std::chrono::milliseconds> silent_as_of = std::nullopt;

  /// Whether the view shows that the flow has ended: it was confirmed once the
  /// flow was open.
  bool ViewShowsEnd(const std::optional<FlowSighting>& flow) const;
  /// Whether probes show that the flow has ended: they began once it was open,
  /// and its target was at their address then. That is known if the flow was
  /// opened from here, or by a view that was confirmed since.
  bool ProbesShowEnd(const std::optional<FlowSighting>& flow) const;
};

}  // namespace sassafrasdyke::core
