/// Keeps an instance that comes and goes out of ownership for longer each time.
#pragma once

#include <chrono>
#include <map>

#include "common/ids.h"

namespace sassafrasdyke::core {

/// The bounds of the damping.
struct DampingLimits {
  std::chrono::milliseconds first{1000};  ///< Quiet needed the first time.
  std::chrono::milliseconds longest{std::chrono::minutes{1}};
  /// Time without suspicion after which one return is forgiven.
  std::chrono::milliseconds forgive_after{std::chrono::minutes{1}};
};

/// One instance's view of how often others came and went.
class FlapDamper {
 public:
  explicit FlapDamper(DampingLimits limits = {}) : limits(limits) {}

  /// Takes whether a suspicion of `id` is confirmed at `now`; answers whether
  /// it shall still count as suspected.
  bool Held(common::InstanceId id, bool suspected,
            std::chrono::milliseconds now);

  /// Forgets the instances for which `listed(id)` doesn't hold.
  template <typename Condition>
  void KeepOnly(Condition listed) {
    std::erase_if(this->histories,
                  [&](const auto& item) { return !listed(item.first); });
  }

  /// True while an instance counts as suspected only because of the damping,
  /// so that time alone may change the answer.
  bool Waiting() const;

 private:
  struct History {
    bool suspected{false};
    bool held{false};
    unsigned returns{0};
    std::chrono::milliseconds quiet_since{0};
  };

  std::chrono::milliseconds QuietNeeded(unsigned returns) const;

  DampingLimits limits;
  std::map<common::InstanceId, History> histories;
};

}  // namespace sassafrasdyke::core
