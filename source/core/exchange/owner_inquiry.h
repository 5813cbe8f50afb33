/// Selects the instance to ask about an unknown flow while owners change.
#pragma once

#include <chrono>
#include <optional>

#include "common/ids.h"
#include "core/flow/local_state.h"
#include "core/packet.h"

namespace sassafrasdyke::core {

/// A new owner doesn't know the flows of its predecessor, and while views
/// differ two instances may both consider themselves the owner. An inquiry,
/// which is the packet itself, is redirected along the owners that each
/// instance has seen recently, until one of them knows the flow. Otherwise the
/// packet returns to the asker, which decides.
class OwnerInquiry {
 public:
  /// `local` must outlive it.
  OwnerInquiry(common::InstanceId self, LocalState& local)
      : self(self), local(local) {}

  /// The instance that may still know flows of the partition, usually the owner
  /// before this one; empty once the time to ask it is over or it doesn't
  /// answer.
  std::optional<common::InstanceId> Previous(
      PartitionIndex partition, std::chrono::milliseconds now) const;

  /// The next instance to ask about the packet: the previous owner, the current
  /// one in this instance's view, a recent one, or the standby if this instance
  /// has just become the owner. Empty if every candidate has been asked.
  std::optional<common::InstanceId> Next(PartitionIndex partition,
                                         const Arrival& arrival,
                                         std::chrono::milliseconds now) const;

  /// `asker` considers itself the owner, whatever this instance's view says. It
  /// may place flows whose packets reach this instance.
  void OnAsked(PartitionIndex partition, common::InstanceId asker,
               std::chrono::milliseconds now);

  /// `former` is no longer the owner in this instance's view.
  void OnFormerOwner(PartitionIndex partition, common::InstanceId former,
                     std::chrono::milliseconds now) {
    this->AddRecentOwner(partition, former, now);
  }

 private:
  /// Records that `owner` may act as the owner for the duration of a lease.
  void AddRecentOwner(PartitionIndex partition, common::InstanceId owner,
                      std::chrono::milliseconds now);

  common::InstanceId self;
  LocalState& local;
};

}  // namespace sassafrasdyke::core
