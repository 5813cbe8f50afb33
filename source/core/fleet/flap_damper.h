/// Flap damping: an instance that is suspected again and again stays out of
/// ownership for longer each time.
#pragma once

#include <chrono>
#include <map>

#include "common/ids.h"

namespace sassafrasdyke::core {

/// The limits of the damping.
struct DampingLimits {
  /// Time without suspicion that is required after the first return; it doubles
  /// with each further return.
  std::chrono::milliseconds first{1000};
  std::chrono::milliseconds longest{std::chrono::minutes{1}};
  /// Time without suspicion after which one return no longer counts.
  std::chrono::milliseconds forgive_after{std::chrono::minutes{1}};
};

/// Records how often each instance was suspected and returned.
class FlapDamper {
 public:
  explicit FlapDamper(DampingLimits limits = {}) : limits(limits) {}

  /// Records whether a suspicion of `id` is confirmed at `now`. Returns whether
  /// it must count as suspected, because it is or because of the damping.
  bool UpdateSuppression(common::InstanceId id, bool suspected,
                         std::chrono::milliseconds now);

  /// Drops the instances for which `listed(id)` is false.
  template <typename Condition>
  void KeepOnly(Condition listed) {
    std::erase_if(this->histories,
                  [&](const auto& item) { return !listed(item.first); });
  }

  /// True while any instance has a history, so that the result of
  /// `UpdateSuppression` may change with time alone.
  bool HasHistory() const;

 private:
  struct History {
    bool suspected{false};
    bool held{false};
    unsigned returns{0};
    std::chrono::milliseconds quiet_since{0};
  };

  std::chrono::milliseconds RequiredQuiet(unsigned returns) const;

  DampingLimits limits;
  std::map<common::InstanceId, History> histories;
};

}  // namespace sassafrasdyke::core
