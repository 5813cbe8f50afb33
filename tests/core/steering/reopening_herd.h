/// Simulates a thundering herd: callers reopen their flows after all instances
/// were down. One instance, a few targets with slots and a queue, callers that
/// retransmit SYNs and retry.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/fleet/jitter.h"
#include "core/steering/admission_control.h"
#include "core/steering/modelled_target.h"
#include "core/steering/steering_scene.h"

namespace sassafrasdyke::core {

/// Results of the callers of a period.
struct HerdOutcome {
  int in_time{0};  ///< Answered within the objective.
  int late{0};     ///< Answered within the deadline.
  int failed{0};
  int shed{0};  ///< Requests that a full target rejected; their callers retry.
};

/// Simulates the time after the outage in steps of a millisecond.
class ReopeningHerd {
 public:
  /// `holds_back`: whether the instance uses admission control.
  explicit ReopeningHerd(bool holds_back);

  /// A caller makes a request every 5 ms during the outage of 1.2 s and for 1.5
  /// s after it. The outcome counts only those after it.
  HerdOutcome Play();

 private:
  using Time = std::chrono::milliseconds;

  struct Caller {
    Time wants_since{0};
    Time syn_sent{0};
    std::uint32_t copies{0};
    unsigned tries{0};
    std::uint16_t port{0};
    std::uint32_t word{0};  ///< Of its target, once the SYN is answered.
    bool done{false};
  };

  void StartTry(std::size_t id, Time now);
  void SendSyn(std::size_t id, Time now);
  void Open(std::size_t id, std::uint32_t word, Time now);
  void ReleaseHeld(Time now);
  void Work(ModelledTarget& target, Time now);
  void Answer(std::size_t id, Time now);
  void GiveUp(Time now);
  void FailTry(std::size_t id, Time now);
  Time WorkTime();

  const bool holds_back;
  SteeringScene scene;
  AdmissionControl admission;
  Jitter random;
  std::vector<Caller> callers;
  std::map<std::uint16_t, std::size_t> by_port;
  std::map<std::uint32_t, ModelledTarget> targets;
  std::uint16_t last_port{1024};
  HerdOutcome outcome;
};

}  // namespace sassafrasdyke::core
