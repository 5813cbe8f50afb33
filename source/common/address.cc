#include "common/address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace sassafrasdyke::common {
namespace {

constexpr std::size_t kV4Offset = 12;
constexpr unsigned kBitsPerByte = 8;

/// ::ffff:0.0.0.0, the start of every IPv4-mapped address.
IpAddress::Bytes MappedPrefix() {
  IpAddress::Bytes bytes{};
  bytes[10] = 0xFF;
  bytes[11] = 0xFF;
  return bytes;
}

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

IpAddress IpAddress::FromV4(std::uint32_t host_order) {
  Bytes bytes = MappedPrefix();
  for (std::size_t i = 0; i < 4; ++i) {
    const unsigned shift = kBitsPerByte * static_cast<unsigned>(3 - i);
    bytes[kV4Offset + i] = static_cast<std::uint8_t>(host_order >> shift);
  }
  return IpAddress(bytes);
}

std::optional<IpAddress> IpAddress::Parse(std::string_view text) {
  const std::string terminated(text);
  in_addr v4{};
  if (inet_pton(AF_INET, terminated.c_str(), &v4) == 1) {
    return FromV4(ntohl(v4.s_addr));
  }
  Bytes bytes{};
  if (inet_pton(AF_INET6, terminated.c_str(), bytes.data()) == 1) {
    return IpAddress(bytes);
  }
  return std::nullopt;
}

bool IpAddress::IsV4() const {
  const Bytes prefix = MappedPrefix();
  return std::equal(prefix.begin(), prefix.begin() + kV4Offset,
                    this->bytes.begin());
}

std::uint32_t IpAddress::V4() const {
  std::uint32_t value = 0;
  for (std::size_t i = kV4Offset; i < this->bytes.size(); ++i) {
    value = (value << kBitsPerByte) | this->bytes[i];
  }
  return value;
}

std::string IpAddress::ToString() const {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (this->IsV4()) {
    inet_ntop(AF_INET, this->bytes.data() + kV4Offset, text.data(),
              text.size());
  } else {
    inet_ntop(AF_INET6, this->bytes.data(), text.data(), text.size());
  }
  return text.data();
}

std::optional<Endpoint> Endpoint::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const bool bracketed =
      host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const std::optional<IpAddress> address = IpAddress::Parse(host);
  const std::optional<std::uint16_t> port = ParsePort(text.substr(colon + 1));
  // "2001:db8::1:80" without brackets could be read in two ways.
  if (!address || !port || address->IsV4() == bracketed) {
    return std::nullopt;
  }
  return Endpoint{*address, *port};
}

std::string Endpoint::ToString() const {
  const std::string host = this->address.ToString();
  const std::string shown = this->address.IsV4() ? host : "[" + host + "]";
  return shown + ":" + std::to_string(this->port);
}

}  // namespace sassafrasdyke::common
