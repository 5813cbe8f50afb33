/// A simulated fleet: balancers that exchange messages through an in-memory
/// network. Single-threaded and seeded, so that every run is reproducible.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "core/balancer.h"

namespace sassafrasdyke::core::testing {

/// Delay, loss and duplication of control messages.
struct MessageFaults {
  std::chrono::milliseconds min_delay{1};
  std::chrono::milliseconds max_delay{50};
  std::uint32_t lost_percent{0};
  std::uint32_t repeated_percent{0};
};

/// Delays until the instances learn of changes. Each instance gets a
/// configuration or view after a random delay of its own.
struct UpdateDelays {
  std::chrono::milliseconds max_delay{1000};
  /// Time without contact until an instance or a domain is suspected.
  std::chrono::milliseconds suspicion{2000};
};

using BalancerFactory = std::function<std::unique_ptr<Balancer>(
    common::InstanceId, common::Incarnation)>;

/// The parameters of a simulated fleet.
struct SmallFleetPlan {
  Configuration configuration;
  std::uint32_t instances{4};
  std::uint32_t domains{1};
  MessageFaults faults;
  UpdateDelays update_delays;
  BalancerFactory factory{MakeBalancer};
  /// Drops every exception copy and acknowledgement, to measure the effect of
  /// copies.
  bool without_copies{false};
  std::uint64_t seed{1};
};

/// What became of a packet.
struct PacketOutcome {
  enum class Kind { kForwarded, kReset, kDropped, kLost };
  Kind kind{Kind::kLost};
  common::TargetId target;        ///< When forwarded.
  common::Endpoint tunnel;        ///< When forwarded.
  ResetReason reset{};            ///< When reset.
  DropReason drop{};              ///< When dropped.
  common::InstanceId decided_by;  ///< The last instance on its path.
  common::Revision revision;      ///< In force there.
  std::chrono::milliseconds in_force_since{0};
  std::vector<common::InstanceId> path;
};

/// A decision with its time and the instance that made it.
struct LoggedDecision {
  std::chrono::milliseconds at{0};
  common::InstanceId by;
  Decision decision;
};

/// Runs the instances and simulates the platform and the network.
class SmallFleet {
 public:
  explicit SmallFleet(SmallFleetPlan plan);

  /// Advances the time tick by tick.
  void Pass(std::chrono::milliseconds time);

  /// Delivers a packet to an instance and follows its redirects to the end.
  PacketOutcome Send(common::InstanceId entry, PacketArrived packet);

  /// A running instance, chosen uniformly at random; 0 when none runs.
  common::InstanceId AnyRunning();

  void Publish(const std::function<void(Configuration&)>& change);
  /// Publishes to a random part of the instances; the others lag until
  /// `PublishToAll`.
  void PublishToSome(const std::function<void(Configuration&)>& change,
                     std::uint32_t reached_percent);
  void PublishToAll();

  /// Delivers a prober's report on a target, true or not, to all instances.
  void Report(common::TargetId target, TargetHealth health);

  common::InstanceId Join(common::DomainId domain);
  /// Asks an instance to leave; it stops after its hand-over.
  void Leave(common::InstanceId id);
  /// Stops an instance without a hand-over; its peers suspect it later.
  void Kill(common::InstanceId id);
  /// Stops an instance without a hand-over and starts a new incarnation under
  /// the same id.
  void Replace(common::InstanceId id);
  void Pause(common::InstanceId id, std::chrono::milliseconds time);
  /// Separates a domain from the others and from the platform, or reconnects
  /// it.
  void Cut(common::DomainId domain);
  void Heal(common::DomainId domain);

  std::chrono::milliseconds Now() const { return this->now; }
  const Configuration& Published() const { return this->published; }
  std::vector<common::InstanceId> Running() const;
  bool IsCut(common::DomainId domain) const;
  common::DomainId DomainOf(common::InstanceId id) const;
  BalancerStatus StatusOf(common::InstanceId id) const;
  std::size_t ControlBytes() const { return this->control_bytes; }
  std::size_t ControlMessages() const { return this->control_messages; }
  std::uint64_t Random(std::uint64_t below);

  /// All decisions so far.
  const std::vector<LoggedDecision>& Log() const { return this->log; }

 private:
  struct Member {
    InstanceView actual;
    std::unique_ptr<Balancer> balancer;
    std::chrono::milliseconds paused_until{0};
    bool paused{false};
    bool leaving{false};
    std::chrono::milliseconds leaving_since{0};
    std::uint64_t view_version{0};
    common::Revision revision;
    std::chrono::milliseconds in_force_since{0};
    FleetView view;
  };
  struct MessageInFlight {
    std::chrono::milliseconds due{0};
    common::InstanceId from;
    common::InstanceId to;
    PeerMessage message;
  };
  struct Update {
    std::chrono::milliseconds due{0};
    common::InstanceId to;
    std::uint64_t version{0};
    std::shared_ptr<const FleetView> view;
    std::shared_ptr<const Configuration> configuration;
  };

  Member* Find(common::InstanceId id);
  const Member* Find(common::InstanceId id) const;
  bool IsRunning(const Member& member) const;
  bool CanReach(common::DomainId from, common::DomainId to) const;
  FleetView ViewFor(const Member& member) const;
  void Start(common::InstanceId id, common::DomainId domain,
             common::Incarnation incarnation);
  void ScheduleViewUpdates(std::chrono::milliseconds after);
  void ScheduleViewUpdate(common::InstanceId id,
                          std::chrono::milliseconds after);
  void ScheduleConfigurationUpdate(common::InstanceId id,
                                   std::chrono::milliseconds after);
  void Apply(const Update& update);
  void Deliver();
  void Resume(Member& member);
  void StopLeavingInstances();
  void ProcessOutbox(common::InstanceId from, Outbox& outbox);
  std::chrono::milliseconds RandomUpdateDelay();

  SmallFleetPlan plan;
  std::mt19937_64 generator;
  std::chrono::milliseconds now{1000};
  Configuration published;
  std::map<common::InstanceId, Member> members;
  /// Instances that have stopped, as the others still see them.
  std::map<common::InstanceId, InstanceView> stopped;
  std::vector<common::DomainId> separated;
  std::vector<common::DomainId> known_separated;
  std::vector<std::pair<std::chrono::milliseconds, std::function<void()>>>
      scheduled;
  std::vector<MessageInFlight> in_flight;
  std::vector<Update> updates;
  std::vector<LoggedDecision> log;
  std::uint64_t last_version{0};
  std::uint64_t incarnations{1};
  std::uint32_t next_id{1};
  std::size_t control_bytes{0};
  std::size_t control_messages{0};
};

/// The encoded size in bytes of a copy or an acknowledgement, as the sender's
/// budget counts it.
std::size_t EncodedBytes(const PeerMessage& message);

}  // namespace sassafrasdyke::core::testing
