/// The owners that a partition has lately had, as one instance saw them, and
/// instances that lately took themselves for its owner.
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
  /// `owner` may go on deciding until `until`, though another is the owner in
  /// this instance's view.
  void Add(common::InstanceId owner, std::chrono::milliseconds until);

  /// The newest that may still decide and that `accepts` lets pass.
  std::optional<common::InstanceId> Newest(
      std::chrono::milliseconds now,
      const std::function<bool(common::InstanceId)>& accepts) const;

 private:
  struct Entry {
    common::InstanceId id;
    std::chrono::milliseconds until{0};
  };

  std::vector<Entry> entries;  ///< The newest first.
};

}  // namespace sassafrasdyke::core
