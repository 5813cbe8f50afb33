/// Inner packets for the tests of the data path, made by libtins, which shares
/// no code with the reader under test.
#pragma once

#include <tins/ip.h>
#include <tins/ipv6.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace sassafrasdyke::datapath {

using Bytes = std::vector<std::uint8_t>;

/// The kinds of inner packets that a table runs over.
enum class Family { kV4, kV6 };

inline std::ostream& operator<<(std::ostream& out, Family family) {
  return out << (family == Family::kV4 ? "IPv4" : "IPv6");
}

inline const char* CallerOf(Family family) {
  return family == Family::kV4 ? "198.51.100.7" : "2001:db8::7";
}

inline const char* ServiceOf(Family family) {
  return family == Family::kV4 ? "192.0.2.10" : "2001:db8:1::10";
}

inline constexpr std::uint16_t kCallerPort = 40000;
inline constexpr std::uint16_t kServicePort = 443;

/// A TCP segment from the caller to the service.
struct SegmentPlan {
  Family family{Family::kV4};
  std::uint16_t flags{Tins::TCP::SYN};
  std::uint32_t sequence{1000};
  std::uint32_t acknowledgement{0};
  std::string payload{};
};

inline Bytes Serialize(const SegmentPlan& plan) {
  Tins::TCP tcp(kServicePort, kCallerPort);
  tcp.flags(plan.flags);
  tcp.seq(plan.sequence);
  tcp.ack_seq(plan.acknowledgement);
  if (!plan.payload.empty()) {
    tcp /= Tins::RawPDU(plan.payload);
  }
  if (plan.family == Family::kV4) {
    return (Tins::IP(ServiceOf(plan.family), CallerOf(plan.family)) / tcp)
        .serialize();
  }
  return (Tins::IPv6(ServiceOf(plan.family), CallerOf(plan.family)) / tcp)
      .serialize();
}

}  // namespace sassafrasdyke::datapath
