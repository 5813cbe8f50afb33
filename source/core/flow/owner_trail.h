/// The owners that a partition has lately had, as one instance saw them.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "common/ids.h"

namespace sassafrasdyke::core {

/// While views differ, a former owner may still decide, and another instance
/// may know of an owner that this one never saw. Bounded in number. Times are
/// monotonic.
class OwnerTrail {
 public:
  /// `former` owns no longer in this instance's view; it may go on deciding
  /// until `until`.
  void Add(common::InstanceId former, std::chrono::milliseconds until);

  /// The newest former owner that may still decide and that `accepts` lets
  /// pass.
  std::optional<common::InstanceId> Newest(
      std::chrono::milliseconds now,
      const std::function<bool(common::InstanceId)>& accepts) const;

 private:
  struct Former {
    common::InstanceId id;
    std::chrono::milliseconds until{0};
  };

  std::vector<Former> formers;  ///< The newest first.
};

}  // namespace sassafrasdyke::core
