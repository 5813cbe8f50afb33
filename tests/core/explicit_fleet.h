/// A few balancers of one domain whose views, packets and messages a test sets
/// one by one, so that it forces the order of events.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "core/flow_balancer.h"
#include "core/samples.h"

namespace sassafrasdyke::core::testing {

/// What happens to the messages of one instance to another.
enum class Fate : std::uint8_t {
  kAtOnce,    ///< They arrive in order.
  kHeldBack,  ///< Until they are released.
  kLost,
  kTwice,  ///< Each one arrives twice.
};

/// In which order messages that were held back arrive.
enum class Release : std::uint8_t { kInOrder, kReversed };

/// Instances 1 to 6 of one domain. A new one has no view; the messages of all
/// arrive at once, unless the test says otherwise.
class ExplicitFleet {
 public:
  static constexpr std::uint32_t kMaxInstances = 6;

  explicit ExplicitFleet(Configuration configuration);

  /// Starts a new instance with the current configuration and no view.
  void Start(std::uint32_t id);
  void Configure(std::uint32_t id, const Configuration& next);
  /// Configures all instances, and those that start later.
  void ConfigureAll(const Configuration& next);
  /// Sets the members in the view of `id`; `leaver` is marked as leaving, 0 for
  /// none.
  void SetView(std::uint32_t id, const std::vector<std::uint32_t>& members,
               std::uint32_t leaver = 0);
  /// Advances the clock with a tick each 100 ms.
  void Advance(std::chrono::milliseconds time);

  /// Sets what happens to messages that are delivered from now on.
  void SetFate(std::uint32_t from, std::uint32_t to, Fate fate);
  /// Delivers what was held back, and from now on everything at once.
  void EndFates(Release order = Release::kInOrder);

  /// The final action for a packet that enters at `entry`, after all redirects.
  PacketAction Decide(std::uint32_t entry, PacketArrived packet);
  /// The target that a packet reaches that enters at `entry`; 0 for none.
  common::TargetId Send(std::uint32_t entry, const PacketArrived& packet);

  Configuration configuration;
  std::map<std::uint32_t, std::unique_ptr<FlowBalancer>> balancers;
  std::chrono::milliseconds now{1000};

 private:
  struct Sent {
    std::uint32_t from;
    OutgoingMessage message;
  };

  void QueueMessages(std::uint32_t from, Outbox& outbox);
  void Deliver();
  void Arrive(const Sent& sent);

  std::vector<Sent> messages;
  std::vector<Sent> held_back;
  std::map<std::pair<std::uint32_t, std::uint32_t>, Fate> fates;
};

}  // namespace sassafrasdyke::core::testing
