/// A stand-in for the network: sprays callers' packets over the instances it
/// believes in, carries answers back, and relays what instances send each
/// other, with delay, loss and cuts between failure domains.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <vector>

#include "common/ids.h"
#include "rig/addresses.h"
#include "rig/callers.h"
#include "rig/judge.h"
#include "rig/naive_balancers.h"
#include "rig/scenario.h"
#include "rig/scheduler.h"
#include "rig/segment.h"
#include "rig/socket.h"
#include "rig/target.h"

namespace sassafrasdyke::rig {

/// What the fabric carried.
struct FabricCounts {
  std::uint64_t sprayed{0};    ///< Callers' packets.
  std::uint64_t answers{0};    ///< Targets' packets.
  std::uint64_t resets{0};     ///< Packets that balancers sent to callers.
  std::uint64_t redirects{0};  ///< Datagrams relayed between instances.
  std::uint64_t redirect_bytes{0};
  std::uint64_t lost{0};  ///< By loss, cuts, or for want of an instance.
};

/// The network of one run.
class Fabric final : public SegmentSink {
 public:
  /// All references must outlive it. With `naive` balancers, those choose in
  /// place of instances and no socket is opened; else it is null.
  Fabric(const ScenarioNetwork& shape, const AddressPlan& plan,
         NaiveBalancers* naive, std::uint64_t seed, Scheduler& scheduler,
         Judge& judge);

  /// Where answers go; set before the first segment.
  void Connect(Callers& callers) { this->callers = &callers; }
  /// Whether packets of a flow stay in one failure domain.
  void ConfineToDomain(bool confined) { this->confined = confined; }

  void AddTarget(StandInTarget& target, common::DomainId domain);
  /// Opens an instance's place in the network; it isn't believed in yet.
  void AddInstance(common::InstanceId instance, common::DomainId domain);
  /// Whether its process runs in truth; only naive balancers need to be told.
  void SetRunning(common::InstanceId instance, bool running);
  void Believe(common::InstanceId instance, bool alive);
  void Cut(common::DomainId domain);
  void Heal(common::DomainId domain);
  bool Separated(common::DomainId left, common::DomainId right) const;
  /// A delay between two failure domains, with its variation.
  std::chrono::microseconds Delay(common::DomainId left,
                                  common::DomainId right);

  /// Carries a segment of a caller or a target.
  void Send(const Segment& segment) override;
  FabricCounts Counts() const { return this->counts; }

 private:
  struct Port {
    StandInTarget* target;
    common::DomainId domain;
    std::unique_ptr<UdpSocket> socket;
  };
  struct Place {
    common::DomainId domain;
    bool believed{false};
    SocketAddress tunnel;
    std::unique_ptr<UdpSocket> relay;
  };
  using Datagram = std::vector<std::uint8_t>;

  void Spray(const Segment& segment);
  /// Carries a segment from an instance to a target.
  void Deliver(common::InstanceId from, common::TargetId target,
               const Segment& segment);
  std::vector<common::InstanceId> Candidates(const common::FlowKey& flow) const;
  void OnTargetDatagram(common::TargetId target,
                        std::span<const std::uint8_t> datagram,
                        const common::Endpoint& from);
  void OnReturnDatagram(std::span<const std::uint8_t> datagram);
  void OnRelayDatagram(common::InstanceId to,
                       std::span<const std::uint8_t> datagram,
                       const common::Endpoint& from);
  std::chrono::microseconds Vary(std::chrono::microseconds delay);
  bool Lost(std::uint32_t per_million);

  ScenarioNetwork shape;
  AddressPlan plan;
  NaiveBalancers* naive;
  bool confined{false};
  std::mt19937_64 random;
  Scheduler& scheduler;
  Judge& judge;
  Callers* callers{nullptr};
  std::map<common::TargetId, Port> ports;
  std::map<common::InstanceId, Place> places;
  std::map<common::Endpoint, common::InstanceId> by_tunnel;
  std::set<common::DomainId> cut;
  std::vector<common::InstanceId> believed;
  std::unique_ptr<UdpSocket> source;
  std::unique_ptr<UdpSocket> returns;
  FabricCounts counts;
};

}  // namespace sassafrasdyke::rig
