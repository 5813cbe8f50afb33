/// Simulates a thundering herd: callers reopen their flows after all instances
/// were down. Instances, targets with slots and a queue, callers that
/// retransmit SYNs and retry.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/fleet/jitter.h"
#include "core/load/fixed_fleet_load.h"
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
  int refused{0};  ///< SYNs that an instance refused; their callers retry.

  int Served() const { return this->in_time + this->late; }
  HerdOutcome& operator+=(const HerdOutcome& other) {
    this->in_time += other.in_time;
    this->late += other.late;
    this->failed += other.failed;
    this->shed += other.shed;
    this->refused += other.refused;
    return *this;
  }
};

/// Requests of one kind. Each opens a flow. Times are since the outage began.
struct HerdDemand {
  std::chrono::milliseconds wants_every{5};
  std::chrono::milliseconds from{0};
  std::chrono::milliseconds until{2700};
  /// Requests that are made at once.
  unsigned at_once{1};
  /// Number of addresses, which take turns.
  std::uint32_t callers{1};
  /// Number of the route, which is also its rank: 0 and 1 are of the same
  /// service, 2 is of another.
  std::uint32_t route{0};
};

/// Parameters of a simulation.
struct HerdPlan {
  /// Whether instances use admission control.
  bool holds_back{true};
  bool fair_admission{false};
  const OverloadPolicy* overload{&DefaultOverloadPolicy()};
  std::uint64_t seed{7};
  std::size_t instances{1};
  std::size_t targets{3};  ///< Of each service.
  std::chrono::milliseconds outage{1200};
  /// A request is made until then.
  std::chrono::milliseconds length{2700};
  /// Until then each instance knows of no other one.
  std::chrono::milliseconds alone_until{0};
  std::vector<HerdDemand> demands = std::vector<HerdDemand>(1);
};

/// Simulates the time after the outage in steps of a millisecond.
class ReopeningHerd {
 public:
  /// `holds_back`: whether the instance uses admission control.
  explicit ReopeningHerd(bool holds_back)
      : ReopeningHerd(HerdPlan{.holds_back = holds_back}) {}
  explicit ReopeningHerd(const HerdPlan& plan);

  /// A caller makes a request every 5 ms during the outage of 1.2 s and for 1.5
  /// s after it, unless the plan says otherwise. The outcome counts only those
  /// after it.
  HerdOutcome Play();
  /// Outcomes by number of the demand, after Play().
  const std::vector<HerdOutcome>& ByDemand() const { return this->outcomes; }

 private:
  using Time = std::chrono::milliseconds;

  struct Caller {
    std::size_t demand{0};
    common::IpAddress address;
    Time wants_since{0};
    Time syn_sent{0};
    std::uint32_t copies{0};
    unsigned tries{0};
    std::uint16_t port{0};
    std::uint32_t word{0};  ///< Of its target, once the SYN is answered.
    bool done{false};
  };
  struct Instance {
    std::unique_ptr<SteeringScene> scene;
    std::unique_ptr<AdmissionControl> admission;
  };

  void Start(Instance& instance, std::uint64_t seed);
  void Want(Time now);
  Instance& InstanceOf(std::size_t id);
  FlowPacket PacketOf(const Caller& caller) const;
  void StartTry(std::size_t id, Time now);
  void SendSyn(std::size_t id, Time now);
  void Open(std::size_t id, std::uint32_t word, Time now);
  void ReleaseHeld(Instance& instance, Time now);
  void TakeRefused(Instance& instance, Time now);
  void Work(ModelledTarget& target, Time now);
  void Answer(std::size_t id, Time now);
  void GiveUp(Time now);
  void FailTry(std::size_t id, Time now);
  Time WorkTime();
  /// Where the caller's result is counted, if it is.
  HerdOutcome& OutcomeOf(const Caller& caller);

  const HerdPlan plan;
  FixedFleetLoad load;
  const SharedObservations shared;
  std::vector<Instance> instances;
  Jitter random;
  std::vector<Caller> callers;
  std::vector<std::size_t> undone;  ///< Callers, by number.
  std::map<std::uint16_t, std::size_t> by_port;
  std::map<std::uint32_t, ModelledTarget> targets;
  std::uint16_t last_port{1024};
  std::vector<HerdOutcome> outcomes;
  HerdOutcome uncounted;
};

}  // namespace sassafrasdyke::core
