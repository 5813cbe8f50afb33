/// The recent owners of a partition, as one instance saw them, and instances
/// that recently considered themselves its owner.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "common/ids.h"

namespace sassafrasdyke::core {

/// A bounded list. While views differ, a former owner may still place flows,
/// and another instance may know of an owner that this one never saw. Times are
/// monotonic.
class RecentOwners {
 public:
  /// Adds `owner`, which may place flows until `until` although another
  /// instance is the owner in this instance's view. Drops the oldest if the
  /// list is full.
  void Add(common::InstanceId owner, std::chrono::milliseconds until);

  /// The newest owner that may still place flows and that `accepts` admits.
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
