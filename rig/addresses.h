/// Where everything of a run listens, all in 127.NET.0.0/16.
#pragma once

#include <cstdint>

#include "common/address.h"

namespace sassafrasdyke::rig {

/// The address plan of one run.
class AddressPlan {
 public:
  explicit AddressPlan(std::uint32_t net) : net(net) {}

  common::Endpoint Tunnel(std::uint32_t instance) const;
  common::Endpoint Control(std::uint32_t instance) const;
  common::Endpoint Metrics(std::uint32_t instance) const;
  /// Where other instances reach an instance when the rig relays.
  common::Endpoint RelayedTunnel(std::uint32_t instance) const;
  common::Endpoint RelayedControl(std::uint32_t instance) const;
  common::Endpoint TargetTunnel(std::uint32_t target) const;
  common::Endpoint TargetHealth(std::uint32_t target) const;
  common::Endpoint Platform(std::uint32_t domain) const;
  /// Where the fabric sends from.
  common::Endpoint FabricSource() const;
  common::Endpoint FloodSource() const;
  /// Where the fabric takes packets for callers.
  common::Endpoint FabricReturn() const;

 private:
  common::Endpoint At(std::uint32_t part, std::uint32_t number,
                      std::uint16_t port) const;

  std::uint32_t net;
};

}  // namespace sassafrasdyke::rig
