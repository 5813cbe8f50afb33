/// Turns the tasks' counters into metrics.
#pragma once

#include <chrono>
#include <cstdint>

#include "app/task_messages.h"
#include "clients/document_watch.h"
#include "clients/target_prober.h"
#include "core/fleet/fleet.h"
#include "core/fleet_view.h"
#include "observe/decision_log.h"
#include "observe/metrics.h"
#include "peer/peer_counts.h"

namespace sassafrasdyke::app {

void PublishData(observe::Metrics& metrics, const DataReport& report);
void PublishFleet(observe::Metrics& metrics, const core::FleetStatus& status,
                  const core::FleetView& view);
void PublishReads(observe::Metrics& metrics, core::DocumentKind kind,
                  const clients::PlatformCounts& counts);
void PublishPeers(observe::Metrics& metrics, const peer::PeerCounts& counts);
void PublishProbes(observe::Metrics& metrics,
                   const clients::ProbeCounts& counts);
void PublishLog(observe::Metrics& metrics, const observe::DecisionLog& log);

}  // namespace sassafrasdyke::app
