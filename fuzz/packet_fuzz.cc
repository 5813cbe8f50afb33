/// Fuzzes what a datagram of the fabric or of a peer goes through.
#include "datapath/gue.h"
#include "datapath/ip_packet.h"
#include "datapath/reset_packet.h"
#include "fuzz_input.h"

namespace sassafrasdyke::datapath {
namespace {

/// The inner packet must be a part of the datagram and pass unchanged.
void CheckDatagram(ByteView bytes) {
  const auto datagram = DecodeGue(bytes);
  if (!datagram) {
    return;
  }
  fuzz::Require(datagram->inner.size() <= bytes.size());
  const auto segment = ReadSegment(datagram->inner);
  if (segment) {
    fuzz::Require(segment->payload_bytes < datagram->inner.size());
    fuzz::Require(!BuildReset(*segment).empty());
  }
}

}  // namespace
}  // namespace sassafrasdyke::datapath

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const sassafrasdyke::datapath::ByteView bytes(data, size);
  sassafrasdyke::datapath::CheckDatagram(bytes);
  static_cast<void>(sassafrasdyke::datapath::ReadSegment(bytes));
  return 0;
}
