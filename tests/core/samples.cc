#include "core/samples.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sassafrasdyke::core::testing {
namespace {

constexpr std::uint32_t kServiceNet = 0xC0000200;   // 192.0.2.0
constexpr std::uint32_t kCallerNet = 0x0A000000;    // 10.0.0.0
constexpr std::uint32_t kTargetNet = 0x7F010000;    // 127.1.0.0
constexpr std::uint32_t kInstanceNet = 0x7F000100;  // 127.0.1.0
constexpr std::uint16_t kServicePort = 443;
constexpr std::uint16_t kTunnelPort = 6080;
constexpr std::uint32_t kPortsPerCaller = 50000;
constexpr std::uint32_t kFirstPort = 1024;

common::Endpoint At(std::uint32_t address, std::uint16_t port) {
  return {common::IpAddress::FromV4(address), port};
}

}  // namespace

Configuration SampleConfiguration(const SampleSize& size) {
  Configuration configuration;
  configuration.revision = {1};
  configuration.fleet = "sample";
  configuration.hash_seed = 42;
  for (std::uint32_t domain = 1; domain <= size.domains; ++domain) {
    configuration.domains.push_back(
        {{domain}, "domain-" + std::to_string(domain), "north"});
  }
  std::uint32_t address = kTargetNet;
  for (std::uint32_t number = 1; number <= size.services; ++number) {
    Service service;
    service.id = {number};
    service.name = "service-" + std::to_string(number);
    service.address = At(kServiceNet + number, kServicePort);
    service.policy.partitions = size.partitions;
    configuration.services.push_back(service);
    for (std::uint32_t i = 0; i < size.targets_per_service; ++i) {
      Target target;
      target.id = {number * kTargetsPerServiceLimit + i + 1};
      target.service = service.id;
      target.domain = {i % size.domains + 1};
      target.tunnel = At(++address, kTunnelPort);
      configuration.targets.push_back(target);
    }
  }
  return configuration;
}

std::shared_ptr<const Configuration> Accept(Configuration configuration) {
  return std::make_shared<const Configuration>(std::move(configuration));
}

Target& TargetOf(Configuration& configuration, std::uint32_t id) {
  return *std::find_if(
      configuration.targets.begin(), configuration.targets.end(),
      [id](const Target& target) { return target.id.value == id; });
}

FleetView SampleView(std::uint32_t self, std::uint32_t instances,
                     std::uint32_t domains) {
  FleetView view;
  view.self = {self};
  view.domain = {(self - 1) % domains + 1};
  for (std::uint32_t id = 1; id <= instances; ++id) {
    InstanceView instance;
    instance.id = {id};
    instance.domain = {(id - 1) % domains + 1};
    instance.incarnation = {1};
    instance.tunnel = At(kInstanceNet + id, kTunnelPort);
    view.instances.push_back(instance);
  }
  return view;
}

InstanceView& InstanceOf(FleetView& view, std::uint32_t id) {
  return *std::find_if(
      view.instances.begin(), view.instances.end(),
      [id](const InstanceView& instance) { return instance.id.value == id; });
}

common::FlowKey FlowOf(std::uint32_t caller, std::uint32_t service) {
  const auto port =
      static_cast<std::uint16_t>(kFirstPort + caller % kPortsPerCaller);
  return {At(kCallerNet + 1 + caller / kPortsPerCaller, port),
          At(kServiceNet + service, kServicePort)};
}

PacketArrived Syn(const common::FlowKey& flow, std::uint32_t sequence) {
  PacketArrived packet;
  packet.flow = flow;
  packet.flags.syn = true;
  packet.sequence = sequence;
  return packet;
}

PacketArrived Data(const common::FlowKey& flow, std::uint32_t sequence,
                   std::uint32_t bytes) {
  PacketArrived packet;
  packet.flow = flow;
  packet.flags.ack = true;
  packet.sequence = sequence;
  packet.payload_bytes = bytes;
  return packet;
}

PacketArrived Fin(const common::FlowKey& flow, std::uint32_t sequence) {
  PacketArrived packet = Data(flow, sequence, 0);
  packet.flags.fin = true;
  return packet;
}

PacketArrived Handed(PacketArrived packet, const RedirectToInstance& redirect) {
  packet.arrival = redirect.arrival;
  return packet;
}

common::TargetId ForwardedTo(const PacketAction& action) {
  const auto* const forward = std::get_if<ForwardToTarget>(&action);
  return forward == nullptr ? common::TargetId{} : forward->target;
}

}  // namespace sassafrasdyke::core::testing
