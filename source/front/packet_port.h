/// The UDP socket for clients' packets, many at a time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/address.h"
#include "core/steering/packet_format.h"

namespace sassafrasdyke::front {

/// Counts since the process started.
struct PortCounts {
  std::uint64_t received{0};
  std::uint64_t sent{0};
  std::uint64_t unsent{0};  ///< The kernel took them not.
  std::uint64_t cut{0};     ///< Larger than any packet; dropped.
};

/// Reads and writes datagrams without blocking.
class PacketPort {
 public:
  /// Datagrams taken by one call: a busy instance's share of a few
  /// milliseconds, so that timers still run on time.
  static constexpr std::size_t kBatch = 32;

  /// The error is a sentence for a person.
  static tl::expected<std::unique_ptr<PacketPort>, std::string> Open(
      const common::Endpoint& listen);

  explicit PacketPort(int descriptor);
  ~PacketPort();
  PacketPort(const PacketPort&) = delete;
  PacketPort& operator=(const PacketPort&) = delete;

  int Descriptor() const { return this->descriptor; }
  const PortCounts& Counts() const { return this->counts; }

  /// Hands each waiting datagram to `take`, up to a bound; returns how many.
  std::size_t Receive(
      const std::function<void(std::span<const std::uint8_t>)>& take);
  /// Room for the next datagram to send.
  std::span<std::uint8_t> NextBuffer();
  /// Queues what was written to `NextBuffer`.
  void Queue(std::size_t size, const common::Endpoint& to);
  /// Sends what is queued; what the kernel doesn't take is counted and lost,
  /// as on any full link.
  void Flush();

 private:
  static constexpr std::size_t kBytes =
      core::kLargestPacket + core::kTargetOverhead;
  using Buffer = std::array<std::uint8_t, kBytes>;

  int descriptor;
  PortCounts counts;
  std::vector<Buffer> incoming;
  std::vector<Buffer> outgoing;
  std::array<std::size_t, kBatch> sizes{};
  std::array<common::Endpoint, kBatch> destinations;
  std::size_t queued{0};
};

}  // namespace sassafrasdyke::front
