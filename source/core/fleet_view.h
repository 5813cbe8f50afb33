/// What this instance believes of its fleet right now. The fleet side of the
/// core makes it; the flow side only reads it.
#pragma once

#include <vector>

#include "common/address.h"
#include "common/ids.h"

namespace sassafrasdyke::core {

/// What one instance is good for.
enum class InstanceUse {
  kOwner,      ///< May own partitions.
  kLeaving,    ///< Still forwards, owns nothing new.
  kSuspected,  ///< Confirmed silent; owns nothing.
};

/// One instance as seen from here.
struct InstanceView {
  common::InstanceId id;
  common::DomainId domain;
  common::Incarnation incarnation;
  common::Endpoint tunnel;
  InstanceUse use{InstanceUse::kOwner};
};

/// Whether this instance may act on what it knows.
enum class Lease {
  kHeld,    ///< Fresh word from peers or platform.
  kStale,   ///< Silence, though others are thought alive: place nothing new.
  kCutOff,  ///< Nobody left to ask: serve from the last known state.
};

/// The whole belief, replaced as one value. `instances` is sorted by id and
/// includes this one.
struct FleetView {
  common::InstanceId self;
  common::DomainId domain;
  Lease lease{Lease::kHeld};
  /// This instance is stopping.
  bool leaving{false};
  std::vector<InstanceView> instances;
  /// Failure domains none of whose instances answers.
  std::vector<common::DomainId> unreachable;
};

}  // namespace sassafrasdyke::core
