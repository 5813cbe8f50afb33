#include "rig/flood.h"

#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <cstddef>
#include <span>

#include "rig/segment.h"

namespace sassafrasdyke::rig {
namespace {

constexpr std::uint32_t kCallerNet = 0x0A000000;
constexpr std::uint16_t kFirstPort = 1024;
constexpr std::size_t kPorts = 50'000;
constexpr std::uint16_t kPayloadBytes = 64;
/// A pace of new flows that an instance surely keeps up with.
constexpr double kSecondsPerOpening = 0.01;
/// GUE and IPv4 headers before it, and the TCP header's fields.
constexpr std::size_t kTcpAt = 4 + sizeof(iphdr);
constexpr std::size_t kLowSequenceAt = kTcpAt + offsetof(tcphdr, seq) + 2;
constexpr std::size_t kCheckAt = kTcpAt + offsetof(tcphdr, check);
constexpr unsigned kByte = 8;

std::uint16_t ReadAt(std::span<const std::uint8_t> bytes, std::size_t at) {
  return static_cast<std::uint16_t>(bytes[at] << kByte | bytes[at + 1]);
}

void WriteAt(std::span<std::uint8_t> bytes, std::size_t at,
             std::uint16_t value) {
  bytes[at] = static_cast<std::uint8_t>(value >> kByte);
  bytes[at + 1] = static_cast<std::uint8_t>(value);
}

/// Moves the sequence number on, and the checksum with it (RFC 1624). Only its
/// low half: a flow's packets in one flood are too few for more. A number that
/// stood still would look like a caller that retransmits into a dead path.
void Advance(std::span<std::uint8_t> datagram) {
  const std::uint16_t old = ReadAt(datagram, kLowSequenceAt);
  const auto next = static_cast<std::uint16_t>(old + kPayloadBytes);
  std::uint32_t sum = static_cast<std::uint16_t>(~ReadAt(datagram, kCheckAt));
  sum += static_cast<std::uint16_t>(~old);
  sum += next;
  sum = (sum & 0xFFFFU) + (sum >> 16U);
  sum = (sum & 0xFFFFU) + (sum >> 16U);
  WriteAt(datagram, kLowSequenceAt, next);
  WriteAt(datagram, kCheckAt, static_cast<std::uint16_t>(~sum));
}

}  // namespace

Flood::Flood(const common::Endpoint& source, const common::Endpoint& service,
             std::size_t flows)
    : source(source,
             [](std::span<const std::uint8_t>, const common::Endpoint&) {}) {
  for (std::size_t i = 0; i < flows; ++i) {
    const auto caller = common::IpAddress::FromV4(
        kCallerNet + static_cast<std::uint32_t>(i / kPorts + 1));
    const auto port = static_cast<std::uint16_t>(kFirstPort + i % kPorts);
    Segment segment{.flow = {{caller, port}, service},
                    .flags = {.syn = true},
                    .sequence = 1,
                    .acknowledgement = 0,
                    .payload = {}};
    this->opening.push_back(Encode(segment));
    segment.flags = {.ack = true};
    segment.sequence = 2;
    segment.acknowledgement = 1;
    segment.payload.assign(kPayloadBytes, 0);
    this->data.push_back(Encode(segment));
  }
}

void Flood::AddTarget(const common::Endpoint& tunnel) {
  this->targets.emplace_back(
      tunnel, [this](std::span<const std::uint8_t>, const common::Endpoint&) {
        ++this->counts.delivered;
      });
}

void Flood::Start(const common::Endpoint& instance) {
  this->instance = common::ToSocketAddress(instance);
  this->idle.set<Flood, &Flood::OnIdle>(this);
  this->idle.start();
}

void Flood::Stop() {
  this->idle.stop();
  this->counts.seconds = ev_time() - this->began;
}

void Flood::OnIdle(ev::idle& /*watcher*/, int /*events*/) {
  if (this->opened < this->opening.size()) {
    // At full speed the SYNs would overrun the instance's socket, and flows
    // without a record would be measured.
    if (ev_time() < this->next_opening) {
      return;
    }
    this->next_opening = ev_time() + kSecondsPerOpening;
    this->next = this->opened;
    this->SendBatch(this->opening);
    this->opened += kBatch;
    this->counts = FloodCounts{};
    return;
  }
  if (this->began == 0) {
    this->began = ev_time();
  }
  this->SendBatch(this->data);
}

void Flood::SendBatch(std::vector<Datagram>& from) {
  std::array<std::span<const std::uint8_t>, kBatch> batch;
  for (auto& datagram : batch) {
    this->next = this->next < from.size() ? this->next : 0;
    Datagram& chosen = from[this->next++];
    if (&from == &this->data) {
      Advance(chosen);
    }
    datagram = chosen;
  }
  this->counts.sent += this->source.SendAll(batch, this->instance);
}

}  // namespace sassafrasdyke::rig
