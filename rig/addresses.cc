#include "rig/addresses.h"

namespace sassafrasdyke::rig {
namespace {

constexpr std::uint32_t kLoopback = 127;
constexpr std::uint32_t kInstances = 0;
constexpr std::uint32_t kTargets = 1;
constexpr std::uint32_t kFabric = 2;
constexpr std::uint32_t kPlatform = 3;
constexpr std::uint32_t kRelay = 4;
constexpr std::uint16_t kTunnelPort = 6080;
constexpr std::uint16_t kControlPort = 6081;
constexpr std::uint16_t kMetricsPort = 9100;
constexpr std::uint16_t kHealthPort = 8080;
constexpr std::uint16_t kPlatformPort = 8500;
constexpr std::uint16_t kReturnPort = 6000;

}  // namespace

common::Endpoint AddressPlan::At(std::uint32_t part, std::uint32_t number,
                                 std::uint16_t port) const {
  constexpr unsigned kByte = 8;
  return {
      common::IpAddress::FromV4(
          ((kLoopback << kByte | this->net) << kByte | part) << kByte | number),
      port};
}

common::Endpoint AddressPlan::Tunnel(std::uint32_t instance) const {
  return this->At(kInstances, instance, kTunnelPort);
}

common::Endpoint AddressPlan::Control(std::uint32_t instance) const {
  return this->At(kInstances, instance, kControlPort);
}

common::Endpoint AddressPlan::Metrics(std::uint32_t instance) const {
  return this->At(kInstances, instance, kMetricsPort);
}

common::Endpoint AddressPlan::RelayedTunnel(std::uint32_t instance) const {
  return this->At(kRelay, instance, kTunnelPort);
}

common::Endpoint AddressPlan::RelayedControl(std::uint32_t instance) const {
  return this->At(kRelay, instance, kControlPort);
}

common::Endpoint AddressPlan::TargetTunnel(std::uint32_t target) const {
  return this->At(kTargets, target, kTunnelPort);
}

common::Endpoint AddressPlan::TargetHealth(std::uint32_t target) const {
  return this->At(kTargets, target, kHealthPort);
}

common::Endpoint AddressPlan::Platform(std::uint32_t domain) const {
  return this->At(kPlatform, domain, kPlatformPort);
}

common::Endpoint AddressPlan::FabricSource() const {
  return this->At(kFabric, 2, kReturnPort);
}

common::Endpoint AddressPlan::FloodSource() const {
  return this->At(kFabric, 3, kReturnPort);
}

common::Endpoint AddressPlan::FabricReturn() const {
  return this->At(kFabric, 1, kReturnPort);
}

}  // namespace sassafrasdyke::rig
