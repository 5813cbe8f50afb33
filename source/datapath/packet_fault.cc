#include "datapath/packet_fault.h"

namespace sassafrasdyke::datapath {

std::string_view Word(PacketFault fault) {
  switch (fault) {
    case PacketFault::kTruncated:
      return "truncated";
    case PacketFault::kOversize:
      return "oversize";
    case PacketFault::kBadGue:
      return "bad-gue";
    case PacketFault::kBadIpHeader:
      return "bad-ip-header";
    case PacketFault::kBadTcpHeader:
      return "bad-tcp-header";
    case PacketFault::kFragmented:
      return "fragmented";
    case PacketFault::kNotTcp:
      return "not-tcp";
    case PacketFault::kLooping:
      return "looping";
    case PacketFault::kUntrustedHop:
      return "untrusted-hop";
    case PacketFault::kLate:
      return "late";
  }
  return "unknown";
}

}  // namespace sassafrasdyke::datapath
