#include "common/flow_key.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include "common/hash.h"

namespace sassafrasdyke::common {
namespace {

constexpr std::size_t kAddressBytes = 16;
constexpr std::size_t kEndBytes = kAddressBytes + 2;
constexpr unsigned kBitsPerByte = 8;

void WriteEnd(const Endpoint& end, std::uint8_t* out) {
  const IpAddress::Bytes& raw = end.address.Raw();
  std::copy(raw.begin(), raw.end(), out);
  out[kAddressBytes] = static_cast<std::uint8_t>(end.port >> kBitsPerByte);
  out[kAddressBytes + 1] = static_cast<std::uint8_t>(end.port);
}

}  // namespace

std::string FlowKey::ToString() const {
  return this->caller.ToString() + "->" + this->service.ToString();
}

Fingerprint FingerprintOf(const FlowKey& flow, std::uint64_t seed) {
  std::array<std::uint8_t, 2 * kEndBytes> bytes{};
  WriteEnd(flow.caller, bytes.data());
  WriteEnd(flow.service, bytes.data() + kEndBytes);
  return Fingerprint{HashBytes(bytes.data(), bytes.size(), seed)};
}

}  // namespace sassafrasdyke::common
