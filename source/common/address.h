/// IP addresses and ports as values, for both families.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasdyke::common {

/// An IPv4 or IPv6 address. IPv4 is held in the IPv4-mapped form
/// (::ffff:a.b.c.d), so both families compare and hash alike.
class IpAddress {
 public:
  /// Bytes in network order.
  using Bytes = std::array<std::uint8_t, 16>;

  IpAddress() = default;
  explicit IpAddress(const Bytes& bytes) : bytes(bytes) {}

  /// Builds the mapped form of an IPv4 address given in host order.
  static IpAddress FromV4(std::uint32_t host_order);

  /// Reads "192.0.2.1" or "2001:db8::1"; nothing for any other text.
  static std::optional<IpAddress> Parse(std::string_view text);

  bool IsV4() const;
  /// The IPv4 address in host order; only meaningful when `IsV4()`.
  std::uint32_t V4() const;
  const Bytes& Raw() const { return this->bytes; }
  std::string ToString() const;

  // NOLINTNEXTLINE(modernize-use-nullptr): the defaulted operator has none.
  friend auto operator<=>(const IpAddress&, const IpAddress&) = default;

 private:
  Bytes bytes{};
};

/// An address and a port in host order.
struct Endpoint {
  IpAddress address;
  std::uint16_t port{0};

  /// Reads "192.0.2.1:80" or "[2001:db8::1]:80"; nothing for any other text.
  static std::optional<Endpoint> Parse(std::string_view text);
  std::string ToString() const;

  // NOLINTNEXTLINE(modernize-use-nullptr): the defaulted operator has none.
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

}  // namespace sassafrasdyke::common
