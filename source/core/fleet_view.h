/// This instance's present view of the fleet's membership. The fleet side of
/// the core produces it; the flow side only reads it.
#pragma once

#include <vector>

#include "common/address.h"
#include "common/ids.h"

namespace sassafrasdyke::core {

/// Which work an instance can do.
enum class InstanceUse {
  kOwner,      ///< May own partitions.
  kLeaving,    ///< Still forwards; takes no new ownership.
  kSuspected,  ///< Confirmed unresponsive; owns nothing.
};

/// One instance as seen from here.
struct InstanceView {
  common::InstanceId id;
  common::DomainId domain;
  common::Incarnation incarnation;
  common::Endpoint tunnel;
  InstanceUse use{InstanceUse::kOwner};
};

/// Whether this instance may act on its view.
enum class Lease {
  kHeld,    ///< In contact with peers or the platform.
  kStale,   ///< Expired while others may be alive: place no new flows.
  kCutOff,  ///< No contact is left: serve from the last known state.
};

/// A snapshot of the whole view, replaced as one value. `instances` is sorted
/// by id and includes this one.
struct FleetView {
  common::InstanceId self;
  common::DomainId domain;
  Lease lease{Lease::kHeld};
  /// This instance is stopping.
  bool leaving{false};
  std::vector<InstanceView> instances;
  /// Failure domains of which no instance answers.
  std::vector<common::DomainId> unreachable;
};

}  // namespace sassafrasdyke::core
