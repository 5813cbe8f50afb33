/// The instances of the load model: what is published to them, the packets and
/// ticks that they get, and the digests by which they share observations.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/fleet/jitter.h"
#include "rig/load/balancer_variant.h"
#include "rig/load/event_queue.h"
#include "rig/load/load_scenario.h"

namespace sassafrasdyke::rig {

std::string DomainName(std::size_t domain);

/// Time within which an instance learns of a change.
inline constexpr EventQueue::Time kPropagation = std::chrono::milliseconds(300);

/// What instances send packets and probes to.
class ModelNetwork {
 public:
  virtual ~ModelNetwork() = default;

  virtual void Send(std::size_t instance_domain, const Forwarded& out) = 0;
  /// Whether the target of this word accepts connections from the domain.
  virtual bool Accepts(std::size_t instance_domain,
                       std::uint32_t word) const = 0;
};

/// One way between an instance and whatever else is in a domain.
EventQueue::Time DelayBetween(const LoadScenario& scenario, std::size_t one,
                              std::size_t other);

class ModelFleet {
 public:
  using Time = EventQueue::Time;
  /// Makes an instance that has not been told anything.
  using Factory = std::function<std::unique_ptr<BalancerVariant>(
      const ModelPlace&, const core::Publication&)>;

  /// The references must outlive the fleet.
  ModelFleet(const LoadScenario& scenario, Factory make, EventQueue& events,
             ModelNetwork& network);

  /// Starts all instances, which have what was published until then.
  void Start();
  /// All instances are off from `at` on and start without state after `lasts`.
  void ScheduleOutage(Time at, Time lasts);
  /// Publishes an item, or withdraws it; instances learn of it one by one.
  void Publish(const std::string& key, std::optional<core::PublishedItem> item,
               Time learnt_within);
  /// A router gives the packet to one of the domain's instances that are up.
  void OnPacket(const core::FlowPacket& packet, std::size_t domain);

 private:
  struct Instance {
    std::size_t domain{0};
    std::unique_ptr<BalancerVariant> balancer;  ///< Null while it is off.
  };

  void StartInstance(std::size_t instance);
  void ScheduleTicks(std::size_t instance);
  void ScheduleDigests(std::size_t instance, Time wait, bool to_own_domain);
  void SendDigest(std::size_t from, std::size_t to);
  std::optional<std::size_t> DrawPeer(std::size_t instance, bool of_own_domain);
  /// Sends what an instance forwards, and its probes.
  void Send(std::size_t instance, const std::vector<Forwarded>& packets);
  void StartProbe(std::size_t instance, std::uint32_t word);
  std::optional<std::size_t> InstanceFor(const core::FlowPacket& packet,
                                         std::size_t domain) const;

  const LoadScenario& scenario;
  const Factory make;
  EventQueue& events;
  ModelNetwork& network;
  core::Jitter chances;
  core::Jitter peers;  ///< Digests must not change the other draws.
  ModelPublication publication;
  std::vector<std::pair<std::string, std::optional<std::string>>> published;
  std::vector<Instance> instances;
};

}  // namespace sassafrasdyke::rig
