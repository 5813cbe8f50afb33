/// A few balancers joined by a list of messages in flight. Everything happens
/// in one thread and under one seed, so that each run repeats exactly.
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

/// What happens to control messages on their way.
struct MessageFaults {
  std::chrono::milliseconds least_delay{1};
  std::chrono::milliseconds greatest_delay{50};
  std::uint32_t lost_percent{0};
  std::uint32_t repeated_percent{0};
};

/// How news reaches the instances: each hears of it at a time of its own.
struct NewsDelays {
  std::chrono::milliseconds greatest{1000};
  /// Silence before others call an instance or a domain silent.
  std::chrono::milliseconds suspicion{2000};
};

using BalancerFactory = std::function<std::unique_ptr<Balancer>(
    common::InstanceId, common::Incarnation)>;

/// What the fleet is made of.
struct SmallFleetPlan {
  Configuration configuration;
  std::uint32_t instances{4};
  std::uint32_t domains{1};
  MessageFaults faults;
  NewsDelays news;
  BalancerFactory factory{MakeBalancer};
  /// Loses every exception copy, to see what copies are good for.
  bool without_copies{false};
  std::uint64_t seed{1};
};

/// Where a packet ended.
struct Fate {
  enum class Kind { kForwarded, kReset, kDropped, kLost };
  Kind kind{Kind::kLost};
  common::TargetId target;        ///< When forwarded.
  common::Endpoint tunnel;        ///< When forwarded.
  ResetReason reset{};            ///< When reset.
  DropReason drop{};              ///< When dropped.
  common::InstanceId decided_by;  ///< Whoever had the last word.
  common::Revision revision;      ///< In force there.
  std::chrono::milliseconds in_force_since{0};
  std::vector<common::InstanceId> path;
};

/// A decision with when and by whom it was made.
struct LoggedDecision {
  std::chrono::milliseconds at{0};
  common::InstanceId by;
  Decision decision;
};

/// The fleet, and the platform's and the network's part in what happens to it.
class SmallFleet {
 public:
  explicit SmallFleet(SmallFleetPlan plan);

  /// Passes time in steps of a tick.
  void Pass(std::chrono::milliseconds time);

  /// Hands a packet to an instance and follows it to its end.
  Fate Send(common::InstanceId entry, PacketArrived packet);

  /// A running instance, each with the same chance; 0 when none runs.
  common::InstanceId AnyRunning();

  void Publish(const std::function<void(Configuration&)>& change);
  /// Publishes, and tells only some instances until `TellAll`.
  void PublishToSome(const std::function<void(Configuration&)>& change,
                     std::uint32_t told_percent);
  void TellAll();

  /// A prober's word on a target, true or not, to every instance.
  void Report(common::TargetId target, TargetHealth health);

  common::InstanceId Join(common::DomainId domain);
  /// Asks an instance to stop; it does once it has handed everything over.
  void Leave(common::InstanceId id);
  /// Ends an instance at once; its peers suspect it later.
  void Kill(common::InstanceId id);
  /// Ends an instance and starts another under the same id.
  void Replace(common::InstanceId id);
  void Pause(common::InstanceId id, std::chrono::milliseconds time);
  /// Cuts a domain off from the others and from the platform, or ends the cut.
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
    InstanceView truth;
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
  struct Flight {
    std::chrono::milliseconds due{0};
    common::InstanceId from;
    common::InstanceId to;
    PeerMessage message;
  };
  struct News {
    std::chrono::milliseconds due{0};
    common::InstanceId to;
    std::uint64_t version{0};
    std::shared_ptr<const FleetView> view;
    std::shared_ptr<const Configuration> configuration;
  };

  Member* Find(common::InstanceId id);
  const Member* Find(common::InstanceId id) const;
  bool Runs(const Member& member) const;
  bool Reaches(common::DomainId from, common::DomainId to) const;
  FleetView ViewFor(const Member& member) const;
  void Start(common::InstanceId id, common::DomainId domain,
             common::Incarnation incarnation);
  void TellView(std::chrono::milliseconds after);
  void TellViewTo(common::InstanceId id, std::chrono::milliseconds after);
  void TellConfigurationTo(common::InstanceId id,
                           std::chrono::milliseconds after);
  void Apply(const News& news);
  void Deliver();
  void Wake(Member& member);
  void StopLeavers();
  void Collect(common::InstanceId from, Outbox& outbox);
  std::chrono::milliseconds NewsDelay();

  SmallFleetPlan plan;
  std::mt19937_64 generator;
  std::chrono::milliseconds now{1000};
  Configuration published;
  std::map<common::InstanceId, Member> members;
  /// Instances that are gone, as the others still see them.
  std::map<common::InstanceId, InstanceView> ghosts;
  std::vector<common::DomainId> cut;
  std::vector<common::DomainId> seen_cut;
  std::vector<std::pair<std::chrono::milliseconds, std::function<void()>>>
      later;
  std::vector<Flight> flights;
  std::vector<News> news;
  std::vector<LoggedDecision> log;
  std::uint64_t versions{0};
  std::uint64_t incarnations{1};
  std::uint32_t next_id{1};
  std::size_t control_bytes{0};
  std::size_t control_messages{0};
};

/// The bytes that a copy or an acknowledgement takes on the wire, as the
/// sender's budget reckons.
std::size_t EncodedBytes(const PeerMessage& message);

}  // namespace sassafrasdyke::core::testing
